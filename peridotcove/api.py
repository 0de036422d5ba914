"""The operators' library: describes a deployment and prints its configuration.

    import peridotcove

    fleet = peridotcove.describe()
    fleet.zone("east-1", region="east")
    fleet.model("assistant")
    fleet.engine("e1", url="http://10.0.0.1:8000", zone="east-1", model="assistant")
    fleet.customer("bakers", keys=["..."])
    print(fleet)

Nothing is checked until the configuration is asked for; then every fault is raised at
once, in one `InvalidSettings`.
"""

import copy
import hashlib

import attrs

from peridotcove.configuration import parse_configuration
from peridotcove.configuration_differences import find_differences
from peridotcove.configuration_files import (
    format_whole,
    read_configuration_json,
    write_parts,
)
from peridotcove.exceptions import InvalidSettings, SettingError
from peridotcove.models import LifecycleStatus
from peridotcove.part_splitting import split_into_parts
from peridotcove.schema import dump
from peridotcove.service_description import ServiceDescription

PLACE = "description"


def describe(previous=None, keep=True):
    """Return a description to fill.

    Parameters
    ----------
    previous : str, dict or None
        Configuration in force, as a file, a folder of parts or a JSON value; the new
        revision follows on its revision.
    keep : bool
        Whether the description starts with the objects of the previous one; otherwise
        what is not described again is removed.

    Raises
    ------
    InvalidSettings
        If the previous configuration is faulty.
    """
    raw = {} if previous is None else previous
    if not isinstance(raw, dict):
        raw = read_configuration_json(raw)
    return Description(dump(parse_configuration(raw, "previous")), keep)


