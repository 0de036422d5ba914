"""A stand-in for the platform: the configuration service and the list of instances."""

import asyncio
import collections
import hashlib
import json

from attrs import frozen

from peridotcove.clock import MS_PER_S
from peridotcove.standins.server import ChangeNotifier, Handler, StandinServer

MODES = ("up", "down", "stale")


@frozen
class Snapshot:
    """One revision of the configuration.

    Attributes
    ----------
    revision : int
        Its number.
    bytes_by_part : dict
        JSON bytes of each part, by name.
    revision_by_part : dict
        Revision that last changed each part, by name.
    """

    revision: int = 0
    bytes_by_part: dict = {}
    revision_by_part: dict = {}

    def with_parts(self, revision, parts):
        """Return the snapshot of a new revision.

        Parameters
        ----------
        revision : int
            Number of the new revision.
        parts : dict
            JSON value of each part, by name.
        """
        bytes_by_part = {}
        revision_by_part = {}
        for name, value in parts.items():
            raw = json.dumps(value, sort_keys=True).encode()
            same = self.bytes_by_part.get(name) == raw
            bytes_by_part[name] = raw
            revision_by_part[name] = self.revision_by_part[name] if same else revision
        return Snapshot(revision, bytes_by_part, revision_by_part)

    def manifest(self):
        """Return the manifest as JSON."""
        parts = {}
        for name, raw in self.bytes_by_part.items():
            digest = hashlib.sha256(raw).hexdigest()
            revision = self.revision_by_part[name]
            parts[name] = {"revision": revision, "digest": digest, "bytes": len(raw)}
        return {"revision": self.revision, "parts": parts}


class PlatformStandin(StandinServer):
    """Emulates the platform.

    Parameters
    ----------
    configuration : dict or None
        ``{"revision", "parts"}``, or a complete configuration with its revision,
        each section of which becomes a part.
    instances : list of dict
        Instances that are listed at the start.

    Attributes
    ----------
    mode : str
        ``"up"``, ``"down"`` or ``"stale"``.
    snapshot, stale_snapshot : Snapshot
        The last revision, and the one that readers see in mode ``"stale"``.
    version : int
        Version of the list of instances.
    instances : list of dict
        Instances that are listed.
    reads_by_path, reads_by_node : Counter
        Number of reads, answered or waiting, by path and by the reader's name.
    bytes_sent : int
        Bytes of the bodies sent.
    """

    def __init__(self, configuration=None, instances=()):
        super().__init__()
        self.mode = "up"
        self.snapshot = Snapshot()
        self.stale_snapshot = self.snapshot
        self.instances = list(instances)
        self.version = 1
        self.lag_ms = 0
        self.changes = ChangeNotifier()
        self.reads_by_path = collections.Counter()
        self.reads_by_node = collections.Counter()
        self.bytes_sent = 0
        if configuration:
            self.set_configuration(configuration)

    def routes(self):
        """Return pairs of a path pattern and a handler class."""
        return [
            (r"/configuration/manifest", ManifestHandler),
            (r"/configuration/parts/([^/]+)", PartHandler),
            (r"/instances", InstancesHandler),
            (r"/control/configuration", SetConfigurationHandler),
            (r"/control/mode", SetModeHandler),
            (r"/control/instances", SetInstancesHandler),
            (r"/stats", PlatformStatsHandler),
        ]

    @property
    def visible_snapshot(self):
        """Snapshot that readers see in the current mode."""
        return self.stale_snapshot if self.mode == "stale" else self.snapshot

    def set_configuration(self, value):
        """Publish a revision.

        Parameters
        ----------
        value : dict
            ``{"revision", "parts"}``, or a complete configuration.
        """
        parts = value.get("parts")
        if parts is None:
            sections = {key: item for key, item in value.items() if key != "revision"}
            parts = {key: {key: item} for key, item in sections.items()}
        if self.mode != "stale":
            self.stale_snapshot = self.snapshot
        self.snapshot = self.snapshot.with_parts(value["revision"], parts)
        self.changes.notify()

    def set_mode(self, mode):
        """Set whether the service is up, down or stale for readers.

        Parameters
        ----------
        mode : str
            One of `MODES`.
        """
        self.mode = mode
        self.changes.notify()

    def set_instances(self, instances, lag_ms=0):
        """Publish a list of instances.

        Parameters
        ----------
        instances : list of dict
            Instances as JSON.
        lag_ms : float
            Time in ms after which readers see it.
        """
        if lag_ms:
            loop = asyncio.get_running_loop()
            loop.call_later(lag_ms / MS_PER_S, self.set_instances, instances)
            return
        self.instances = list(instances)
        self.version += 1
        self.changes.notify()


