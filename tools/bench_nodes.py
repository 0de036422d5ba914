"""Measures what idle nodes cost: start, processor time, wake-ups, memory and bytes.

Starts real node processes on loopback beside a stand-in of the platform's store, waits
until they know each other, and reads their figures from the kernel and from their
metrics. Exits with 1 if a figure is above its target.

Usage: ``python tools/bench_nodes.py [NODES] [SECONDS]`` in the repository.
"""

import asyncio
import collections
import pathlib
import re
import statistics
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from tornado.httpclient import AsyncHTTPClient

from peridotcove.bench.process_stats import read_cpu_s
from peridotcove.platform.settings import METRICS_PORT
from tests.platform import fakes
from tests.platform.fakes import StoreStandin, allocate_loopback_address
from tests.soak.processes import NodeProcess

DEFAULT_NODES = 30
DEFAULT_SECONDS = 20
ZONES = ("z1", "z2")
SEEDS = 3
# Nodes that start at once; more would wait for each other's processor time.
STARTED_AT_ONCE = 5
SETTLE_S = 10
START_LIMIT_S = 60
BOUNDS = {"grace_s": 8, "ratio": 0.2, "extra": 30}
# The targets of the design: seconds of processor time to the start, cores of an idle
# node, MB of private memory, and bytes a second between nodes.
TARGETS = {"start_s": 0.2, "cores": 0.005, "private_mb": 25.0, "sent_bytes_s": 6_000.0}
KB = 1_000
METRIC = re.compile(
    r'peridotcove_control_bytes_total\{message="(\w+)",way="out"\} ([\d.e+]+)'
)


def read_private_mb(pid):
    """Return the private memory of a process in MB."""
    text = pathlib.Path(f"/proc/{pid}/smaps_rollup").read_text(encoding="utf-8")
    sizes = re.findall(r"^Private_\w+: +(\d+) kB", text, re.MULTILINE)
    return sum(map(int, sizes)) / KB


def read_wakeups(pid):
    """Return how often a process has waited for something so far."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text(encoding="utf-8")
    return int(re.search(r"^voluntary_ctxt_switches:\s+(\d+)", text, re.MULTILINE)[1])


async def read_sent_bytes(node):
    """Return the bytes that a node has sent to other nodes, by kind of message."""
    url = f"http://{node.host}:{METRICS_PORT}/metrics"
    answer = await AsyncHTTPClient().fetch(url)
    found = METRIC.findall(answer.body.decode())
    return collections.Counter({kind: float(count) for kind, count in found})


async def start_nodes(nodes, seeds):
    """Start all nodes and return the processor time in s that each start took."""
    starts = []
    for first in range(0, len(nodes), STARTED_AT_ONCE):
        group = nodes[first : first + STARTED_AT_ONCE]
        await asyncio.gather(*[node.start(seeds) for node in group])
        async with asyncio.timeout(START_LIMIT_S):
            for node in group:
                while not node.has_started:
                    await asyncio.sleep(0.01)
                starts.append(read_cpu_s(node.pid))
    return starts


async def measure(nodes, seconds):
    """Return figures of idle nodes, and the bytes they sent by kind of message."""
    pids = [node.pid for node in nodes]
    cpu_s = [read_cpu_s(pid) for pid in pids]
    wakeups = [read_wakeups(pid) for pid in pids]
    sent = [await read_sent_bytes(node) for node in nodes]
    await asyncio.sleep(seconds)
    used = [read_cpu_s(pid) - start for pid, start in zip(pids, cpu_s, strict=True)]
    woken = [
        read_wakeups(pid) - start for pid, start in zip(pids, wakeups, strict=True)
    ]
    by_kind = collections.Counter()
    for node, start in zip(nodes, sent, strict=True):
        by_kind += await read_sent_bytes(node) - start
    figures = {
        "cores": statistics.mean(used) / seconds,
        "private_mb": statistics.mean(map(read_private_mb, pids)),
        "sent_bytes_s": by_kind.total() / seconds / len(nodes),
        "wakeups_s": statistics.mean(woken) / seconds,
    }
    return figures, by_kind


async def main(count, seconds):
    """Run the measurement, print its table and return the exit code."""
    store = StoreStandin()
    store.start()
    store.put("op/config", fakes.make_document())
    with tempfile.TemporaryDirectory() as folder:
        nodes = [
            NodeProcess(
                f"node-{number}",
                allocate_loopback_address(),
                ZONES[number % len(ZONES)],
                store.address,
                pathlib.Path(folder),
                BOUNDS,
            )
            for number in range(count)
        ]
        try:
            starts = await start_nodes(nodes, [node.host for node in nodes[:SEEDS]])
            await asyncio.sleep(SETTLE_S)
            figures, by_kind = await measure(nodes, seconds)
        finally:
            for node in nodes:
                node.kill()
            await store.close()
    figures["start_s"] = statistics.median(starts)
    print(f"{count} idle nodes, {seconds} s")
    for name in sorted(figures):
        target = TARGETS.get(name)
        verdict = "" if target is None else f"target {target:g}"
        if target is not None and figures[name] > target:
            verdict += ", MISSED"
        print(f"{name:>14} {figures[name]:>10.4f}  {verdict}")
    for kind, size in by_kind.most_common():
        print(f"{kind:>22} {size / seconds / count:>8.0f} B/s a node")
    return int(any(figures[name] > target for name, target in TARGETS.items()))


if __name__ == "__main__":
    numbers = [int(text) for text in sys.argv[1:]]
    sys.exit(
        asyncio.run(main(*(numbers + [DEFAULT_NODES, DEFAULT_SECONDS][len(numbers) :])))
    )
