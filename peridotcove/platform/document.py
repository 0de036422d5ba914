"""Translates the operator's document into customers, models and routes.

An entry that can't be used costs itself alone, and a value out of its range is moved to
the nearest one. The log names both.
"""

import functools
import hashlib
import json
import re

from attrs import frozen

from peridotcove.configuration_checks import NAME_PATTERN
from peridotcove.exceptions import InvalidSettings, PlatformDown
from peridotcove.json_values import decode_json
from peridotcove.logs import get_logger
from peridotcove.models import Configuration, HostRoute, Model, Target
from peridotcove.schema import build, find_range

CONFIGURATION_KEY = "op/config"
ROUTE_KINDS = ("stream", "idempotent", "non_idempotent")
DEFAULT_PRIORITY = 5
DEFAULT_GOAL_MS = 1_000
# Rate and concurrency limit that is never reached: the platform sets no quota.
NO_LIMIT = 1_000_000
HEALTH_PATH_PATTERN = re.compile(r"/[!-~]{0,200}")
# A name that is sent in a header field: no control characters.
SENT_NAME_PATTERN = re.compile(r"[^\x00-\x1f\x7f]+")
HASHED_NAME_CHARS = 16
# In place of a limit that can't be read; no zone lies there.
UNREADABLE_REGION = "x-unreadable"
# Entries whose check is remembered; most stay the same from one version to the next.
ENTRY_CACHE_SIZE = 16_384
# Errors of a value that has other fields, types or sizes than expected.
VALUE_ERRORS = (ValueError, KeyError, TypeError, AttributeError, ArithmeticError)

log = get_logger("store")


@frozen
class OperatorDocument:
    """The operator's document, translated.

    Attributes
    ----------
    version : int
        Its version.
    revision : int
        Revision of the store that wrote it.
    service_by_name : dict
        Its services as written, by the name that the operator gave them.
    model_by_service : dict of str
        Name of the model of each service.
    sections : dict
        Sections of the configuration that it gives, as JSON values.
    keys_required : bool
        Whether requests need an API key.
    """

    version: int
    revision: int
    service_by_name: dict
    model_by_service: dict
    sections: dict
    keys_required: bool


def parse_document(item):
    """Return the `OperatorDocument` of a value of the store.

    Parameters
    ----------
    item : StoreItem
        The document as stored.

    Raises
    ------
    PlatformDown
        If it is no document: no JSON, no version, or no lists of routes and services.
    """
    try:
        raw = decode_json(item.value)
        version = raw.get("version", 0)
        if type(version) is not int or version < 0:
            raise ValueError(f"the version is {version!r}")
        service_by_name = dict(_parse_services(raw["services"]))
        model_by_service = {name: make_name(name) for name in service_by_name}
        sections = {
            "models": {
                model_by_service[name]: _make_model(one)
                for name, one in service_by_name.items()
            },
            "customers": _translate_entries(
                "customers", raw.get("tenants", ()), _make_customer
            ),
            "host_routes": _translate_entries(
                "host_routes",
                raw["routes"],
                lambda one: _make_route(one, model_by_service),
            ),
        }
    except VALUE_ERRORS as error:
        raise PlatformDown(f"{CONFIGURATION_KEY} can't be read: {error!r}") from None
    _drop_repeated_keys(sections["customers"])
    return OperatorDocument(
        version,
        item.revision,
        service_by_name,
        model_by_service,
        sections,
        "tenants" in raw,
    )


def make_name(text):
    """Return the name in the configuration of what the operator named.

    Parameters
    ----------
    text : str
        Name in the operator's document; an odd one gets a hash in its place.
    """
    if NAME_PATTERN.fullmatch(text):
        return text
    digest = hashlib.sha256(text.encode("utf-8", "surrogatepass")).hexdigest()
    return f"x-{digest[:HASHED_NAME_CHARS]}"


def _parse_services(services):
    for one in services:
        if isinstance(one, dict) and isinstance(one.get("name"), str):
            yield one["name"], one
        else:
            _log_ignored("services", one, "it has no name")


def _translate_entries(section, items, make_entry):
    """Return the usable entries of a section by name."""
    entry_by_name = {}
    for item in items:
        try:
            name = make_name(item["name"])
            entry = make_entry(item)
            _check_entry(section, name, json.dumps(entry))
        except (*VALUE_ERRORS, InvalidSettings) as error:
            _log_ignored(section, item, error)
            continue
        if name in entry_by_name:
            _log_ignored(section, item, "another one has its name")
            continue
        entry_by_name[name] = entry
    return entry_by_name


def _log_ignored(section, item, reason):
    name = item.get("name") if isinstance(item, dict) else item
    log.error(
        "%s: entry %.60r of the %s is ignored: %.300s",
        CONFIGURATION_KEY,
        name,
        section,
        reason if isinstance(reason, str) else repr(reason),
    )


