"""The operators' library: builds and checks the configuration of a deployment.

    import peridotcove

    fleet = peridotcove.describe()
    fleet.zone("east-1", region="east")
    fleet.model("assistant")
    fleet.engine("e1", url="http://10.0.0.1:8000", zone="east-1", model="assistant")
    fleet.customer("bakers", keys=["..."])
    print(fleet)

Nothing is checked until the configuration is requested; then one `InvalidSettings` is
raised with all faults.
"""

import copy
import hashlib

import attrs

from peridotcove.configuration import parse_configuration
from peridotcove.configuration_differences import find_differences
from peridotcove.configuration_files import (
    format_configuration,
    read_configuration_json,
    write_parts,
)
from peridotcove.exceptions import InvalidSettings, SettingError
from peridotcove.models import LifecycleStatus
from peridotcove.part_splitting import split_into_parts
from peridotcove.schema import dump
from peridotcove.service_description import ServiceDescription

DESCRIPTION_PATH = "description"


def describe(previous=None, keep=True):
    """Return a new description.

    Parameters
    ----------
    previous : str, dict or None
        Configuration in force, as a file, a folder of parts or a JSON value; the new
        revision is the next one after it.
    keep : bool
        Whether the description starts with the objects of the previous configuration;
        otherwise objects that are not described again are removed.

    Raises
    ------
    InvalidSettings
        If the previous configuration is not valid.
    """
    raw = {} if previous is None else previous
    if not isinstance(raw, dict):
        raw = read_configuration_json(raw)
    return Description(dump(parse_configuration(raw, "previous")), keep)


