"""Translates the content of the platform's store into a configuration."""

import functools
import math

from peridotcove.cold_engines import MAX_COLD_MS
from peridotcove.configuration_checks import NAME_PATTERN, is_base_url
from peridotcove.exceptions import InvalidSettings
from peridotcove.json_values import decode_json
from peridotcove.logs import get_logger
from peridotcove.models import Configuration
from peridotcove.platform.document import VALUE_ERRORS, make_name
from peridotcove.schema import build

SERVERS_PREFIX = "servers/"
# The rest of such a key names a zone; what its value says doesn't matter.
EVACUATION_PREFIX = "op/evacuate/"
STATUS_BY_SERVER_STATE = {"ready": "in-service", "draining": "leaving"}
# Servers of any zone may serve clients of any other zone: all zones form one region.
REGION = "machines"
# Name of a zone's own region if the settings give no text for it.
UNKNOWN_REGION_NAME = "x-unknown"
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
# Largest whole number that all JSON decoders read exactly.
LARGEST_EXACT_NUMBER = 2**53 - 1
# Longer texts than any version is; they would be sent with each revision.
MAX_VERSION_CHARS = 200


log = get_logger("store")


def translate(document, item_by_key, store):
    """Return the configuration as a JSON value.

    Parameters
    ----------
    document : OperatorDocument
        The operator's document.
    item_by_key : dict of StoreItem
        Content of the store by key.
    store : StoreSettings
        Settings that are added to the configuration.
    """
    return {
        "bounds": _make_bounds(store, document.keys_required),
        "zones": _add_regions(
            _make_zones(item_by_key, store.region_by_zone),
            document,
            store.region_by_zone,
        ),
        "engines": _make_engines(item_by_key, document, store.region_by_zone),
        **document.sections,
    }


def _make_zones(item_by_key, zones):
    raw_by_zone = {zone: {"region": REGION} for zone in zones}
    for key in item_by_key:
        if not key.startswith(EVACUATION_PREFIX):
            continue
        zone = key.removeprefix(EVACUATION_PREFIX)
        if zone in raw_by_zone:
            raw_by_zone[zone]["evacuated"] = True
        else:
            _log_unknown_zone(zone)
    return raw_by_zone


def _add_regions(raw_by_zone, document, region_by_zone):
    """Return the zones with the regions in which they lie, if a limit names regions."""
    if not _has_region_limits(document):
        return raw_by_zone
    return {
        zone: raw | {"residency_region": _make_region_name(region_by_zone[zone])}
        for zone, raw in raw_by_zone.items()
    }


def _has_region_limits(document):
    return any(
        "regions" in entry
        for section in ("customers", "host_routes")
        for entry in document.sections[section].values()
    )


def _make_region_name(region):
    """Return the name of a zone's region; one that can't be read is in no limit."""
    return make_name(region) if isinstance(region, str) else UNKNOWN_REGION_NAME


@functools.lru_cache(maxsize=ENTRY_CACHE_SIZE)
def _log_unknown_zone(zone):
    """Log once that a zone can't be evacuated."""
    log.warning(
        "the evacuation of zone %.60r is ignored, since the settings name no such zone",
        zone,
    )


def _make_bounds(store, keys_required):
    return {
        "keys_required": keys_required,
        "load_bound": float(store.load_bound),
        "retry_share": float(store.retry_share),
        "block_chars": BLOCK_CHARS,
        "shard_engines": SHARD_ENGINES,
        "cold_rate_ratio": float(store.cold_rate_ratio),
        "cold_rate_extra": int(store.cold_rate_extra),
        **store.zone_bounds,
    }


def _make_engines(item_by_key, document, zones):
    newest_by_address = {}
    for key, item in item_by_key.items():
        if not key.startswith(SERVERS_PREFIX):
            continue
        name = key.removeprefix(SERVERS_PREFIX)
        engine = _make_engine(name, item, document, zones)
        if engine is None:
            continue
        # The address of a removed server may be assigned to a new server before the old
        # entry expires; the newer entry is used.
        other = newest_by_address.get(engine["url"])
        if other is None or other[0] < item.created:
            newest_by_address[engine["url"]] = (item.created, name, engine)
    return {name: engine for _, name, engine in newest_by_address.values()}


def _make_engine(name, item, document, zones):
    """Return an engine, or None if the entry describes no usable server."""
    try:
        raw = decode_json(item.value, "strict")
        # 'addr' is IP:PORT; 'slots' is the server's maximum of concurrent requests.
        address, slots = raw["addr"], raw["slots"]
        service = document.service_by_name.get(raw["service"])
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
        described = service.get("engine")
        described = described if isinstance(described, dict) else {}
        engine = {
            "url": f"http://{address}",
            "zone": raw["zone"],
            "model": document.model_by_service[raw["service"]],
            "capacity": slots,
            # 'kv_tokens' is the KV memory that running requests and cached prefixes
            # share.
            "cache_tokens": int(described.get("kv_tokens", 0)),
            "status": status,
            "shares_cache": bool(described),
            # 'born' is the start time of the server, which may keep its id over a
            # restart.
            "incarnation": _read_start_time(raw.get("born")),
            # 'version' is that of the server's software, not of its weights.
            "software_version": _read_software_version(raw.get("version", "")),
            # 'cold_left_ms' is the time for which the server still is cold.
            "cold_ms": _read_cold_ms(raw.get("cold_left_ms", 0)),
        }
        if engine["cold_ms"]:
            engine["cold_report"] = item.revision
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


def _read_software_version(version):
    if not isinstance(version, str) or len(version) > MAX_VERSION_CHARS:
        raise ValueError(f"the version {version!r:.60} is no short text")
    return version


def _read_cold_ms(value):
    if type(value) not in (int, float) or not 0 <= value < math.inf:
        raise ValueError(f"cold_left_ms is {value!r:.60}, not a time")
    return min(math.ceil(value), MAX_COLD_MS)


def _is_address(address):
    host, _, port = address.rpartition(":")
    return bool(host) and port.isdigit() and 0 < int(port) < 65_536