class Description:
    """A deployment as its operators describe it.

    Numbers left out have the defaults of the configuration page. An object that the
    previous configuration has is changed by naming it again: what is left out stays.

    Parameters
    ----------
    previous : dict
        JSON value of the configuration in force; empty for a first one.
    keep : bool
        Whether to start with the objects of the previous one.
    """

    def __init__(self, previous, keep):
        self.previous = previous
        self._raw = copy.deepcopy(previous) if keep else {}
        self._described = set()
        self._faults = []

    def bounds(self, **limits):
        """Set limits that hold for the whole fleet.

        Parameters
        ----------
        **limits : float or int
            Fields of `peridotcove.models.Bounds`.
        """
        self._raw.setdefault("bounds", {}).update(limits)

    def zone(self, name, region=None):
        """Describe an availability zone.

        Parameters
        ----------
        name : str
            Unique name.
        region : str
            Region that it belongs to.
        """
        self._put("zones", name, region=region)

    def model(self, name, version=None, adapters=None, weight_bytes=None):
        """Describe a model.

        Parameters
        ----------
        name : str
            Name that callers use.
        version : str
            Version of the weights that engines are to run.
        adapters : sequence of str
            Adapters that callers may name.
        weight_bytes : int
            Size of the weights in bytes.
        """
        fields = {"version": version, "weight_bytes": weight_bytes}
        self._put("models", name, adapters=_list(adapters), **fields)

    def engine(self, name, url=None, zone=None, model=None, **fields):
        """Describe an engine that is owned and in service.

        Parameters
        ----------
        name : str
            Unique name, also in the platform's list of instances.
        url : str
            Base URL, ``http://IP:PORT``.
        zone : str
            Availability zone.
        model : str
            Model that it is to serve.
        **fields : object
            Other fields of `peridotcove.models.Engine`.
        """
        fields.setdefault("status", LifecycleStatus.IN_SERVICE)
        self._put("engines", name, url=url, zone=zone, model=model, **fields)

    def order_engine(self, name, url=None, zone=None, model=None, **fields):
        """Describe an engine that is on order; it gets no work and no orders.

        Parameters
        ----------
        name, url, zone, model : str
            As for `engine`.
        **fields : object
            As for `engine`.
        """
        fields["status"] = LifecycleStatus.ON_ORDER
        self._put("engines", name, url=url, zone=zone, model=model, **fields)

    def service(self, name, checks_keys=None):
        """Describe a plain service and return it, to add its servers and rules.

        Parameters
        ----------
        name : str
            Name in the path, ``/services/NAME/...``.
        checks_keys : bool
            Whether its servers refuse a second request with the same
            ``Idempotency-Key``.

        Returns
        -------
        service : ServiceDescription
            The service.
        """
        self._put("services", name, checks_keys=checks_keys)
        return ServiceDescription(self._raw["services"][name])

    def customer(self, name, keys=(), key_digests=None, **limits):
        """Describe a customer.

        Parameters
        ----------
        name : str
            Unique name.
        keys : sequence of str
            API keys; only their digests go into the configuration.
        key_digests : sequence of str
            Hex SHA-256 digests of API keys, where the keys are not at hand.
        **limits : float or int
            Other fields of `peridotcove.models.Customer`.
        """
        digests = [hashlib.sha256(key.encode()).hexdigest() for key in keys]
        digests += key_digests or ()
        self._put("customers", name, key_digests=digests or None, **limits)

    def start(self, name):
        """Take an engine into service that was on order or leaving.

        Parameters
        ----------
        name : str
            Name of the engine.
        """
        self._set_status(name, LifecycleStatus.IN_SERVICE)

    def drain(self, name):
        """Give an engine no new work; its requests in progress end.

        Parameters
        ----------
        name : str
            Name of the engine.
        """
        self._set_status(name, LifecycleStatus.LEAVING)

    def retire(self, name):
        """Say that an engine is gone for good; its name keeps its place.

        Parameters
        ----------
        name : str
            Name of the engine.
        """
        self._set_status(name, LifecycleStatus.RETIRED)

    def remove(self, kind, name):
        """Remove an object.

        Parameters
        ----------
        kind : str
            ``"zones"``, ``"models"``, ``"engines"``, ``"services"`` or
            ``"customers"``.
        name : str
            Name of the object.
        """
        if self._raw.get(kind, {}).pop(name, None) is None:
            self._fault(f"{kind}.{name}", "nothing", "a described object to remove")

    def configuration(self):
        """Return the checked configuration.

        Raises
        ------
        InvalidSettings
            With every fault, each naming its object.
        """
        before = self.previous.get("revision", 0)
        faults = list(self._faults)
        try:
            checked = parse_configuration({**self._raw, "revision": before}, PLACE)
        except InvalidSettings as error:
            faults.extend(error.exceptions)
        if faults:
            raise InvalidSettings(f"the {PLACE} is not valid", faults)
        if dump(checked) == self.previous:
            return checked
        return attrs.evolve(checked, revision=before + 1)

    def changes(self):
        """Return the differences from the previous configuration, in words.

        Returns
        -------
        changes : list of peridotcove.configuration_differences.Change
            Which chats move, which engines get orders, which limits shrink, and so on.
        """
        return find_differences(
            parse_configuration(self.previous), self.configuration()
        )

    def parts(self):
        """Return the checked configuration cut into parts, by name of the part."""
        return split_into_parts(dump(self.configuration()))

    def write_parts(self, folder):
        """Write the checked configuration as parts and return the file names.

        Parameters
        ----------
        folder : str
            Folder for ``manifest.json`` and one file a part.
        """
        return write_parts(dump(self.configuration()), folder)

    def __str__(self):
        return format_whole(dump(self.configuration()))

    def _put(self, kind, name, **fields):
        if (kind, name) in self._described:
            self._fault(f"{kind}.{name}", name, "each name described once")
        self._described.add((kind, name))
        given = {key: dump(item) for key, item in fields.items() if item is not None}
        self._raw.setdefault(kind, {}).setdefault(name, {}).update(given)

    def _set_status(self, name, status):
        engine = self._raw.get("engines", {}).get(name)
        if engine is None:
            self._fault(f"engines.{name}", "nothing", "a described engine")
        else:
            engine["status"] = status.value

    def _fault(self, place, found, allowed):
        self._faults.append(SettingError(f"{PLACE}.{place}", found, allowed))


def _list(names):
    return None if names is None else list(names)
