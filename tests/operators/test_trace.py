"""Tests of `peridotcove.operators.trace`."""

import pathlib
import tempfile
import unittest

from cleo.testers.command_tester import CommandTester

from peridotcove.operators.trace import TraceCommand, find_lines, parse_lines

TEXT = """\
noise without an object
 1.5 n1 {"asctime": "2026-01-01 00:00:02,000", "node": "n1", "kind": "request-sent", \
"request": "ab", "peer": "e1", "left_ms": 700}
{"asctime": "2026-01-01 00:00:01,000", "node": "n2", "kind": "lease-granted", \
"request": "ab"}
{"asctime": "2026-01-01 00:00:03,000", "node": "n1", "kind": "peer-down", "peer": "n2"}
{"asctime": "2026-01-01 00:00:03,000", "node": "n1", "kind": "request-sent", \
"request": "cd"}
{"broken":
{"no": "time"}
"""


class TraceTest(unittest.TestCase):
    """Lines about a request from many nodes are found and sorted by time."""

    def test_lines_are_filtered_and_sorted(self):
        lines = list(parse_lines(TEXT))
        self.assertEqual(len(lines), 4)
        kinds = [line.fields["kind"] for line in find_lines(lines, "ab")]
        self.assertEqual(kinds, ["lease-granted", "request-sent"])
        found = find_lines(lines, kinds=("peer-down",), node="n1")
        self.assertEqual([line.fields["peer"] for line in found], ["n2"])

    def test_command(self):
        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder) / "log"
            file.write_text(TEXT)
            cases = [
                (f"{file} --request ab", 0, "n1 request-sent peer=e1 left_ms=700"),
                (f"{file} --request ef", 1, ""),
                (f"{file} --endpoint e1", 0, "n1 request-sent peer=e1 left_ms=700"),
                (f"{file} --endpoint e2", 1, ""),
                (f"{folder}/none --request ab", 2, ""),
            ]
            for arguments, code, shown in cases:
                with self.subTest(arguments=arguments):
                    tester = CommandTester(TraceCommand())
                    self.assertEqual(tester.execute(arguments), code)
                    self.assertIn(shown, tester.io.fetch_output())

    def test_unknown_request_prints_a_hint(self):
        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder) / "log"
            file.write_text(TEXT)
            tester = CommandTester(TraceCommand())
            tester.execute(f"{file} --request ef")
            self.assertIn("node-started", tester.io.fetch_error())
