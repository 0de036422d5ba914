"""Tests of the figures that `tools/bench_nodes.py` reads."""

import mmap
import os
import time
import unittest

from prometheus_client import generate_latest

from peridotcove.metrics import Metrics
from tools.bench_nodes import METRIC, read_private_mb, read_wakeups

SIZE_MB = 64


class FiguresTest(unittest.TestCase):
    """Figures of a process from the kernel, and bytes from a node's metrics."""

    def test_a_wait_is_a_wakeup(self):
        before = read_wakeups(os.getpid())
        time.sleep(0.001)
        self.assertGreater(read_wakeups(os.getpid()), before)

    def test_private_memory_grows_with_what_is_written(self):
        before = read_private_mb(os.getpid())
        # Fresh pages: memory of the heap may be reused.
        flags = mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS
        with mmap.mmap(-1, SIZE_MB << 20, flags) as held:
            held.write(b"x" * len(held))
            grown = read_private_mb(os.getpid()) - before
        self.assertGreater(grown, SIZE_MB - 1)

    def test_bytes_are_found_by_kind_in_the_metrics(self):
        metrics = Metrics()
        metrics.control_bytes.labels("out", "Heartbeat").inc(70)
        metrics.control_bytes.labels("in", "Heartbeat").inc(5)
        text = generate_latest(metrics.registry).decode()
        self.assertEqual(METRIC.findall(text), [("Heartbeat", "70.0")])
