"""Reads the settings file that the machines' platform writes for a process."""

import math
import tomllib

from attrs import frozen

from peridotcove.clock import MS_PER_S
from peridotcove.exceptions import InvalidSettings, SettingError
from peridotcove.platform.translation import REGION
from peridotcove.settings import Address, Limits, Settings

# Environment variable with the path of the file.
SETTINGS_PATH_VARIABLE = "PERIDOTCOVE_NODE_FILE"
# Port of the metrics, as deploy/system.toml names it.
METRICS_PORT = 9464
# Processor, in cores, and link, in Mbit/s, of a machine of power 1: about those of the
# weakest machines in use.
POWER_CORES = 0.5
POWER_MBPS = 10.0
# Time in ms between the end of a graceful shutdown and the kill that follows it.
KILL_MARGIN_MS = 300
# The network of the machines is closed and their settings hold no secret, so links
# between nodes are proved with a value that says only which program speaks.
LINK_SECRET = b"peridotcove links of closed machines"


@frozen
class OpenSecret:
    """A value in place of a shared secret, where the settings have none."""

    HIDDEN = True

    def read(self, path):
        """Return the value as bytes.

        Parameters
        ----------
        path : str
            Where the setting stands; not used.
        """
        return LINK_SECRET


@frozen
class Store:
    """Where the platform's store is, and what each configuration needs beside it.

    Attributes
    ----------
    address : str
        ``HOST:PORT`` of the store.
    region_by_zone : dict of str
        Regions by zone.
    load_bound : float
        Highest load of an endpoint as a multiple of the mean of its service.
    retry_share : float
        Repeats allowed for each request, over all nodes.
    retry_extra : int
        Repeats allowed beside these in one window, over all nodes.
    """

    address: str
    region_by_zone: dict
    load_bound: float
    retry_share: float
    retry_extra: int


@frozen
class MachineSettings(Settings):
    """Settings of a node on one of the users' machines.

    Attributes
    ----------
    label : str
        Name of the machine, for logs.
    file : str
        Path of the settings file, which may change while the node runs.
    seeds : tuple of str
        Addresses of other nodes, which may be stale or down.
    metrics : Address
        Where the metrics are served.
    power : float
        What the machine can do, 1 for the weakest ones in use.
    """

    INTERFACE = "platform"

    label: str = ""
    file: str = ""
    seeds: tuple[str, ...] = ()
    metrics: Address = Address("", 0)
    power: float = 1.0

    @property
    def log_name(self):
        """Name of the machine, which is on each line of the node's log."""
        return self.label


class _Table:
    """A table of the file that names what is missing or of the wrong type."""

    def __init__(self, raw, path, faults):
        self._raw = raw if isinstance(raw, dict) else {}
        self._path = path
        self._faults = faults

    def get(self, name, kind, words, default=None):
        found = self._raw.get(name, default)
        if isinstance(found, kind) and not isinstance(found, bool):
            return found
        self._faults.append(SettingError(f"{self._path}.{name}", found, words))
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
    """Return the settings of a node on one of the users' machines.

    Fields that are not known are ignored.

    Parameters
    ----------
    file : str
        Path of the TOML file.

    Raises
    ------
    InvalidSettings
        With all faults of the file.
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


def _make_settings(top, file):
    listen = top.table("listen")
    # 'control' is only a port that other nodes may reach.
    nodes = listen.address("control")
    callers = listen.address("front")
    ready = listen.address("ready")
    bounds = top.table("bounds")
    grace_s = bounds.get("grace_s", (int, float), "a number of seconds", 8)
    drain_ms = int((grace_s or 0) * MS_PER_S) - KILL_MARGIN_MS
    seeds = top.get("seeds", list, "a list of IP:PORT", [])
    return MachineSettings(
        node=f"{nodes.host}:{nodes.port}",
        zone=top.get("zone", str, "a name"),
        region=REGION,
        callers=callers,
        nodes=nodes,
        operators=ready,
        secret=OpenSecret(),
        platform=_make_store(top, bounds),
        limits=Limits(header_bytes=65_536, body_bytes=1 << 24, drain_ms=drain_ms),
        label=top.get("node", str, "a name"),
        file=file,
        seeds=tuple(str(seed) for seed in seeds or ()),
        metrics=Address(callers.host, METRICS_PORT),
        power=_read_power(top.table("limits")),
    )


def _read_power(limits):
    number = (int, float)
    # 'cpu_share' is the share of each core, of which there are 'cores'.
    share = limits.get("cpu_share", number, "a number", 1.0) or 0.0
    cores = limits.get("cores", int, "a number", 1) or 0
    link_mbps = limits.get("link_mbps", number, "a number", math.inf) or 0.0
    return min(share * cores / POWER_CORES, link_mbps / POWER_MBPS)


def _make_store(top, bounds):
    number = (int, float)
    # 'provider' is the store.
    return Store(
        top.table("provider").get("addr", str, "IP:PORT"),
        top.get("zones", dict, "a table of regions by zone", {}),
        bounds.get("cap_x", number, "a number of 1 or more", 2),
        bounds.get("budget_ratio", number, "a number", 0.2),
        bounds.get("budget_extra", number, "a number", 0),
    )
