"""What a node adds to a streamed chat, against a direct connection in the same run."""

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
DIGITS = 3
KB = 1024
MS_US = 1000


@frozen
class Load:
    """Where the load goes and what it is.

    Attributes
    ----------
    node_url : str
        Base URL of the node towards callers.
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

    def body(self, rng, tokens, token_ms):
        """Return a chat request whose prompt is like no other.

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
    return HdrHistogram(1, MAX_US, DIGITS)


def summarize(histogram):
    """Return quantiles of a histogram in ms.

    Parameters
    ----------
    histogram : HdrHistogram
        Times in µs.
    """
    names = {"p50": 50, "p95": 95, "p99": 99}
    rows = {
        name: histogram.get_value_at_percentile(x) / MS_US for name, x in names.items()
    }
    return rows | {"count": histogram.get_total_count()}


class RelayBench:
    """The measurements, one method each.

    Parameters
    ----------
    load : Load
        Where the load goes.
    seed : int
        Seed of arrivals and prompts.
    """

    def __init__(self, load, seed=1):
        self.load = load
        self._random = random.Random(seed)
        self._turn = 0

    async def measure_latency(self):
        """Return first-token times and gaps, direct and relayed, side by side."""
        direct, relayed = await asyncio.gather(
            self._arrive(self._next_engine), self._arrive(lambda: self.load.node_url)
        )
        found = {"direct": _summarize_timings(direct)}
        found["relayed"] = _summarize_timings(relayed)
        first = [found[way]["first_token_ms"] for way in ("relayed", "direct")]
        found["added_first_token_ms"] = {
            name: round(first[0][name] - first[1][name], 3) for name in ("p50", "p99")
        }
        return found

    async def measure_throughput(self, streams):
        """Return tokens per second at a number of streams, and the node's share.

        Parameters
        ----------
        streams : int
            Streams in progress at once.
        """
        load = self.load
        offered = streams * 1000 / load.token_ms
        tokens = round(load.seconds * 1000 / load.token_ms)
        clients = await self._open(streams, tokens, load.token_ms, spread_s=2.0)
        loop = asyncio.get_running_loop()
        before = sum(client.timing.tokens for client in clients)
        cpu, start = read_cpu_s(load.pid), loop.time()
        await asyncio.sleep(load.seconds - 4.0)
        relayed = sum(client.timing.tokens for client in clients) - before
        cpu, spent = read_cpu_s(load.pid) - cpu, loop.time() - start
        await asyncio.gather(*(client.ended for client in clients))
        return {
            "streams": streams,
            "offered_tokens_per_second": round(offered),
            "relayed_tokens_per_second": round(relayed / spent),
            "node_core_share": round(cpu / spent, 3),
            "tokens_per_core_second": round(relayed / max(cpu, 1e-9)),
            "whole": sum(client.timing.whole for client in clients),
        }

    async def measure_memory(self, streams):
        """Return the resident bytes that an open stream adds to the node.

        Parameters
        ----------
        streams : int
            Streams to hold open.
        """
        before = read_resident_bytes(self.load.pid)
        clients = await self._open(streams, 1_000_000, 1_000.0, spread_s=3.0)
        await asyncio.sleep(2.0)
        open_streams = sum(client.timing.tokens > 0 for client in clients)
        after = read_resident_bytes(self.load.pid)
        for client in clients:
            client.transport.abort()
        await asyncio.sleep(1.0)
        added = (after - before) / max(1, open_streams)
        kept = read_resident_bytes(self.load.pid) - before
        return {
            "streams": open_streams,
            "kb_per_stream": round(added / KB, 1),
            "kb_kept_after": round(kept / KB),
        }

    async def measure_slow_readers(self, readers):
        """Return the bytes held for callers that do not read, and the neighbours' lot.

        Parameters
        ----------
        readers : int
            Callers that do not read.
        """
        alone = _summarize_timings(await self._arrive(lambda: self.load.node_url))
        before = read_resident_bytes(self.load.pid)
        slow = await self._open(readers, 60_000, 0.0, spread_s=1.0, reads=False)
        beside = _summarize_timings(await self._arrive(lambda: self.load.node_url))
        after = read_resident_bytes(self.load.pid)
        for client in slow:
            client.transport.abort()
        return {
            "readers": readers,
            "kb_per_reader": round((after - before) / readers / KB, 1),
            "neighbours_alone": alone,
            "neighbours_beside": beside,
        }

    async def _arrive(self, pick_url):
        load, tasks = self.load, []
        loop = asyncio.get_running_loop()
        end = loop.time() + load.seconds
        while loop.time() < end:
            body = load.body(self._random, load.tokens, load.token_ms)
            call = run_stream(pick_url(), load.key, body)
            tasks.append(asyncio.ensure_future(call))
            await asyncio.sleep(self._random.expovariate(load.rate))
        return await asyncio.gather(*tasks)

    async def _open(self, streams, tokens, token_ms, spread_s, reads=True):
        clients = []
        for _ in range(streams):
            body = self.load.body(self._random, tokens, token_ms)
            call = open_stream(self.load.node_url, self.load.key, body, reads)
            clients.append(await call)
            await asyncio.sleep(spread_s / streams)
        await asyncio.sleep(1.0)
        return clients

    def _next_engine(self):
        self._turn += 1
        return self.load.engine_urls[self._turn % len(self.load.engine_urls)]


