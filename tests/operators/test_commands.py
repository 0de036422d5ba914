"""Tests of the commands for operators: their output and exit codes."""

import asyncio
import json
import pathlib
import tempfile
import unittest

from cleo.testers.command_tester import CommandTester
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application, RequestHandler

from peridotcove.clock import FakeClock
from peridotcove.operators.commands import CheckCommand, TimelineCommand
from peridotcove.operators.timeline_collection import collect_timelines
from peridotcove.timeline import Timeline

SETTINGS = {
    "node": "n1",
    "zone": "z1",
    "region": "r1",
    "callers": {"host": "127.0.0.1", "port": 1},
    "nodes": {"host": "127.0.0.1", "port": 2},
    "operators": {"host": "127.0.0.1", "port": 3},
    "secret": {"variable": "PERIDOTCOVE_TEST_UNSET"},
    "platform": {"configuration_url": "http://a", "instances_url": "http://b"},
}
TLS = {"certificate_file": "no-such-file", "key_file": "no-such-file"}
# Content of the file, expected exit code, expected text in the output.
FILES = (
    ("{zones: {z1: {region: 'r'}}, revision: 4} // fine", 0, "revision 4"),
    ('{"zones": {"z1": {}}, "bounds": {"queue_ms": -1}}', 1, "zones.z1.region: found"),
    ('{"zones": {"z1": {}}, "bounds": {"queue_ms": -1}}', 1, "2 fault(s)"),
    ('{"zones": {}, "zones": {}}', 1, "each name once"),
    ("{", 1, "JSON with comments"),
    (json.dumps({**SETTINGS, "node": 5}), 1, "node: found 5, allowed: a string"),
    (json.dumps({**SETTINGS, "secret": "hidden-word"}), 1, "secret: found 'a hidden"),
    (json.dumps({**SETTINGS, "tls": TLS}), 1, "tls: found"),
    (json.dumps({**SETTINGS, "tls": TLS}), 1, "2 fault(s)"),
    (json.dumps(SETTINGS), 1, "PERIDOTCOVE_TEST_UNSET is short"),
)


def run(command, line):
    """Return the exit code of a command and all its output."""
    tester = CommandTester(command)
    code = tester.execute(line)
    return code, tester.io.fetch_output() + tester.io.fetch_error()


class CheckTest(unittest.TestCase):
    """`check` lists every fault and returns the matching exit code."""

    def test_files(self):
        with tempfile.TemporaryDirectory() as folder:
            for text, code, words in FILES:
                file = pathlib.Path(folder, "file.json")
                file.write_text(text, encoding="utf-8")
                with self.subTest(text=text):
                    found, printed = run(CheckCommand(), str(file))
                    self.assertEqual((found, words in printed), (code, True), printed)
                    self.assertNotIn("hidden-word", printed)

    def test_absent_file(self):
        code, printed = run(CheckCommand(), "no-such-file")
        self.assertEqual((code, "no such file" in printed), (2, True))


class _Page(RequestHandler):
    def initialize(self, timeline):
        self.timeline = timeline

    def get(self):
        self.write(self.timeline.export(int(self.get_argument("after")), limit=2))


class TimelineTest(unittest.TestCase):
    """`timeline` collects page by page and continues without missing nodes."""

    def test_collects_and_names_missing_nodes(self):
        clock = FakeClock(wall_ms=1_700_000_000_000)
        timeline = Timeline(clock, "n1", capacity=5)
        for _ in range(6):
            timeline.record("request-arrived", request_id=b"\1" * 8)

        async def scenario():
            socket, port = bind_unused_port()
            server = HTTPServer(
                Application([("/timeline", _Page, {"timeline": timeline})])
            )
            server.add_socket(socket)
            other, free_port = bind_unused_port()
            other.close()
            ports = (port, free_port)
            timelines, missing = await collect_timelines(
                [f"127.0.0.1:{p}" for p in ports], clock
            )
            server.stop()
            return timelines, missing, free_port

        timelines, missing, free_port = asyncio.run(scenario())
        self.assertEqual(
            [event.sequence for event in timelines[0].events], [2, 3, 4, 5, 6]
        )
        self.assertEqual((timelines[0].node, timelines[0].lost), ("n1", 1))
        self.assertEqual(timelines[0].offset_ms, 0)
        addresses = [item.address for item in missing]
        self.assertEqual(addresses, [f"127.0.0.1:{free_port}"])

    def test_exit_codes(self):
        for line in ("127.0.0.1:1", "127.0.0.1:1 --request xyz"):
            with self.subTest(line=line):
                self.assertEqual(run(TimelineCommand(), line)[0], 2)