class Description:
    """An operators' description of a deployment.

    Omitted numbers have the defaults given on the configuration page. An object of the
    previous configuration is changed by describing it again; omitted fields keep their
    values.

    Parameters
    ----------
    previous : dict
        JSON value of the configuration in force; empty for the first configuration.
    keep : bool
        Whether to start with the objects of the previous configuration.
    """

    def __init__(self, previous, keep):
        self.previous = previous
        self._raw = copy.deepcopy(previous) if keep else {}
        self._described = set()
        self._faults = []

    def bounds(self, **limits):
        """Set limits that apply to the whole fleet.

        Parameters
        ----------
        **limits : float or int
            Fields of `peridotcove.models.Bounds`.
        """
        self._raw.setdefault("bounds", {}).update(limits)

    def zone(self, name, region=None, residency_region=None):
        """Describe an availability zone.

        Parameters
        ----------
        name : str
            Unique name.
        region : str
            Region that it belongs to.
        residency_region : str
            Region that counts for limits to regions, if it isn't `region`.
        """
        self._update_object(
            "zones", name, region=region, residency_region=residency_region
        )

    def model(self, name, version=None, adapters=None, weight_bytes=None):
        """Describe a model.

        Parameters
        ----------
        name : str
            Name that callers use.
        version : str
            Version of the weights that engines should run.
        adapters : sequence of str
            Adapters that callers may select.
        weight_bytes : int
            Size of the weights in bytes.
        """
        fields = {"version": version, "weight_bytes": weight_bytes}
        self._update_object("models", name, adapters=_list(adapters), **fields)

    def engine(self, name, url=None, zone=None, model=None, **fields):
        """Describe an engine that is in service.

        Parameters
        ----------
        name : str
            Unique name, also in the platform's list of instances.
        url : str
            Base URL, ``http://IP:PORT``.
        zone : str
            Availability zone.
        model : str
            Model that it should serve.
        **fields : object
            Other fields of `peridotcove.models.Engine`.
        """
        fields.setdefault("status", LifecycleStatus.IN_SERVICE)
        self._update_object("engines", name, url=url, zone=zone, model=model, **fields)

    def order_engine(self, name, url=None, zone=None, model=None, **fields):
        """Describe an engine that is on order; it receives no requests and no orders.

        Parameters
        ----------
        name, url, zone, model : str
            As for `engine`.
        **fields : object
            As for `engine`.
        """
        fields["status"] = LifecycleStatus.ON_ORDER
        self._update_object("engines", name, url=url, zone=zone, model=model, **fields)

    def service(self, name, checks_keys=None):
        """Describe a plain service and return it to add its servers and rules.

        Parameters
        ----------
        name : str
            Name in the path, ``/services/NAME/...``.
        checks_keys : bool
            Whether its servers reject a second request with the same
            ``Idempotency-Key``.

        Returns
        -------
        service : ServiceDescription
            The service.
        """
        self._update_object("services", name, checks_keys=checks_keys)
        return ServiceDescription(self._raw["services"][name])

    def customer(self, name, keys=(), key_digests=None, **limits):
        """Describe a customer.

        Parameters
        ----------
        name : str
            Unique name.
        keys : sequence of str
            API keys; only their digests are stored in the configuration.
        key_digests : sequence of str
            Hex SHA-256 digests of API keys, for keys that are not available.
        **limits : float, int or tuple
            Other fields of `peridotcove.models.Customer`, such as `regions`.
        """
        digests = [hashlib.sha256(key.encode()).hexdigest() for key in keys]
        digests += key_digests or ()
        self._update_object("customers", name, key_digests=digests or None, **limits)

    def start(self, name):
        """Put an engine into service that was on order or leaving.

        Parameters
        ----------
        name : str
            Name of the engine.
        """
        self._set_status(name, LifecycleStatus.IN_SERVICE)

    def drain(self, name):
        """Stop sending new requests to an engine; requests in progress complete.

        Parameters
        ----------
        name : str
            Name of the engine.
        """
        self._set_status(name, LifecycleStatus.LEAVING)

    def retire(self, name):
        """Mark an engine as permanently gone.

        Its name still counts in the assignment of engines to shards, so that the other
        engines stay in their shards.

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
            self._add_fault(f"{kind}.{name}", "nothing", "a described object to remove")

    def configuration(self):
        """Return the checked configuration.

        Raises
        ------
        InvalidSettings
            With all faults, each with the path of its object.
        """
        before = self.previous.get("revision", 0)
        faults = list(self._faults)
        try:
            checked = parse_configuration(
                {**self._raw, "revision": before}, DESCRIPTION_PATH
            )
        except InvalidSettings as error:
            faults.extend(error.exceptions)
        if faults:
            raise InvalidSettings(f"the {DESCRIPTION_PATH} is not valid", faults)
        if dump(checked) == self.previous:
            return checked
        return attrs.evolve(checked, revision=before + 1)

    def changes(self):
        """Return descriptions of the differences from the previous configuration.

        Returns
        -------
        changes : list of peridotcove.configuration_differences.Difference
            For example which chats move, which engines receive orders and which limits
            are lowered.
        """
        return find_differences(
            parse_configuration(self.previous), self.configuration()
        )

    def parts(self):
        """Return the checked configuration split into parts, by name of the part."""
        return split_into_parts(dump(self.configuration()))

    def write_parts(self, folder):
        """Write the checked configuration as parts and return the file names.

        Parameters
        ----------
        folder : str
            Folder for ``manifest.json`` and one file per part.
        """
        return write_parts(dump(self.configuration()), folder)

    def __str__(self):
        return format_configuration(dump(self.configuration()))

    def _update_object(self, kind, name, **fields):
        if (kind, name) in self._described:
            self._add_fault(f"{kind}.{name}", name, "each name described once")
        self._described.add((kind, name))
        given = {key: dump(item) for key, item in fields.items() if item is not None}
        self._raw.setdefault(kind, {}).setdefault(name, {}).update(given)

    def _set_status(self, name, status):
        engine = self._raw.get("engines", {}).get(name)
        if engine is None:
            self._add_fault(f"engines.{name}", "nothing", "a described engine")
        else:
            engine["status"] = status.value

    def _add_fault(self, location, found, allowed):
        self._faults.append(
            SettingError(f"{DESCRIPTION_PATH}.{location}", found, allowed)
        )


def _list(names):
    return None if names is None else list(names)
