"""Node processes that the soak starts, and signals by their process ids."""

import asyncio
import logging
import os
import pathlib
import signal
import sys

from attrs import field, frozen

from peridotcove.platform.early_ports import SETTINGS_PATH_VARIABLE

ROOT = pathlib.Path(__file__).resolve().parents[2]
FRONT_PORT, NODES_PORT, READY_PORT = 7101, 7100, 7102
STARTED_EVENT = b'"node: started"'
log = logging.getLogger("soak")

SETTINGS_TEMPLATE = """
node = "{label}"
zone = "{zone}"
region = "r"
seeds = [{seeds}]
[zones]
z1 = "r"
z2 = "r"
[listen]
front = "{host}:{front}"
ready = "{host}:{ready}"
control = "{host}:{nodes}"
[bounds]
grace_s = {grace_s}
cap_x = 2
budget_ratio = {ratio}
budget_extra = {extra}
cold_excess = {cold_excess}
cold_slack = {cold_slack}
[provider]
addr = "{store}"
[limits]
ram_mb = {ram_mb}
max_fds = {max_fds}
"""
# Limits of a machine that come into play only in tests that state others.
MACHINE_LIMITS = {"ram_mb": 4_096, "max_fds": 20_000}


@frozen
class Build:
    """A build of the program that nodes run.

    Attributes
    ----------
    folder : pathlib.Path
        Folder that contains its package.
    variables : dict
        Environment variables that its processes need.
    """

    folder: pathlib.Path
    variables: dict = field(factory=dict)


CURRENT_BUILD = Build(ROOT)


class NodeProcess:
    """A node, and the process that runs it; the process is replaced at each start.

    Parameters
    ----------
    label : str
        Name in logs.
    host : str
        Loopback address that only this node uses.
    zone : str
        Availability zone.
    store : str
        ``HOST:PORT`` of the proxy through which the node reaches the store.
    folder : pathlib.Path
        Folder for settings and logs.
    bounds : dict
        ``grace_s``, ``ratio``, ``extra``, ``cold_excess`` and ``cold_slack`` of the
        settings, and ``ram_mb`` and ``max_fds`` if they matter.

    Attributes
    ----------
    incarnation : int
        Number of the current process, counted from 1.
    zone : str
        Availability zone.
    paused : bool
        Whether the process is stopped by SIGSTOP.
    build : Build
        Build of the program that the next process runs.
    """

    def __init__(self, label, host, zone, store, folder, bounds):
        self.label = label
        self.host = host
        self.incarnation = 0
        self.paused = False
        self.zone = zone
        self.build = CURRENT_BUILD
        self._settings_file = folder / f"{label}.toml"
        self._log_file = folder / f"{label}.log"
        self._template_fields = (
            MACHINE_LIMITS | bounds | {"label": label, "host": host, "zone": zone}
        )
        self._template_fields |= {
            "store": store,
            "front": FRONT_PORT,
            "nodes": NODES_PORT,
        }
        self._template_fields |= {"ready": READY_PORT}
        self._log_offset = 0
        self._process = None

    @property
    def pid(self):
        """Id of the current process."""
        return self._process.pid

    @property
    def is_running(self):
        """Whether the process exists, paused or not."""
        return self._process is not None and self._process.returncode is None

    async def start(self, seeds):
        """Start the process.

        Parameters
        ----------
        seeds : iterable of str
            Hosts of the seed nodes in its settings.
        """
        listed = ", ".join(f'"{seed}:{NODES_PORT}"' for seed in seeds)
        self._settings_file.write_text(
            SETTINGS_TEMPLATE.format(seeds=listed, **self._template_fields)
        )
        self.incarnation += 1
        self._log_offset = (
            self._log_file.stat().st_size if self._log_file.exists() else 0
        )
        with self._log_file.open("ab") as output:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "peridotcove",
                "node",
                stdout=output,
                stderr=output,
                cwd=self.build.folder,
                env={
                    "PATH": os.environ["PATH"],
                    SETTINGS_PATH_VARIABLE: self._settings_file,
                    **self.build.variables,
                },
            )
        self.paused = False
        log.info("%s (process %d) is started", self.label, self.incarnation)

    @property
    def has_started(self):
        """Whether the current process has logged that it started to serve."""
        text = self._log_file.read_bytes()[self._log_offset :]
        return STARTED_EVENT in text

    def kill(self):
        """Send SIGKILL."""
        self._send_signal(signal.SIGKILL)

    def terminate(self):
        """Send SIGTERM, which starts a graceful shutdown."""
        self._send_signal(signal.SIGTERM)

    def pause(self):
        """Send SIGSTOP, which stops the process until `resume`."""
        self._send_signal(signal.SIGSTOP)
        self.paused = True

    def resume(self):
        """Send SIGCONT, which lets a paused process run again."""
        self._send_signal(signal.SIGCONT)
        self.paused = False

    def reload(self):
        """Send SIGHUP, which makes the process reload its settings."""
        self._send_signal(signal.SIGHUP)

    async def wait(self):
        """Wait until the process has ended and return its exit code."""
        return await self._process.wait()

    def _send_signal(self, number):
        log.info(
            "sending %s (process %d) the signal %s",
            self.label,
            self.incarnation,
            number.name,
        )
        if self.is_running:
            self._process.send_signal(number)
