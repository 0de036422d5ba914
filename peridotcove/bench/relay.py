"""Measures a node's overhead on streamed chats: ``peridotcove bench relay``.

The baseline is a direct connection to the engines in the same run.
"""

import asyncio
import json
import random
import sys

from attrs import evolve, frozen
from cleo.commands.command import Command
from cleo.helpers import option
from hdrh.histogram import HdrHistogram

from peridotcove.bench.process_stats import read_cpu_s, read_resident_bytes
from peridotcove.bench.stream_client import open_stream, run_stream

MAX_US = 60_000_000
SIGNIFICANT_DIGITS = 3
BYTES_PER_KB = 1024
US_PER_MS = 1000


@frozen
class RelayWorkload:
    """Addresses and parameters of the workload.

    Attributes
    ----------
    node_url : str
        Base URL of the node for callers.
    engine_urls : tuple of str
        Base URLs of the engines, for the direct connection.
    pid : int
        Process id of the node.
    key, model : str
        API key and model.
    rate : float
        Requests per second.
    tokens_per_second : float
        Tokens per second at that rate.
    token_ms : float
        Time between the tokens of a stream in ms.
    seconds : float
        Length of each measurement.
    """

    node_url: str
    engine_urls: tuple
    pid: int
    key: str
    model: str
    rate: float = 5.2
    tokens_per_second: float = 2_515.0
    token_ms: float = 29.0
    seconds: float = 20.0

    @property
    def tokens(self):
        """Tokens per answer."""
        return round(self.tokens_per_second / self.rate)

    def make_body(self, rng, tokens, token_ms):
        """Return a streamed chat request with a random prompt.

        Parameters
        ----------
        rng : random.Random
            Source of the prompt.
        tokens : int
            Length of the answer.
        token_ms : float
            Time between tokens in ms.
        """
        prompt = "".join(rng.choices("abcdefgh ", k=1_000))
        return {
            "model": self.model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": tokens,
            "token_ms": token_ms,
            "stream": True,
        }


def make_histogram():
    """Return a histogram of times in µs."""
    return HdrHistogram(1, MAX_US, SIGNIFICANT_DIGITS)


def summarize(histogram):
    """Return percentiles in ms and the count of a histogram.

    Parameters
    ----------
    histogram : HdrHistogram
        Times in µs.
    """
    names = {"p50": 50, "p95": 95, "p99": 99}
    rows = {
        name: histogram.get_value_at_percentile(x) / US_PER_MS
        for name, x in names.items()
    }
    return rows | {"count": histogram.get_total_count()}


