"""Reads the settings file that the platform writes for a process."""

import math
import tomllib

from attrs import field, frozen

from peridotcove.clock import MS_PER_S
from peridotcove.exceptions import InvalidSettings, SettingError
from peridotcove.platform.translation import REGION
from peridotcove.settings import Address, Limits, Machine, Settings

# Port of the metrics server; the same as in deploy/system.toml.
METRICS_PORT = 9464
# CPU in cores and network link in Mbit/s of an instance of power 1, about those of the
# weakest instances in use.
REFERENCE_CORES = 0.5
REFERENCE_MBPS = 10.0
# Largest cost in ms of a crossing, and of 1,000 bytes, between zones.
MAX_COST_MS = 10_000
COST_RANGE = f"0 to {MAX_COST_MS}"
# Time reserved between the end of a graceful shutdown and the kill that follows it.
KILL_MARGIN_MS = 300
# The instances are in a closed network and their settings contain no secret. Links
# between nodes are therefore authenticated with a fixed value, which identifies only
# the program.
LINK_SECRET = b"peridotcove links of closed machines"


@frozen
class FixedSecret:
    """A fixed value in place of a shared secret, where the settings have none."""

    HIDDEN = True

    def read(self, path):
        """Return the value as bytes.

        Parameters
        ----------
        path : str
            Path of the setting; not used.
        """
        return LINK_SECRET


@frozen
class StoreSettings:
    """Address of the platform's store, and settings added to each configuration.

    Attributes
    ----------
    address : str
        ``HOST:PORT`` of the store.
    region_by_zone : dict of str
        Region by zone.
    load_bound : float
        Maximum load of an endpoint as a multiple of the mean load of its service.
    retry_share : float
        Retries allowed for each request, over all nodes.
    retry_extra : int
        Additional retries allowed in one window, over all nodes.
    cold_rate_ratio : float
        Requests of a second to a cold server, as a multiple of the rate that it bears.
    cold_rate_extra : int
        Requests of a second to it in addition.
    zone_bounds : dict
        Bounds on traffic between zones, for those that differ from the defaults.
    """

    address: str
    region_by_zone: dict
    load_bound: float
    retry_share: float
    retry_extra: int
    cold_rate_ratio: float = 1.0
    cold_rate_extra: int = 0
    zone_bounds: dict = field(factory=dict)


@frozen
class PlatformNodeSettings(Settings):
    """Settings of a node on one of the platform's instances.

    Attributes
    ----------
    label : str
        Name of the instance, for logs.
    file : str
        Path of the settings file, which may change while the node runs.
    seeds : tuple of str
        Addresses of other nodes, which may be stale or down.
    metrics : Address
        Address at which the metrics are served.
    power : float
        Relative capacity of the instance; 1 for the weakest instances in use.
    """

    INTERFACE = "platform"

    label: str = ""
    file: str = ""
    seeds: tuple[str, ...] = ()
    metrics: Address = Address("", 0)
    power: float = 1.0

    @property
    def log_name(self):
        """Name of the instance, which is on each line of the node's log."""
        return self.label


class _Table:
    """A table of the file that records missing values and values of a wrong type."""

    def __init__(self, raw, path, faults):
        self._raw = raw if isinstance(raw, dict) else {}
        self._path = path
        self._faults = faults

    def get(self, name, types, allowed, default=None):
        found = self._raw.get(name, default)
        if isinstance(found, types) and not isinstance(found, bool):
            return found
        self._faults.append(SettingError(f"{self._path}.{name}", found, allowed))
        return None

    def optional(self, name, kind, allowed):
        found = self._raw.get(name)
        if found is None or (kind is bool and isinstance(found, bool)):
            return found
        is_number = isinstance(found, (int, float)) and not isinstance(found, bool)
        if kind is float and is_number and 0 <= found <= MAX_COST_MS:
            return float(found)
        self._faults.append(SettingError(f"{self._path}.{name}", found, allowed))
        return None

    def table(self, name):
        found = self._raw.get(name, {})
        return _Table(found, f"{self._path}.{name}", self._faults)

    def address(self, name):
        text = self.get(name, str, "IP:PORT")
        host, _, port = (text or "").rpartition(":")
        if host and port.isdigit():
            return Address(host, int(port))
        if text is not None:
            self._faults.append(SettingError(f"{self._path}.{name}", text, "IP:PORT"))
        return Address("", 0)


