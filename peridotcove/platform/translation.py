"""Turns the content of the platform's store into the product's configuration."""

import hashlib
import json

from peridotcove.exceptions import PlatformDown
from peridotcove.logs import get_logger

CONFIGURATION_KEY = "op/config"
SERVERS_PREFIX = "servers/"
STATUS_BY_STATE = {"ready": "in-service", "draining": "leaving"}
# Servers of any zone may serve clients of any other, so that all zones are one region.
REGION = "machines"
KINDS = ("stream", "idempotent", "non_idempotent")
# Characters for a block of 64 tokens, at the 4 characters a token that the cache index
# counts: a fiftieth of the shortest shared prompts' wait is lost to rounding.
BLOCK_CHARS = 256
# Endpoints of one service that one owner decides for: above those of any deployment in
# use. Two shards of 35 engines with some 60 requests each differ by a tenth by chance,
# pass prompts to each other, and read again what the other one keeps.
SHARD_ENGINES = 128
# Rate and concurrency that never bind: the platform sets no quota.
NO_LIMIT = 1_000_000

log = get_logger("store")


def translate(item_by_key, store):
    """Return the product's configuration as a JSON value, or None without one.

    Parameters
    ----------
    item_by_key : dict of Item
        Content of the store.
    store : Store
        Settings that each configuration needs.

    Raises
    ------
    PlatformDown
        If the operator's document can't be read.
    """
    item = item_by_key.get(CONFIGURATION_KEY)
    if item is None:
        return None
    try:
        document = json.loads(item.value)
        # A route's 'service' is the name of a group of servers.
        service_by_name = {one["name"]: one for one in document["services"]}
        return {
            "bounds": _bounds(store, "tenants" in document),
            "zones": {zone: {"region": REGION} for zone in store.region_by_zone},
            "models": {name: {} for name in service_by_name},
            "engines": _engines(item_by_key, service_by_name, store.region_by_zone),
            "customers": {
                one["name"]: _customer(one) for one in document.get("tenants", ())
            },
            "host_routes": {one["name"]: _route(one) for one in document["routes"]},
        }
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise PlatformDown(f"{CONFIGURATION_KEY} can't be read: {error!r}") from None


def _bounds(store, keys_required):
    return {
        "keys_required": keys_required,
        "load_bound": float(store.load_bound),
        "retry_share": float(store.retry_share),
        "block_chars": BLOCK_CHARS,
        "shard_engines": SHARD_ENGINES,
    }


def _customer(raw):
    digests = [hashlib.sha256(key.encode()).hexdigest() for key in raw["api_keys"]]
    customer = {
        "key_digests": digests,
        "requests_per_second": float(NO_LIMIT),
        "concurrency": NO_LIMIT,
    }
    if isinstance(raw.get("priority"), int):
        customer["priority"] = raw["priority"]
    return customer


def _route(raw):
    kind = raw["kind"]
    if kind not in KINDS:
        raise ValueError(f"kind {kind!r} of route {raw['name']!r} is not known")
    # With 'split' the route has several services, else just 'service'.
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
        # 'attempts' counts servers, not repeats.
        "attempts": raw.get("attempts", 1),
        "priority": raw.get("priority", 5),
        "timeout_ms": max(1, int(raw["timeout_ms"])),
        "goal_ms": max(1, int(raw.get("goal_ms", 1_000))),
    }


def _engines(item_by_key, service_by_name, zones):
    newest_by_address = {}
    for key, item in item_by_key.items():
        if not key.startswith(SERVERS_PREFIX):
            continue
        name = key.removeprefix(SERVERS_PREFIX)
        engine = _engine(name, item, service_by_name, zones)
        if engine is None:
            continue
        # The address of a server that is gone may have been given to another one
        # before the old entry lapses.
        other = newest_by_address.get(engine["url"])
        if other is None or other[0] < item.created:
            newest_by_address[engine["url"]] = (item.created, name, engine)
    return {name: engine for _, name, engine in newest_by_address.values()}


def _engine(name, item, service_by_name, zones):
    """Return an engine, or None where the entry names no server to use."""
    try:
        raw = json.loads(item.value)
        # 'addr' is IP:PORT; 'slots' is how many requests the server runs at once.
        address, slots = raw["addr"], raw["slots"]
        service = service_by_name.get(raw["service"])
        status = STATUS_BY_STATE.get(raw["state"])
        usable = (
            service is not None
            and status is not None
            and raw["zone"] in zones
            and isinstance(slots, int)
            and slots >= 1
            and _is_address(address)
        )
        if not usable:
            raise ValueError("a field is missing or has an unknown value")
        described = service.get("engine") or {}
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        log.warning("entry %s of revision %d left out: %r", name, item.revision, error)
        return None
    return {
        "url": f"http://{address}",
        "zone": raw["zone"],
        "model": raw["service"],
        "capacity": slots,
        # 'kv_tokens' is the memory that running requests and cached prefixes share.
        "cache_tokens": int(described.get("kv_tokens", 0)),
        "status": status,
        "shares_cache": bool(described),
        # 'born' is the time of the server's start; it may keep its id over a restart.
        "incarnation": raw["born"] if isinstance(raw.get("born"), int) else 0,
    }


def _is_address(address):
    host, _, port = address.rpartition(":")
    return bool(host) and port.isdigit() and 0 < int(port) < 65_536
