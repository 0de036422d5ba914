"""Times the operators' tools: ``peridotcove bench operators``."""

import asyncio
import json
import pathlib
import tempfile
import time

from attrs import asdict, frozen
from cleo.commands.command import Command
from cleo.helpers import option
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application, RequestHandler

from peridotcove.api import describe
from peridotcove.bench.synthetic_configuration import make_configuration_json
from peridotcove.clock import Clock
from peridotcove.operators.commands import check_document
from peridotcove.operators.timeline_collection import collect_timelines
from peridotcove.part_splitting import format_compact_json
from peridotcove.timeline import Timeline
from peridotcove.timeline_merge import merge_timelines
from peridotcove.timeline_output import format_lines, make_chrome_trace

TARGET_S = {"describe and print": 2.0, "check": 2.0, "timeline": 3.0}
EVENTS_PER_REQUEST = 6


@frozen
class Row:
    """One measured time.

    Attributes
    ----------
    case : str
        What was timed.
    size : str
        Size of the input.
    seconds : float
        Wall time in seconds.
    target_seconds : float or None
        Highest acceptable time, if one is set.
    """

    case: str
    size: str
    seconds: float
    target_seconds: float | None = None


def run(customers, engines, nodes, events):
    """Return the measured rows, and the sizes of the parts in bytes.

    Parameters
    ----------
    customers, engines : int
        Size of the configuration.
    nodes, events : int
        Nodes of the timeline, and events in the ring buffer of each.
    """
    size = f"{customers} customers, {engines} engines"
    configuration = make_configuration_json(customers, engines)
    rows = []
    started = time.perf_counter()
    fleet = _build_description(configuration)
    text = str(fleet)
    rows.append(_make_row("describe and print", size, started))
    started = time.perf_counter()
    parts = fleet.parts()
    rows.append(_make_row("cut into parts", size, started))
    with tempfile.TemporaryDirectory() as folder:
        file = pathlib.Path(folder, "configuration.json")
        file.write_text(text, encoding="utf-8")
        started = time.perf_counter()
        check_document(file)
        rows.append(_make_row("check", size, started))
    rows.append(_time_changes(configuration, size))
    rows.extend(asyncio.run(_time_timeline(nodes, events)))
    return rows, sorted(
        len(format_compact_json(part).encode()) for part in parts.values()
    )


def _make_row(case, size, started):
    seconds = time.perf_counter() - started
    return Row(case, size, round(seconds, 3), TARGET_S.get(case))


def _build_description(configuration):
    fleet = describe()
    for name, fields in configuration["zones"].items():
        fleet.zone(name, **fields)
    for name, fields in configuration["models"].items():
        fleet.model(name, **fields)
    for name, fields in configuration["engines"].items():
        fleet.engine(name, **fields)
    for name, fields in configuration["customers"].items():
        fleet.customer(name, **fields)
    return fleet


def _time_changes(configuration, size):
    started = time.perf_counter()
    fleet = describe(configuration)
    fleet.drain("engine-0")
    fleet.customer("customer-0", concurrency=1)
    fleet.changes()
    return _make_row("change and show differences", size, started)


class _TimelineHandler(RequestHandler):
    def initialize(self, ring):
        self.ring = ring

    def get(self):
        after = int(self.get_query_argument("after"))
        self.write(self.ring.export(after))


def _fill_timeline(ring, peer, events):
    for number in range(events // EVENTS_PER_REQUEST):
        request_id = number.to_bytes(8, "big")
        ring.record("request-arrived", request_id=request_id)
        ring.record("lease-asked", request_id=request_id, peer=peer)
        ring.record("lease-granted", request_id=request_id, peer=peer)
        ring.record("grant-received", request_id=request_id, peer=peer)
        ring.record("first-byte", request_id=request_id, peer="engine-1")
        ring.record("request-ended", request_id=request_id)
    for _ in range(events % EVENTS_PER_REQUEST):
        ring.record("peer-up", peer=peer)


async def _time_timeline(nodes, events):
    clock = Clock()
    size = f"{nodes} nodes x {events} events"
    servers, addresses = [], []
    for index in range(nodes):
        ring = Timeline(clock, f"node-{index}", events)
        _fill_timeline(ring, f"node-{index ^ 1}", events)
        socket, port = bind_unused_port()
        server = HTTPServer(
            Application([("/timeline", _TimelineHandler, {"ring": ring})])
        )
        server.add_socket(socket)
        servers.append(server)
        addresses.append(f"127.0.0.1:{port}")
    started = time.perf_counter()
    rings, missing = await collect_timelines(addresses, clock, timeout_s=30)
    collected = _make_row("timeline: collect alone", size, started)
    entries = merge_timelines(rings)
    lines = sum(1 for _ in format_lines(entries))
    total = _make_row("timeline", size, started)
    started = time.perf_counter()
    json.dumps(make_chrome_trace(entries))
    chrome = _make_row("timeline: Chrome trace", size, started)
    for server in servers:
        server.stop()
    if missing or lines != nodes * events:
        raise RuntimeError(
            f"timeline has {lines} lines; nodes not collected: {missing}"
        )
    return [collected, total, chrome]


class BenchOperatorsCommand(Command):
    """``peridotcove bench operators``."""

    name = "bench operators"
    description = "Time the description library, the check and the timeline."
    options = [
        option("json", None, "Print JSON.", flag=True),
        option("customers", None, "Customers.", flag=False, default="11000"),
        option("engines", None, "Engines.", flag=False, default="1600"),
        option("nodes", None, "Nodes of the timeline.", flag=False, default="9"),
        option("events", None, "Events per node.", flag=False, default="10000"),
    ]
    help = "Exit codes: 0 measured (met or not), 2 wrong usage."

    def handle(self):
        """Time the cases and print the rows."""
        names = ("customers", "engines", "nodes", "events")
        rows, sizes = run(*(int(self.option(name)) for name in names))
        part_bytes = {"count": len(sizes), "largest": sizes[-1], "sum": sum(sizes)}
        if self.option("json"):
            report = {"rows": [asdict(row) for row in rows], "parts": part_bytes}
            self.line(json.dumps(report, indent=1))
            return 0
        for row in rows:
            target = f" (target {row.target_seconds} s)" if row.target_seconds else ""
            self.line(f"{row.case:30} {row.size:32} {row.seconds:7.3f} s{target}")
        self.line(f"parts: {part_bytes}")
        return 0
