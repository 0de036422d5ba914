"""Node processes that the soak starts, signals and ends, by their own ids."""

import asyncio
import logging
import os
import pathlib
import signal
import sys

from peridotcove.platform.settings import SETTINGS_PATH_VARIABLE

ROOT = pathlib.Path(__file__).resolve().parents[2]
FRONT_PORT, NODES_PORT, READY_PORT = 7101, 7100, 7102
STARTED = b'"node: started"'
log = logging.getLogger("soak")

SETTINGS = """
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
[provider]
addr = "{store}"
"""


class NodeProcess:
    """One node, over all its incarnations.

    Parameters
    ----------
    label : str
        Name in logs.
    host : str
        Address of the loopback range that only this node uses.
    zone : str
        Availability zone.
    store : str
        ``HOST:PORT`` of its way to the store.
    folder : pathlib.Path
        Where settings and logs go.
    bounds : dict
        ``grace_s``, ``ratio`` and ``extra`` of the settings.

    Attributes
    ----------
    incarnation : int
        Number of the process, from 1.
    """

    def __init__(self, label, host, zone, store, folder, bounds):
        self.label = label
        self.host = host
        self.incarnation = 0
        self.stopped = False
        self._file = folder / f"{label}.toml"
        self._log = folder / f"{label}.log"
        self._fields = bounds | {"label": label, "host": host, "zone": zone}
        self._fields |= {"store": store, "front": FRONT_PORT, "nodes": NODES_PORT}
        self._fields |= {"ready": READY_PORT}
        self._log_begin = 0
        self._process = None

    @property
    def is_running(self):
        """Whether the process runs, stopped or not."""
        return self._process is not None and self._process.returncode is None

    async def start(self, seeds):
        """Start the process.

        Parameters
        ----------
        seeds : iterable of str
            Hosts of the nodes that it is told of.
        """
        listed = ", ".join(f'"{seed}:{NODES_PORT}"' for seed in seeds)
        self._file.write_text(SETTINGS.format(seeds=listed, **self._fields))
        self.incarnation += 1
        self._log_begin = self._log.stat().st_size if self._log.exists() else 0
        with self._log.open("ab") as output:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "peridotcove",
                "node",
                stdout=output,
                stderr=output,
                cwd=ROOT,
                env={"PATH": os.environ["PATH"], SETTINGS_PATH_VARIABLE: self._file},
            )
        self.stopped = False
        log.info("%s (process %d) starts", self.label, self.incarnation)

    @property
    def serves(self):
        """Whether the process has logged that it serves."""
        text = self._log.read_bytes()[self._log_begin :]
        return STARTED in text

    def kill(self):
        """End the process at once."""
        self._signal(signal.SIGKILL)

    def terminate(self):
        """Ask the process to end."""
        self._signal(signal.SIGTERM)

    def pause(self):
        """Stop the process until `go_on`."""
        self._signal(signal.SIGSTOP)
        self.stopped = True

    def go_on(self):
        """Let the process run again."""
        self._signal(signal.SIGCONT)
        self.stopped = False

    def reload(self):
        """Ask the process to read its settings again."""
        self._signal(signal.SIGHUP)

    async def wait(self):
        """Wait for the end of the process and return its exit code."""
        return await self._process.wait()

    def _signal(self, number):
        log.info("%s (process %d) gets %s", self.label, self.incarnation, number.name)
        if self.is_running:
            self._process.send_signal(number)