@functools.lru_cache(maxsize=ENTRY_CACHE_SIZE)
def _check_entry(section, name, text):
    """Raise an error if an entry would make the whole configuration invalid."""
    entry = json.loads(text)
    if section == "host_routes":
        prefix = entry["prefix"]
        if not (prefix.startswith("/") and prefix.endswith("/")):
            raise ValueError(f"the prefix {prefix!r} has no slash at both ends")
        if not sum(target["weight"] for target in entry["targets"]) > 0:
            raise ValueError("no target has a weight above 0")
    build(Configuration, {section: {name: entry}}, "entry")


def _make_model(raw):
    model = {}
    path = raw.get("health_path")
    if isinstance(path, str) and HEALTH_PATH_PATTERN.fullmatch(path):
        model["health_path"] = path
    # 'cold_per_s' is the rate of requests that a server bears after its start.
    rate = raw.get("cold_per_s", 0)
    if type(rate) in (int, float) and rate > 0:
        model["cold_rate"] = _clamp(Model, "cold_rate", float(rate), raw["name"])
    return model


def _make_customer(raw):
    name = raw["name"]
    if not SENT_NAME_PATTERN.fullmatch(name):
        raise ValueError("the name can't be sent in a header field")
    digests = [
        hashlib.sha256(key.encode("utf-8", "surrogatepass")).hexdigest()
        for key in dict.fromkeys(raw["api_keys"])
    ]
    customer = {
        "key_digests": digests,
        "requests_per_second": float(NO_LIMIT),
        "concurrency": NO_LIMIT,
    }
    if make_name(name) != name:
        customer["label"] = name
    if type(raw.get("priority")) is int:
        customer["priority"] = _clamp(HostRoute, "priority", raw["priority"], name)
    return customer | _read_regions(raw)


def _drop_repeated_keys(customer_by_name):
    """Leave a key that several customers list with the first of them."""
    owner_by_digest = {}
    for name, customer in customer_by_name.items():
        kept = []
        for digest in customer["key_digests"]:
            owner = owner_by_digest.setdefault(digest, name)
            if owner == name:
                kept.append(digest)
            else:
                log.error(
                    "%s: a key of %.60r is ignored, since %.60r has it too",
                    CONFIGURATION_KEY,
                    name,
                    owner,
                )
        customer["key_digests"] = kept


def _make_route(raw, model_by_service):
    kind, name = raw["kind"], raw["name"]
    if kind not in ROUTE_KINDS:
        raise ValueError(f"unknown kind {kind!r}")
    # A route with 'split' has several weighted services, others have one 'service'.
    split = raw.get("split") or [{"service": raw["service"], "weight": 1}]
    return {
        "host": raw["host"],
        "prefix": raw["prefix"],
        "targets": [
            {
                "model": model_by_service[one["service"]],
                "weight": _clamp(Target, "weight", float(one["weight"]), name),
            }
            for one in split
        ],
        "repeatable": kind == "idempotent",
        "streaming": kind == "stream",
        "resumable": bool(raw.get("resumable", False)),
        "sticky": bool(raw.get("sticky", False)),
        "public": bool(raw.get("public", False)),
        # 'attempts' is the number of servers tried, the first one included.
        "attempts": _read_number(raw, "attempts", 1),
        "priority": _read_number(raw, "priority", DEFAULT_PRIORITY),
        "timeout_ms": _clamp(HostRoute, "timeout_ms", int(raw["timeout_ms"]), name),
        "goal_ms": _read_number(raw, "goal_ms", DEFAULT_GOAL_MS),
        **_read_regions(raw),
    }


def _read_regions(raw):
    """Return the regions to which a route or tenant is limited, as a field if it is.

    A limit that can't be read allows no region. Without its entry, a request could
    match another route, which has no limit.
    """
    # 'allowed_regions' lists names of regions; without any, all are allowed.
    value = raw.get("allowed_regions")
    if value is None or value == []:
        return {}
    if isinstance(value, list) and all(isinstance(one, str) for one in value):
        return {"regions": [make_name(one) for one in dict.fromkeys(value)]}
    log.error(
        "%s: the regions of %.60r are %.80r, no list of names; it gets no engine",
        CONFIGURATION_KEY,
        raw["name"],
        value,
    )
    return {"regions": [UNREADABLE_REGION]}


def _read_number(raw, field, default):
    """Return a whole number of a route, within its range; the default if it is none."""
    value = raw.get(field, default)
    if type(value) is float and value.is_integer():
        value = int(value)
    if type(value) is not int:
        log.warning(
            "%s: %s of route %.60r is no whole number; %d is used",
            CONFIGURATION_KEY,
            field,
            raw["name"],
            default,
        )
        return default
    return _clamp(HostRoute, field, value, raw["name"])


def _clamp(cls, field, value, name):
    low, high = find_range(cls, field)
    clamped = min(max(value, low), high)
    if clamped != value:
        log.warning(
            "%s: %s of %.60r is %.40r, out of its range; %r is used",
            CONFIGURATION_KEY,
            field,
            name,
            value,
            clamped,
        )
    return clamped