class RelayBench:
    """Measures latency, throughput, memory and slow readers.

    Parameters
    ----------
    workload : RelayWorkload
        Parameters of the workload.
    seed : int
        Seed of arrivals and prompts.
    """

    def __init__(self, workload, seed=1):
        self.workload = workload
        self._random = random.Random(seed)
        self._turn = 0

    async def measure_latency(self):
        """Return first-token times and token gaps of direct and relayed streams."""
        direct, relayed = await asyncio.gather(
            self._run_arrivals(self._next_engine),
            self._run_arrivals(lambda: self.workload.node_url),
        )
        findings = {"direct": _summarize_timings(direct)}
        findings["relayed"] = _summarize_timings(relayed)
        first = [findings[way]["first_token_ms"] for way in ("relayed", "direct")]
        findings["added_first_token_ms"] = {
            name: round(first[0][name] - first[1][name], 3) for name in ("p50", "p99")
        }
        return findings

    async def measure_throughput(self, streams):
        """Return the relayed tokens per second and the node's processor share.

        Parameters
        ----------
        streams : int
            Streams in progress at once.
        """
        workload = self.workload
        offered = streams * 1000 / workload.token_ms
        tokens = round(workload.seconds * 1000 / workload.token_ms)
        clients = await self._open_streams(
            streams, tokens, workload.token_ms, spread_s=2.0
        )
        loop = asyncio.get_running_loop()
        before = sum(client.timing.tokens for client in clients)
        cpu_s, started_s = read_cpu_s(workload.pid), loop.time()
        await asyncio.sleep(workload.seconds - 4.0)
        relayed = sum(client.timing.tokens for client in clients) - before
        cpu_s, elapsed_s = read_cpu_s(workload.pid) - cpu_s, loop.time() - started_s
        await asyncio.gather(*(client.ended for client in clients))
        return {
            "streams": streams,
            "offered_tokens_per_second": round(offered),
            "relayed_tokens_per_second": round(relayed / elapsed_s),
            "node_core_share": round(cpu_s / elapsed_s, 3),
            "tokens_per_core_second": round(relayed / max(cpu_s, 1e-9)),
            "whole": sum(client.timing.is_complete for client in clients),
        }

    async def measure_memory(self, streams):
        """Return the resident memory that each open stream adds to the node.

        Parameters
        ----------
        streams : int
            Streams to keep open.
        """
        before = read_resident_bytes(self.workload.pid)
        clients = await self._open_streams(streams, 1_000_000, 1_000.0, spread_s=3.0)
        await asyncio.sleep(2.0)
        open_streams = sum(client.timing.tokens > 0 for client in clients)
        after = read_resident_bytes(self.workload.pid)
        for client in clients:
            client.transport.abort()
        await asyncio.sleep(1.0)
        added_bytes = (after - before) / max(1, open_streams)
        kept_bytes = read_resident_bytes(self.workload.pid) - before
        return {
            "streams": open_streams,
            "kb_per_stream": round(added_bytes / BYTES_PER_KB, 1),
            "kb_kept_after": round(kept_bytes / BYTES_PER_KB),
        }

    async def measure_slow_readers(self, readers):
        """Return the memory per non-reading caller and the latency of other streams.

        Parameters
        ----------
        readers : int
            Callers that do not read.
        """
        without_slow_readers = _summarize_timings(
            await self._run_arrivals(lambda: self.workload.node_url)
        )
        before = read_resident_bytes(self.workload.pid)
        slow = await self._open_streams(
            readers, 60_000, 0.0, spread_s=1.0, reads_answer=False
        )
        with_slow_readers = _summarize_timings(
            await self._run_arrivals(lambda: self.workload.node_url)
        )
        after = read_resident_bytes(self.workload.pid)
        for client in slow:
            client.transport.abort()
        return {
            "readers": readers,
            "kb_per_reader": round((after - before) / readers / BYTES_PER_KB, 1),
            "neighbours_alone": without_slow_readers,
            "neighbours_beside": with_slow_readers,
        }

    async def _run_arrivals(self, pick_url):
        workload, tasks = self.workload, []
        loop = asyncio.get_running_loop()
        end = loop.time() + workload.seconds
        while loop.time() < end:
            body = workload.make_body(self._random, workload.tokens, workload.token_ms)
            call = run_stream(pick_url(), workload.key, body)
            tasks.append(asyncio.ensure_future(call))
            await asyncio.sleep(self._random.expovariate(workload.rate))
        return await asyncio.gather(*tasks)

    async def _open_streams(
        self, streams, tokens, token_ms, spread_s, reads_answer=True
    ):
        clients = []
        for _ in range(streams):
            body = self.workload.make_body(self._random, tokens, token_ms)
            call = open_stream(
                self.workload.node_url, self.workload.key, body, reads_answer
            )
            clients.append(await call)
            await asyncio.sleep(spread_s / streams)
        await asyncio.sleep(1.0)
        return clients

    def _next_engine(self):
        self._turn += 1
        return self.workload.engine_urls[self._turn % len(self.workload.engine_urls)]


def _summarize_timings(timings):
    first, gaps = make_histogram(), make_histogram()
    for timing in timings:
        if timing.first_us is not None:
            first.record_value(max(1, int(timing.first_us)))
        for gap in timing.gaps_us():
            gaps.record_value(max(1, int(gap)))
    return {
        "requests": len(timings),
        "whole": sum(timing.is_complete for timing in timings),
        "first_token_ms": summarize(first),
        "gap_ms": summarize(gaps),
    }


