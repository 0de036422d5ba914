"""Tests of `peridotcove.bench.relay`, with an engine stand-in in place of the node."""

import copy
import os
import unittest

from peridotcove.bench.relay import RelayBench, RelayWorkload, check_targets
from peridotcove.standins.engine import EngineOptions, EngineStandin

LATENCY = {"p50": 2.0, "p99": 9.0}
TIMINGS = {"first_token_ms": {"p99": 5.0}, "requests": 9, "whole": 9}
FINDINGS = {
    "latency": {"added_first_token_ms": LATENCY},
    "throughput": [
        {"relayed_tokens_per_second": 26_000, "offered_tokens_per_second": 26_000}
    ],
    "memory": {"kb_per_stream": 60.0},
    "slow_readers": {
        "kb_per_reader": 200.0,
        "neighbours_alone": TIMINGS,
        "neighbours_beside": TIMINGS,
    },
}


def replace_finding(*keys_and_value):
    """Return the findings with one value replaced."""
    *keys, last, value = keys_and_value
    findings = copy.deepcopy(FINDINGS)
    parent = findings
    for key in keys:
        parent = parent[key]
    parent[last] = value
    return findings


class TestTargets(unittest.TestCase):
    """Each target depends on its own measurement."""

    def test_each_target_is_missed_alone(self):
        self.assertTrue(all(met for _, met in check_targets(FINDINGS).values()))
        row = {"relayed_tokens_per_second": 10, "offered_tokens_per_second": 10}
        slower_timings = TIMINGS | {"first_token_ms": {"p99": 16.0}}
        incomplete_timings = TIMINGS | {"whole": 8}
        cases = {
            "p50": replace_finding("latency", "added_first_token_ms", "p50", 3.1),
            "p99": replace_finding("latency", "added_first_token_ms", "p99", 10.1),
            "tokens/s": replace_finding("throughput", [row]),
            "per stream": replace_finding("memory", "kb_per_stream", 64.1),
            "per slow": replace_finding("slow_readers", "kb_per_reader", 257),
            "neighbours'": replace_finding(
                "slow_readers", "neighbours_beside", slower_timings
            ),
            "no whole answer": replace_finding(
                "slow_readers", "neighbours_beside", incomplete_timings
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
    """The measurements count the tokens that an engine sends."""

    async def asyncSetUp(self):
        self.engine = EngineStandin(EngineOptions(capacity=100))
        self.engine.start()
        self.addAsyncCleanup(self.engine.close)
        url = self.engine.url
        workload = RelayWorkload(
            url, (url,), os.getpid(), "k", "m", 50, 500, 1, seconds=0.2
        )
        self.bench = RelayBench(workload)

    async def test_every_stream_is_complete(self):
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