class ReadHandler(Handler):
    """Base of the handlers of reads and watches; counts each read."""

    def prepare(self):
        """Count the read; close its connection when the service is down."""
        standin = self.standin
        standin.reads_by_path[self.request.path] += 1
        standin.reads_by_node[self.request.headers.get("X-Node", "")] += 1
        if standin.mode == "down":
            self.break_connection()

    def write_raw_json(self, raw):
        """Respond with JSON bytes.

        Parameters
        ----------
        raw : bytes
            The body.
        """
        self.standin.bytes_sent += len(raw)
        self.set_header("Content-Type", "application/json")
        self.write(raw)


class ManifestHandler(ReadHandler):
    """Serves the manifest, as a long poll."""

    async def get(self):
        """Respond with the manifest if it is newer than ``after``, else 204."""
        standin = self.standin
        after = self.get_number("after", -1)
        changed = await standin.changes.wait_until(
            lambda: standin.visible_snapshot.revision > after or standin.mode == "down",
            self.get_number("wait_ms"),
        )
        if standin.mode == "down":
            self.break_connection()
        elif changed:
            self.write_raw_json(
                json.dumps(standin.visible_snapshot.manifest()).encode()
            )
        else:
            self.set_status(204)


class PartHandler(ReadHandler):
    """Serves one part of the configuration."""

    def get(self, name):
        """Respond with the part's bytes.

        Parameters
        ----------
        name : str
            Name of the part.
        """
        raw = self.standin.visible_snapshot.bytes_by_part.get(name)
        if raw is None:
            self.write_json({"error": "no such part"}, 404)
            return
        self.write_raw_json(raw)


class InstancesHandler(ReadHandler):
    """Serves the list of instances, as a long poll."""

    async def get(self):
        """Respond with the list if it is newer than ``after``, else 204."""
        standin = self.standin
        after = self.get_number("after", -1)
        changed = await standin.changes.wait_until(
            lambda: standin.version > after or standin.mode == "down",
            self.get_number("wait_ms"),
        )
        if standin.mode == "down":
            self.break_connection()
        elif changed:
            listed = {"version": standin.version, "instances": standin.instances}
            self.write_raw_json(json.dumps(listed).encode())
        else:
            self.set_status(204)


class SetConfigurationHandler(Handler):
    """Publishes a revision: ``{"revision", "parts"}``."""

    def put(self):
        """Publish the revision of the body."""
        self.standin.set_configuration(self.read_json())
        self.write_json({"revision": self.standin.snapshot.revision})


class SetModeHandler(Handler):
    """Sets the mode: ``{"mode": "up" | "down" | "stale"}``."""

    def put(self):
        """Set the mode of the body."""
        mode = self.read_json().get("mode")
        if mode not in MODES:
            self.write_json({"modes": list(MODES)}, 400)
            return
        self.standin.set_mode(mode)
        self.write_json({"mode": mode})


class SetInstancesHandler(Handler):
    """Publishes a list of instances: ``{"instances", "lag_ms"}``."""

    def put(self):
        """Publish the list of the body."""
        body = self.read_json()
        self.standin.set_instances(body["instances"], body.get("lag_ms", 0))
        self.write_json({"version": self.standin.version})


class PlatformStatsHandler(Handler):
    """Serves the counts of reads."""

    def get(self):
        """Respond with the counts."""
        standin = self.standin
        self.write_json(
            {
                "reads_by_path": dict(standin.reads_by_path),
                "reads_by_node": dict(standin.reads_by_node),
                "bytes_sent": standin.bytes_sent,
                "revision": standin.snapshot.revision,
                "mode": standin.mode,
            }
        )
