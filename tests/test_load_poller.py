"""Tests of polling engines for their load."""

import json
import unittest

from peridotcove.clock import FakeClock
from peridotcove.exceptions import RequestError
from peridotcove.ledger import Answer
from peridotcove.load_poller import (
    POLL_INTERVAL_MS,
    UNLEASED_POLL_INTERVAL_MS,
    LoadPoller,
    parse_report,
)
from peridotcove.models import Engine, LoadReport
from peridotcove.verdict import Verdict


class FakeShard:
    """Stands in for the dispatcher and the lease server; records the reports."""

    is_recovering = False

    def __init__(self):
        self.reports = []
        self.unleased = 0
        self.dispatcher_by_shard = {"s": self}

    def engines(self):
        """Return one engine."""
        return [Engine("e1", "http://127.0.0.1:1", "a", "m")]

    def unleased_load(self, engine):
        """Return the scripted load beyond the leases."""
        return self.unleased

    def handle_load_report(self, dispatcher, report):
        """Record a report."""
        self.reports.append(report)


class FakeClient:
    """Returns an answer with a body, or fails if the body is None."""

    body = b""

    async def call(self, url, call, timeout_ms, repeatable):
        """Return the answer or raise."""
        if self.body is None:
            raise RequestError("cut", "x", 502, Verdict.MAY_HAVE_RUN)
        return Answer(Verdict.RAN, 200, (), self.body)


class LoadPollingTest(unittest.IsolatedAsyncioTestCase):
    """Engines are polled rarely, and every second while they report unleased load."""

    async def test_poll_interval(self):
        for unleased_count, period in (
            (0, POLL_INTERVAL_MS),
            (3, UNLEASED_POLL_INTERVAL_MS),
        ):
            with self.subTest(unleased_load=unleased_count):
                clock, shard, client = FakeClock(), FakeShard(), FakeClient()
                shard.unleased = unleased_count
                client.body = json.dumps({"running": 1, "waiting": 2, "at_ms": 9})
                client.body = client.body.encode()
                poller = LoadPoller(clock, client, shard, lambda *_: None)
                for _ in range(4 * POLL_INTERVAL_MS // 250):
                    for pair in poller.pop_due_engines():
                        await poller.poll_engine(*pair)
                    clock.advance(250)
                self.assertEqual(len(shard.reports), 4 * POLL_INTERVAL_MS // period)
                self.assertEqual(shard.reports[0], LoadReport("e1", 1, 2, 9))

    async def test_invalid_answers_are_ignored(self):
        good = {"running": 1, "waiting": 2, "at_ms": 9}
        bodies = [None, b"", b"[]", b"{}", b"x" * 5000]
        bodies += [
            json.dumps(good | {"running": bad}).encode() for bad in (-1, "1", True)
        ]
        for body in bodies:
            with self.subTest(body=body):
                shard, client = FakeShard(), FakeClient()
                client.body = body
                poller = LoadPoller(FakeClock(), client, shard, lambda *_: None)
                await poller.poll_engine(shard, shard.engines()[0])
                self.assertEqual(shard.reports, [])
                self.assertIsNone(parse_report("e1", body or b""))