def read_platform_settings(file):
    """Return the settings of a node from the platform's settings file.

    Unknown fields are ignored.

    Parameters
    ----------
    file : str
        Path of the TOML file.

    Raises
    ------
    InvalidSettings
        If the file has faults; contains all of them.
    """
    try:
        with open(file, "rb") as stream:
            raw = tomllib.load(stream)
    except (OSError, tomllib.TOMLDecodeError) as error:
        fault = SettingError(str(file), str(error), "a readable TOML file")
        raise InvalidSettings(f"{file} is not valid", [fault]) from None
    faults = []
    settings = _make_settings(_Table(raw, str(file), faults), str(file))
    if faults:
        raise InvalidSettings(f"{file} is not valid", faults)
    return settings


def _make_settings(document, file):
    listen = document.table("listen")
    # Only other nodes can reach the port 'control'.
    nodes = listen.address("control")
    callers = listen.address("front")
    ready = listen.address("ready")
    bounds = document.table("bounds")
    grace_s = bounds.get("grace_s", (int, float), "a number of seconds", 8)
    drain_ms = int((grace_s or 0) * MS_PER_S) - KILL_MARGIN_MS
    seeds = document.get("seeds", list, "a list of IP:PORT", [])
    return PlatformNodeSettings(
        node=f"{nodes.host}:{nodes.port}",
        zone=document.get("zone", str, "a name"),
        region=REGION,
        callers=callers,
        nodes=nodes,
        operators=ready,
        secret=FixedSecret(),
        platform=_make_store_settings(document, bounds),
        limits=Limits(header_bytes=65_536, body_bytes=1 << 24, drain_ms=drain_ms),
        machine=_read_machine(document.table("limits")),
        label=document.get("node", str, "a name"),
        file=file,
        seeds=tuple(str(seed) for seed in seeds or ()),
        metrics=Address(callers.host, METRICS_PORT),
        power=_read_power(document.table("limits")),
    )


def _read_machine(limits):
    usual = Machine()
    number = (int, float)
    memory_mb = limits.get("ram_mb", number, "a number of MB", usual.memory_mb)
    descriptors = limits.get("max_fds", int, "a number", usual.descriptors)
    return Machine(int(memory_mb or 0), descriptors or 0)


def _read_power(limits):
    number = (int, float)
    # 'cpu_share' is the share of each of the 'cores' that the node may use.
    share = limits.get("cpu_share", number, "a number", 1.0) or 0.0
    cores = limits.get("cores", int, "a number", 1) or 0
    link_mbps = limits.get("link_mbps", number, "a number", math.inf) or 0.0
    return min(share * cores / REFERENCE_CORES, link_mbps / REFERENCE_MBPS)


def _make_store_settings(document, bounds):
    number = (int, float)
    # 'provider' is the platform's name of the store.
    return StoreSettings(
        document.table("provider").get("addr", str, "IP:PORT"),
        document.get("zones", dict, "a table of regions by zone", {}),
        bounds.get("cap_x", number, "a number of 1 or more", 2),
        bounds.get("budget_ratio", number, "a number", 0.2),
        bounds.get("budget_extra", number, "a number", 0),
        bounds.get("cold_excess", number, "a number of 1 or more", 1.0),
        bounds.get("cold_slack", number, "a number", 0),
        _read_zone_bounds(document.table("zone_traffic")),
    )


def _read_zone_bounds(table):
    """Return the bounds that the table sets, by name.

    Bounds that it doesn't set are left out: nodes of earlier software refuse a
    configuration that names them.
    """
    found = {
        "zone_traffic": table.optional("on", bool, "true or false"),
        "zone_crossing_ms": table.optional("crossing_ms", float, COST_RANGE),
        "zone_kilobyte_ms": table.optional("kilobyte_ms", float, COST_RANGE),
    }
    return {name: value for name, value in found.items() if value is not None}
