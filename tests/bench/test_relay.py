"""Tests of the relay bench, against an engine in place of a node."""

import copy
import os
import unittest

from peridotcove.bench.relay import RelayBench, RelayWorkload, check_targets
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


def replace_finding(*keys_and_value):
    """Return the findings with one value replaced."""
    *keys, last, value = keys_and_value
    findings = copy.deepcopy(FOUND)
    place = findings
    for key in keys:
        place = place[key]
    place[last] = value
    return findings


class TestJudge(unittest.TestCase):
    """Each target is missed by its own measurement."""

    def test_targets(self):
        self.assertTrue(all(met for _, met in check_targets(FOUND).values()))
        row = {"relayed_tokens_per_second": 10, "offered_tokens_per_second": 10}
        late = FIRST | {"first_token_ms": {"p99": 16.0}}
        cut = FIRST | {"whole": 8}
        cases = {
            "p50": replace_finding("latency", "added_first_token_ms", "p50", 3.1),
            "p99": replace_finding("latency", "added_first_token_ms", "p99", 10.1),
            "tokens/s": replace_finding("throughput", [row]),
            "per stream": replace_finding("memory", "kb_per_stream", 64.1),
            "per slow": replace_finding("slow_readers", "kb_per_reader", 257),
            "neighbours'": replace_finding("slow_readers", "neighbours_beside", late),
            "no whole answer": replace_finding(
                "slow_readers", "neighbours_beside", cut
            ),
        }
        for name, findings in cases.items():
            with self.subTest(name):
                missed = [
                    x for x, (_, met) in check_targets(findings).items() if not met
                ]
                self.assertEqual(len(missed), 1)
                self.assertIn(name, missed[0])


class TestBench(unittest.IsolatedAsyncioTestCase):
    """The measurements count what an engine sends."""

    async def asyncSetUp(self):
        self.engine = EngineStandin(EngineOptions(capacity=100))
        self.engine.start()
        self.addAsyncCleanup(self.engine.close)
        url = self.engine.url
        workload = RelayWorkload(
            url, (url,), os.getpid(), "k", "m", 50, 500, 1, seconds=0.2
        )
        self.bench = RelayBench(workload)

    async def test_every_stream_is_whole_and_every_token_counted(self):
        findings = await self.bench.measure_latency()
        for way in ("direct", "relayed"):
            with self.subTest(way):
                row = findings[way]
                self.assertGreater(row["requests"], 0)
                self.assertEqual(row["whole"], row["requests"])
                self.assertEqual(row["first_token_ms"]["count"], row["requests"])

    async def test_unread_stream_receives_nothing(self):
        clients = await self.bench._open_streams(2, 100, 0, 0, reads_answer=False)
        self.assertEqual([client.timing.tokens for client in clients], [0, 0])
        for client in clients:
            client.transport.abort()
