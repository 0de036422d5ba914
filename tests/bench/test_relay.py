"""Tests of the relay bench, against an engine in place of a node."""

import copy
import os
import unittest

from peridotcove.bench.relay import Load, RelayBench, judge
from peridotcove.standins.engine import EngineOptions, EngineStandin

LATENCY = {"p50": 2.0, "p99": 9.0}
FIRST = {"first_token_ms": {"p99": 5.0}, "requests": 9, "whole": 9}
FOUND = {
    "latency": {"added_first_token_ms": LATENCY},
    "throughput": [
        {"relayed_tokens_per_second": 26_000, "offered_tokens_per_second": 26_000}
    ],
    "memory": {"kb_per_stream": 60.0},
    "slow_readers": {
        "kb_per_reader": 200.0,
        "neighbours_alone": FIRST,
        "neighbours_beside": FIRST,
    },
}


def miss(*keys_and_value):
    """Return the findings with one value replaced."""
    *keys, last, value = keys_and_value
    found = copy.deepcopy(FOUND)
    place = found
    for key in keys:
        place = place[key]
    place[last] = value
    return found


class TestJudge(unittest.TestCase):
    """Each target is missed by its own measurement."""

    def test_targets(self):
        self.assertTrue(all(met for _, met in judge(FOUND).values()))
        row = {"relayed_tokens_per_second": 10, "offered_tokens_per_second": 10}
        late = FIRST | {"first_token_ms": {"p99": 16.0}}
        cut = FIRST | {"whole": 8}
        cases = {
            "p50": miss("latency", "added_first_token_ms", "p50", 3.1),
            "p99": miss("latency", "added_first_token_ms", "p99", 10.1),
            "tokens/s": miss("throughput", [row]),
            "per stream": miss("memory", "kb_per_stream", 64.1),
            "per slow": miss("slow_readers", "kb_per_reader", 257),
            "neighbours'": miss("slow_readers", "neighbours_beside", late),
            "no whole answer": miss("slow_readers", "neighbours_beside", cut),
        }
        for name, found in cases.items():
            with self.subTest(name):
                missed = [x for x, (_, met) in judge(found).items() if not met]
                self.assertEqual(len(missed), 1)
                self.assertIn(name, missed[0])


class TestBench(unittest.IsolatedAsyncioTestCase):
    """The measurements count what an engine sends."""

    async def asyncSetUp(self):
        self.engine = EngineStandin(EngineOptions(capacity=100))
        self.engine.start()
        self.addAsyncCleanup(self.engine.close)
        url = self.engine.url
        load = Load(url, (url,), os.getpid(), "k", "m", 50, 500, 1, seconds=0.2)
        self.bench = RelayBench(load)

    async def test_every_stream_is_whole_and_every_token_counted(self):
        found = await self.bench.measure_latency()
        for way in ("direct", "relayed"):
            with self.subTest(way):
                row = found[way]
                self.assertGreater(row["requests"], 0)
                self.assertEqual(row["whole"], row["requests"])
                self.assertEqual(row["first_token_ms"]["count"], row["requests"])

    async def test_unread_stream_receives_nothing(self):
        clients = await self.bench._open(2, 100, 0, 0, reads=False)
        self.assertEqual([client.timing.tokens for client in clients], [0, 0])
        for client in clients:
            client.transport.abort()