def _summarize_timings(timings):
    first, gaps = make_histogram(), make_histogram()
    for timing in timings:
        if timing.first_us is not None:
            first.record_value(max(1, int(timing.first_us)))
        for gap in timing.gaps_us():
            gaps.record_value(max(1, int(gap)))
    return {
        "requests": len(timings),
        "whole": sum(timing.whole for timing in timings),
        "first_token_ms": summarize(first),
        "gap_ms": summarize(gaps),
    }


def judge(found):
    """Return which targets were met, by name.

    Parameters
    ----------
    found : dict
        All measurements.
    """
    added = found["latency"]["added_first_token_ms"]
    best = max(
        row["relayed_tokens_per_second"]
        for row in found["throughput"]
        if row["relayed_tokens_per_second"] >= 0.98 * row["offered_tokens_per_second"]
    )
    slow = found["slow_readers"]
    alone = slow["neighbours_alone"]["first_token_ms"]["p99"]
    beside = slow["neighbours_beside"]["first_token_ms"]["p99"]
    return {
        "added first token p50 <= 3 ms": (added["p50"], added["p50"] <= 3),
        "added first token p99 <= 10 ms": (added["p99"], added["p99"] <= 10),
        "tokens/s of one core >= 25000": (best, best >= 25_000),
        "memory per stream <= 64 KB": (
            found["memory"]["kb_per_stream"],
            found["memory"]["kb_per_stream"] <= 64,
        ),
        "memory per slow reader <= 256 KB": (
            slow["kb_per_reader"],
            slow["kb_per_reader"] <= 256,
        ),
        "neighbours' first token p99 beside slow readers, alone": (
            [beside, alone],
            beside - alone <= 10,
        ),
        "neighbours beside slow readers that got no whole answer": (
            _not_whole(slow["neighbours_beside"]),
            _not_whole(slow["neighbours_beside"]) == 0,
        ),
    }


def _not_whole(row):
    return row["requests"] - row["whole"]


class BenchRelayCommand(Command):
    """Measures what a node adds to streamed chats."""

    name = "bench relay"
    description = "Measure a running node against a direct connection to its engines"
    options = [
        option("node", None, "URL of the node towards callers", flag=False),
        option("pid", None, "Process id of the node", flag=False),
        option("engine", None, "URL of an engine", flag=False, multiple=True),
        option("key", None, "API key", flag=False, default="bench-key"),
        option("model", None, "Model", flag=False, default="bench"),
        option("seconds", None, "Length of a measurement", flag=False, default="20"),
        option("streams", None, "Streams for throughput", flag=False, multiple=True),
        option("memory-streams", None, "Streams held", flag=False, default="400"),
        option("slow-readers", None, "Slow readers", flag=False, default="20"),
        option("seed", None, "Seed", flag=False, default="1"),
        option("json", None, "Print JSON"),
    ]
    help = "Exit codes: 0 all targets met, 1 a target missed."

    def handle(self):
        """Measure, print, and return 1 if a target is missed."""
        found = asyncio.run(self._measure())
        judged = judge(found)
        if self.option("json"):
            targets = {x: {"found": y, "met": met} for x, (y, met) in judged.items()}
            print(json.dumps(found | {"targets": targets}, indent=1))
        else:
            for name, (value, met) in judged.items():
                print(f"{name}: {value} {'met' if met else 'MISSED'}")
        return 0 if all(met for _, met in judged.values()) else 1

    async def _measure(self):
        load = Load(
            self.option("node"),
            tuple(self.option("engine")),
            int(self.option("pid")),
            self.option("key"),
            self.option("model"),
            seconds=float(self.option("seconds")),
        )
        bench = RelayBench(load, int(self.option("seed")))
        found = {}
        _note("latency")
        found["latency"] = await bench.measure_latency()
        _note("slow readers")
        readers = int(self.option("slow-readers"))
        found["slow_readers"] = await bench.measure_slow_readers(readers)
        _note("memory")
        count = int(self.option("memory-streams"))
        found["memory"] = await bench.measure_memory(count)
        found["throughput"] = []
        bench.load = evolve(load, seconds=min(load.seconds, 10.0))
        for streams in self.option("streams") or ("73", "200", "400", "800"):
            _note(f"throughput with {streams} streams")
            row = await bench.measure_throughput(int(streams))
            found["throughput"].append(row)
        return found


def _note(text):
    print(f"measuring {text}", file=sys.stderr, flush=True)
