"""Translates the content of the platform's store into a configuration."""

import functools
import hashlib
import re

from peridotcove.configuration_checks import NAME_PATTERN, is_base_url
from peridotcove.exceptions import InvalidSettings, PlatformDown
from peridotcove.json_values import decode_json
from peridotcove.logs import get_logger
from peridotcove.models import Configuration
from peridotcove.schema import build

CONFIGURATION_KEY = "op/config"
SERVERS_PREFIX = "servers/"
STATUS_BY_SERVER_STATE = {"ready": "in-service", "draining": "leaving"}
# Servers of any zone may serve clients of any other zone: all zones form one region.
REGION = "machines"
ROUTE_KINDS = ("stream", "idempotent", "non_idempotent")
# Characters of a block of 64 tokens, at 4 characters for each token as the cache index
# assumes. Rounding to whole blocks costs the shortest shared prompts a fiftieth of
# their wait.
BLOCK_CHARS = 256
# Maximum number of endpoints in a shard; larger than any service in use, so that each
# service is one shard. With two shards of 35 engines and some 60 requests each, the
# loads differ by a tenth by chance; the shards then pass prompts to each other, whose
# prefixes have to be computed again because they are cached in the other shard.
SHARD_ENGINES = 128
# Entries whose check is remembered; most stay the same from one revision to the next.
ENTRY_CACHE_SIZE = 8_192
# Rate and concurrency limit that is never reached: the platform sets no quota.
NO_LIMIT = 1_000_000
# Page of a model server about itself.
REPORT_PATH = "/report"
HEALTH_PATH_PATTERN = re.compile(r"/[!-~]{0,200}")
# Largest whole number that all JSON decoders read exactly.
LARGEST_EXACT_NUMBER = 2**53 - 1

# Errors of a value that has other fields, types or sizes than expected.
VALUE_ERRORS = (ValueError, KeyError, TypeError, AttributeError, ArithmeticError)

log = get_logger("store")


def read_version(item):
    """Return the version of the operator's document.

    Parameters
    ----------
    item : StoreItem
        The document as stored.

    Raises
    ------
    PlatformDown
        If the document is invalid.
    """
    try:
        version = decode_json(item.value).get("version", 0)
    except (ValueError, AttributeError) as error:
        raise PlatformDown(f"{CONFIGURATION_KEY} can't be read: {error!r}") from None
    if type(version) is not int or version < 0:
        raise PlatformDown(f"{CONFIGURATION_KEY} has the version {version!r}")
    return version


def translate(item_by_key, store):
    """Return the configuration as a JSON value, or None if the store has none.

    Parameters
    ----------
    item_by_key : dict of StoreItem
        Content of the store by key.
    store : StoreSettings
        Settings that are added to the configuration.

    Raises
    ------
    PlatformDown
        If the operator's document is invalid.
    """
    item = item_by_key.get(CONFIGURATION_KEY)
    if item is None:
        return None
    try:
        document = decode_json(item.value)
        # 'service' of a route names a group of servers.
        service_by_name = {one["name"]: one for one in document["services"]}
        return {
            "bounds": _make_bounds(store, "tenants" in document),
            "zones": {zone: {"region": REGION} for zone in store.region_by_zone},
            "models": {name: _make_model(one) for name, one in service_by_name.items()},
            "engines": _make_engines(
                item_by_key, service_by_name, store.region_by_zone
            ),
            "customers": {
                one["name"]: _make_customer(one) for one in document.get("tenants", ())
            },
            "host_routes": {
                one["name"]: _make_route(one) for one in document["routes"]
            },
        }
    except VALUE_ERRORS as error:
        raise PlatformDown(f"{CONFIGURATION_KEY} can't be read: {error!r}") from None


def _make_bounds(store, keys_required):
    return {
        "keys_required": keys_required,
        "load_bound": float(store.load_bound),
        "retry_share": float(store.retry_share),
        "block_chars": BLOCK_CHARS,
        "shard_engines": SHARD_ENGINES,
    }


def _make_model(raw):
    # A model server tells of itself without a slot; other servers have a health check.
    path = REPORT_PATH if raw.get("engine") else raw.get("health_path")
    is_path = isinstance(path, str) and HEALTH_PATH_PATTERN.fullmatch(path)
    return {"health_path": path} if is_path else {}


