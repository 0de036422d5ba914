"""Tests of asking engines for their load."""

import json
import unittest

from peridotcove.clock import FakeClock
from peridotcove.exceptions import RequestError
from peridotcove.ledger import Answer
from peridotcove.load_poller import BUSY_MS, QUIET_MS, LoadPoller, read_report
from peridotcove.models import Engine, LoadReport
from peridotcove.verdict import Verdict


class Shard:
    """A dispatcher and lease server in one that keeps the reports."""

    fresh = False

    def __init__(self):
        self.reports = []
        self.foreign_load = 0
        self.dispatcher_by_shard = {"s": self}

    def engines(self):
        """Return one engine."""
        return [Engine("e1", "http://127.0.0.1:1", "a", "m")]

    def foreign(self, engine):
        """Return the load beyond the leases."""
        return self.foreign_load

    def report(self, dispatcher, report):
        """Keep a report."""
        self.reports.append(report)


class Client:
    """Answers with a body, or fails."""

    body = b""

    async def call(self, url, call, timeout_ms, repeatable):
        """Answer."""
        if self.body is None:
            raise RequestError("cut", "x", 502, Verdict.MAY_HAVE_RUN)
        return Answer(Verdict.RAN, 200, (), self.body)


class ReportTest(unittest.IsolatedAsyncioTestCase):
    """Engines are asked seldom, and each second when they show foreign load."""

    async def test_how_often(self):
        for foreign, period in ((0, QUIET_MS), (3, BUSY_MS)):
            with self.subTest(foreign=foreign):
                clock, shard, client = FakeClock(), Shard(), Client()
                shard.foreign_load = foreign
                client.body = json.dumps({"running": 1, "waiting": 2, "at_ms": 9})
                client.body = client.body.encode()
                reports = LoadPoller(clock, client, shard, lambda *_: None)
                for _ in range(4 * QUIET_MS // 250):
                    for pair in reports.pop_due_engines():
                        await reports.poll_engine(*pair)
                    clock.advance(250)
                self.assertEqual(len(shard.reports), 4 * QUIET_MS // period)
                self.assertEqual(shard.reports[0], LoadReport("e1", 1, 2, 9))

    async def test_bad_answers_are_left_alone(self):
        good = {"running": 1, "waiting": 2, "at_ms": 9}
        bodies = [None, b"", b"[]", b"{}", b"x" * 5000]
        bodies += [
            json.dumps(good | {"running": bad}).encode() for bad in (-1, "1", True)
        ]
        for body in bodies:
            with self.subTest(body=body):
                shard, client = Shard(), Client()
                client.body = body
                reports = LoadPoller(FakeClock(), client, shard, lambda *_: None)
                await reports.poll_engine(shard, shard.engines()[0])
                self.assertEqual(shard.reports, [])
                self.assertIsNone(read_report("e1", body or b""))