def check_targets(findings):
    """Return the measured value and whether it meets the target, by target.

    Parameters
    ----------
    findings : dict
        All measurements.
    """
    added_ms = findings["latency"]["added_first_token_ms"]
    best = max(
        row["relayed_tokens_per_second"]
        for row in findings["throughput"]
        if row["relayed_tokens_per_second"] >= 0.98 * row["offered_tokens_per_second"]
    )
    slow = findings["slow_readers"]
    without_slow_readers = slow["neighbours_alone"]["first_token_ms"]["p99"]
    with_slow_readers = slow["neighbours_beside"]["first_token_ms"]["p99"]
    return {
        "added first token p50 <= 3 ms": (added_ms["p50"], added_ms["p50"] <= 3),
        "added first token p99 <= 10 ms": (
            added_ms["p99"],
            added_ms["p99"] <= 10,
        ),
        "tokens/s of one core >= 25000": (best, best >= 25_000),
        "memory per stream <= 64 KB": (
            findings["memory"]["kb_per_stream"],
            findings["memory"]["kb_per_stream"] <= 64,
        ),
        "memory per slow reader <= 256 KB": (
            slow["kb_per_reader"],
            slow["kb_per_reader"] <= 256,
        ),
        "neighbours' first token p99 beside slow readers, alone": (
            [with_slow_readers, without_slow_readers],
            with_slow_readers - without_slow_readers <= 10,
        ),
        "neighbours beside slow readers that got no whole answer": (
            _count_incomplete(slow["neighbours_beside"]),
            _count_incomplete(slow["neighbours_beside"]) == 0,
        ),
    }


def _count_incomplete(row):
    return row["requests"] - row["whole"]


class BenchRelayCommand(Command):
    """``peridotcove bench relay``."""

    name = "bench relay"
    description = "Measure a running node against a direct connection to its engines"
    options = [
        option("node", None, "URL of the node for callers", flag=False),
        option("pid", None, "Process id of the node", flag=False),
        option("engine", None, "URL of an engine", flag=False, multiple=True),
        option("key", None, "API key", flag=False, default="bench-key"),
        option("model", None, "Model", flag=False, default="bench"),
        option("seconds", None, "Length of a measurement", flag=False, default="20"),
        option("streams", None, "Streams for throughput", flag=False, multiple=True),
        option(
            "memory-streams",
            None,
            "Streams kept open for memory",
            flag=False,
            default="400",
        ),
        option(
            "slow-readers", None, "Callers that do not read", flag=False, default="20"
        ),
        option("seed", None, "Seed", flag=False, default="1"),
        option("json", None, "Print JSON"),
    ]
    help = "Exit codes: 0 all targets met, 1 a target missed."

    def handle(self):
        """Measure, print the results, and return 1 if a target is missed."""
        findings = asyncio.run(self._measure())
        result_by_target = check_targets(findings)
        if self.option("json"):
            targets = {
                x: {"found": y, "met": met} for x, (y, met) in result_by_target.items()
            }
            print(json.dumps(findings | {"targets": targets}, indent=1))
        else:
            for name, (value, met) in result_by_target.items():
                print(f"{name}: {value} {'met' if met else 'MISSED'}")
        return 0 if all(met for _, met in result_by_target.values()) else 1

    async def _measure(self):
        workload = RelayWorkload(
            self.option("node"),
            tuple(self.option("engine")),
            int(self.option("pid")),
            self.option("key"),
            self.option("model"),
            seconds=float(self.option("seconds")),
        )
        bench = RelayBench(workload, int(self.option("seed")))
        findings = {}
        _print_progress("latency")
        findings["latency"] = await bench.measure_latency()
        _print_progress("slow readers")
        readers = int(self.option("slow-readers"))
        findings["slow_readers"] = await bench.measure_slow_readers(readers)
        _print_progress("memory")
        count = int(self.option("memory-streams"))
        findings["memory"] = await bench.measure_memory(count)
        findings["throughput"] = []
        bench.workload = evolve(workload, seconds=min(workload.seconds, 10.0))
        for streams in self.option("streams") or ("73", "200", "400", "800"):
            _print_progress(f"throughput with {streams} streams")
            row = await bench.measure_throughput(int(streams))
            findings["throughput"].append(row)
        return findings


def _print_progress(text):
    print(f"measuring {text}", file=sys.stderr, flush=True)