def _make_customer(raw):
    digests = [hashlib.sha256(key.encode()).hexdigest() for key in raw["api_keys"]]
    customer = {
        "key_digests": digests,
        "requests_per_second": float(NO_LIMIT),
        "concurrency": NO_LIMIT,
    }
    if isinstance(raw.get("priority"), int):
        customer["priority"] = raw["priority"]
    return customer


def _make_route(raw):
    kind = raw["kind"]
    if kind not in ROUTE_KINDS:
        raise ValueError(f"unknown kind {kind!r} of route {raw['name']!r}")
    # A route with 'split' has several weighted services, others have one 'service'.
    split = raw.get("split") or [{"service": raw["service"], "weight": 1}]
    return {
        "host": raw["host"],
        "prefix": raw["prefix"],
        "targets": [
            {"model": one["service"], "weight": float(one["weight"])} for one in split
        ],
        "repeatable": kind == "idempotent",
        "streaming": kind == "stream",
        "resumable": bool(raw.get("resumable", False)),
        "sticky": bool(raw.get("sticky", False)),
        "public": bool(raw.get("public", False)),
        # 'attempts' is the number of servers tried, the first one included.
        "attempts": raw.get("attempts", 1),
        "priority": raw.get("priority", 5),
        "timeout_ms": max(1, int(raw["timeout_ms"])),
        "goal_ms": max(1, int(raw.get("goal_ms", 1_000))),
    }


def _make_engines(item_by_key, service_by_name, zones):
    newest_by_address = {}
    for key, item in item_by_key.items():
        if not key.startswith(SERVERS_PREFIX):
            continue
        name = key.removeprefix(SERVERS_PREFIX)
        engine = _make_engine(name, item, service_by_name, zones)
        if engine is None:
            continue
        # The address of a removed server may be assigned to a new server before the old
        # entry expires; the newer entry is used.
        other = newest_by_address.get(engine["url"])
        if other is None or other[0] < item.created:
            newest_by_address[engine["url"]] = (item.created, name, engine)
    return {name: engine for _, name, engine in newest_by_address.values()}


def _make_engine(name, item, service_by_name, zones):
    """Return an engine, or None if the entry describes no usable server."""
    try:
        raw = decode_json(item.value)
        # 'addr' is IP:PORT; 'slots' is the server's maximum of concurrent requests.
        address, slots = raw["addr"], raw["slots"]
        service = service_by_name.get(raw["service"])
        status = STATUS_BY_SERVER_STATE.get(raw["state"])
        usable = (
            service is not None
            and status is not None
            and raw["zone"] in zones
            and type(slots) is int
            and _is_address(address)
        )
        if not usable:
            raise ValueError("a field is missing or has an unknown value")
        described = service.get("engine") or {}
        engine = {
            "url": f"http://{address}",
            "zone": raw["zone"],
            "model": raw["service"],
            "capacity": slots,
            # 'kv_tokens' is the KV memory that running requests and cached prefixes
            # share.
            "cache_tokens": int(described.get("kv_tokens", 0)),
            "status": status,
            "shares_cache": bool(described),
            # 'born' is the start time of the server, which may keep its id over a
            # restart.
            "incarnation": _read_start_time(raw.get("born")),
        }
        _check_engine(name, tuple(engine.items()))
        return engine
    except (*VALUE_ERRORS, InvalidSettings) as error:
        log.warning(
            "server entry %s of revision %d is invalid and ignored: %r",
            name,
            item.revision,
            error,
        )
        return None


@functools.lru_cache(maxsize=ENTRY_CACHE_SIZE)
def _check_engine(name, fields):
    """Raise an error if an engine would make the whole configuration invalid."""
    engine = dict(fields)
    if not NAME_PATTERN.fullmatch(name) or not is_base_url(engine["url"]):
        raise ValueError("the key or the address is malformed")
    build(Configuration, {"engines": {name: engine}}, "entry")


def _read_start_time(born):
    """Return a server's start time, or 0 if it is unknown."""
    is_known = type(born) is int and 0 <= born <= LARGEST_EXACT_NUMBER
    return born if is_known else 0


def _is_address(address):
    host, _, port = address.rpartition(":")
    return bool(host) and port.isdigit() and 0 < int(port) < 65_536
