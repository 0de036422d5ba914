"""Starts the nodes as the deploy file does, and writes the record of a case."""

import asyncio
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

from rig_2.clients import send
from rig_2.store import Store

ROOT = Path(__file__).resolve().parents[2]
ZONE = "olt-a"
REGION = "ro-olt"
READY_TIMEOUT_S = 20
STOP_TIMEOUT_S = 12
HOST = "cases.example"
LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 4_194_304,
    "header_timeout_ms": 3_000,
    "idle_timeout_ms": 15_000,
}
SETTINGS = """
node = "{label}"
role = "router"
class = "front"
serves = ["front", "control"]
ip = "{ip}"
zone = "{zone}"
region = "{region}"
port_range = [{low}, {high}]
seeds = {seeds}
bootstrap = true
in_tolerance = false
discovery = "platform"
entry = "vip"
beat_ms = 1200
contracts = ["base", "drain", "config", "retry", "recover", "platform"]
[zones]
{zone} = "{region}"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpu_share = 0.537
cores = 2
ram_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[tolerate]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_s = 2
stable_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
apply_ms = 2000
downgrade_ms = 250
stretch_ms = 5000
strict_revoke = false
revoke_ms = 5000
budget_ratio = 0.2
budget_window_s = 10
budget_extra = 54
recover_s = 12
pass_ms = 120
retry_after_s = 10
cap_x = 2
[provider]
addr = "{store}"
form = "read"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""


class Record:
    """The file that tells what was sent, answered and run.

    Parameters
    ----------
    folder : Path
        Folder of the case.
    """

    def __init__(self, folder):
        self._file = open(folder / "record.txt", "w")  # noqa: SIM115
        self._began_s = time.monotonic()

    def write(self, text):
        """Write a line.

        Parameters
        ----------
        text : str
            The line.
        """
        self._file.write(f"{time.monotonic() - self._began_s:8.3f} {text}\n")
        self._file.flush()


class NodeProcess:
    """One node, started by the command of the deploy file.

    Parameters
    ----------
    label, ip : str
        Name and loopback address of its machine.
    ports : dict of int
        Ports by name.
    folder : Path
        Folder of its settings and its log.
    """

    def __init__(self, label, ip, ports, folder):
        self.label = label
        self.ip = ip
        self.ports = ports
        self.address = f"{ip}:{ports['front']}"
        self.control = f"{ip}:{ports['control']}"
        self.ready = f"{ip}:{ports['ready']}"
        self.log = folder / f"{label}.log"
        self._settings = folder / f"{label}.toml"
        self._process = None

    @property
    def pid(self):
        """Id of the process."""
        return self._process.pid

    @property
    def running(self):
        """Whether the process runs."""
        return self._process.poll() is None

    def start(self, store, seeds):
        """Write the settings and start the process.

        Parameters
        ----------
        store : str
            Address of the store.
        seeds : list of str
            Addresses of nodes.
        """
        text = SETTINGS.format(
            label=self.label,
            ip=self.ip,
            zone=ZONE,
            region=REGION,
            seeds=str(seeds).replace("'", '"'),
            store=store,
            **self.ports,
        )
        self._settings.write_text(text)
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PERIDOTCOVE_NODE_FILE"] = str(self._settings)
        with open(self.log, "a") as log:
            self._process = subprocess.Popen(
                deploy["roles"]["router"]["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number):
        """Send a signal.

        Parameters
        ----------
        number : int
            The signal.
        """
        if self.running:
            self._process.send_signal(number)

    def kill(self):
        """Kill the process and wait for its end."""
        if self._process is not None:
            self.signal(signal.SIGKILL)
            self._process.wait()

    async def wait(self, timeout_s):
        """Return whether the process has ended in time.

        Parameters
        ----------
        timeout_s : float
            Longest wait in seconds.
        """
        end_s = time.monotonic() + timeout_s
        while self.running and time.monotonic() < end_s:
            await asyncio.sleep(0.02)
        return not self.running

    async def is_ready(self):
        """Return whether the node says that it is ready."""
        outcome = await send(self.ready, HOST, "/ready", "GET", deadline_ms=500)
        return outcome.response is not None and outcome.response.status == 200

    def peak_mb(self):
        """Return the largest resident memory so far in MB of 1,000,000 bytes."""
        try:
            with open(f"/proc/{self.pid}/status") as status:
                lines = [line for line in status if line.startswith("VmHWM:")]
        except OSError:
            return 0.0
        return int(lines[0].split()[1]) * 1_024 / 1e6 if lines else 0.0


class Rig:
    """Store, nodes and record of one case.

    Parameters
    ----------
    folder : Path
        Folder of the case.
    count : int
        Number of nodes.
    """

    def __init__(self, folder, count):
        self.record = Record(folder)
        self._base = f"127.{_draw(16, 200)}.{_draw(1, 250)}"
        self.store = Store(self.host(250))
        self.folder = Path(tempfile.mkdtemp(prefix="rig-"))
        self.nodes = [
            NodeProcess(
                f"front-{ZONE}-{number}",
                self.host(number),
                _find_ports(self.host(number)),
                self.folder,
            )
            for number in range(1, count + 1)
        ]

    def host(self, number):
        """Return a loopback address.

        Parameters
        ----------
        number : int
            Its last part.
        """
        return f"{self._base}.{number}"

    def put_configuration(self, version, routes, services, tenants=None):
        """Write a version of the configuration.

        Parameters
        ----------
        version : int
            The version.
        routes, services : list of dict
            Its routes and services.
        tenants : list of dict or None
            Its tenants, if it has some.
        """
        document = {"version": version, "routes": routes, "services": services}
        if tenants is not None:
            document["tenants"] = tenants
        self.store.put("op/config", document | {"limits": LIMITS})
        self.record.write(f"configuration {version} is acknowledged")

    def start_node(self, node):
        """Start a node, with the first three as its seeds.

        Parameters
        ----------
        node : NodeProcess
            The node.
        """
        node.start(self.store.address, [one.control for one in self.nodes[:3]])

    async def start_nodes(self):
        """Start all nodes; raise an error unless all get ready."""
        for node in self.nodes:
            self.start_node(node)
        end_s = time.monotonic() + READY_TIMEOUT_S
        for node in self.nodes:
            while not await node.is_ready():
                if time.monotonic() > end_s or not node.running:
                    raise RuntimeError(f"{node.label} did not get ready")
                await asyncio.sleep(0.1)
        self.record.write(f"{len(self.nodes)} nodes are ready")

    def close(self):
        """End all processes and remove the temporary folder."""
        for node in self.nodes:
            node.kill()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder)


def make_route(name, prefix, service, kind, timeout_ms, attempts=2, public=True):
    """Return a route of the configuration.

    Parameters
    ----------
    name, prefix, service, kind : str
        Its fields.
    timeout_ms : int
        Its time-out.
    attempts : int
        Servers to which a request may be sent.
    public : bool
        Whether it needs no key.
    """
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeout_ms": timeout_ms,
        "goal_ms": 250,
        "priority": 1,
        "service": service,
        "attempts": attempts,
        "public": public,
        "sticky": False,
        "resumable": False,
    }


def make_service(name):
    """Return a plain service of the configuration.

    Parameters
    ----------
    name : str
        Its name.
    """
    return {
        "name": name,
        "health_path": "/health",
        "max_conns": 100,
        "protocol": "h1",
        "tls": False,
    }


def run_case(case, folder, count):
    """Run a case and return its exit code.

    Parameters
    ----------
    case : callable
        Coroutine function, called with the `Rig` and whether there is trouble; returns
        whether the rule held.
    folder : Path
        Folder of the case.
    count : int
        Number of nodes.
    """

    async def run():
        # Connections of stand-ins that are still open at the end are no fault.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        rig = Rig(folder, count)
        try:
            await rig.store.start()
            return await case(rig, os.environ.get("TROUBLE", "1") != "0")
        except Exception as error:
            rig.record.write(f"the case could not run: {error!r}")
            return None
        finally:
            rig.close()

    held = asyncio.run(run())
    if held is None:
        return 2
    return 0 if held else 1


def _draw(low, high):
    return low + os.urandom(1)[0] % (high - low)


def _find_ports(host):
    """Return free ports of an address by name."""
    sockets = [socket.socket() for _ in range(3)]
    for sock in sockets:
        sock.bind((host, 0))
    front, ready, control = (sock.getsockname()[1] for sock in sockets)
    for sock in sockets:
        sock.close()
    names = {"front": front, "ready": ready, "control": control}
    return names | {"low": 7_340, "high": 7_355}
