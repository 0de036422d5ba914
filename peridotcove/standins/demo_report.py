"""The table at the end of the demo, from the stand-ins' and the nodes' own counts."""

import asyncio
import json
import statistics

from attrs import define, field
from prometheus_client.parser import text_string_to_metric_families

CONTROL_BYTES = "peridotcove_control_bytes"
MOVED_CALLS = ("RunTicketed", "TicketedAnswer")
SAMPLE_S = 0.2
MIN_MEAN = 2.0


@define
class Samples:
    """Load of the engines over time.

    Attributes
    ----------
    ratios : list of float
        Highest load over mean load of each sample.
    """

    ratios: list = field(factory=list)

    def add(self, loads):
        """Add one sample.

        Parameters
        ----------
        loads : list of int
            Requests in progress at each engine.
        """
        mean = statistics.fmean(loads)
        if mean >= MIN_MEAN:
            self.ratios.append(max(loads) / mean)


@define
class Report:
    """What the demo prints.

    Attributes
    ----------
    rows : list of tuple
        Name and value of each row.
    faults : list of str
        Broken promises.
    """

    rows: list
    faults: list


class Observer:
    """Reads counts of stand-ins and nodes while the caller runs.

    Parameters
    ----------
    plan : dict
        What `demo/prepare.py` writes.
    balancer : Balancer
        Its client is used.
    """

    def __init__(self, plan, balancer):
        self.plan = plan
        self.balancer = balancer
        self.samples = Samples()
        self._control_at_start = {}
        self._start = 0.0

    async def begin(self):
        """Note the counts before the calls."""
        self._start = asyncio.get_running_loop().time()
        self._control_at_start = await self._read_control()

    async def watch(self):
        """Sample the engines' load until cancelled."""
        while True:
            stats = await self._read_all(self.plan["engine_urls"])
            self.samples.add([item["running"] for item in stats])
            await asyncio.sleep(SAMPLE_S)

    async def end(self, tally):
        """Return the `Report`.

        Parameters
        ----------
        tally : Tally
            What the caller saw.
        """
        seconds = asyncio.get_running_loop().time() - self._start
        engines = await self._read_all(self.plan["engine_urls"])
        services = await self._read_all(self.plan["service_urls"])
        now = await self._read_control()
        rows = list(_chat_rows(tally))
        rows += _engine_rows(engines, self.samples, self.plan["load_bound"])
        rows += self._traffic_rows(now, seconds)
        runs = _sum_runs(services)
        faults = find_faults(tally, runs)
        rows += _booking_rows(tally, runs, faults)
        return Report(rows, faults)

    def _traffic_rows(self, now, seconds):
        both = now.keys() & self._control_at_start.keys()
        for name, kind in (("control", False), ("moved calls'", True)):
            for way, words in (("out", "sent"), ("in", "received")):
                rates = [
                    (now[x][kind, way] - self._control_at_start[x][kind, way]) / seconds
                    for x in both
                ]
                title = f"{name} bytes {words} per node and second"
                yield f"{title}, mean", _mean(rates)
                if not kind:
                    yield f"{title}, highest", _highest(rates)

    async def _read_control(self):
        bytes_by_node = {}
        for node in self.balancer.nodes:
            body = await self.balancer.get(f"{node.operators_url}/metrics")
            if body is not None:
                bytes_by_node[node.name] = {
                    (moved, way): sum_metric(
                        body.decode(),
                        CONTROL_BYTES,
                        lambda labels, moved=moved, way=way: (
                            labels["way"] == way
                            and (labels["message"] in MOVED_CALLS) == moved
                        ),
                    )
                    for moved in (False, True)
                    for way in ("in", "out")
                }
        return bytes_by_node

    async def _read_all(self, urls):
        bodies = await asyncio.gather(
            *(self.balancer.get(f"{url}/stats") for url in urls)
        )
        return [json.loads(body) for body in bodies if body is not None]


def sum_metric(text, name, keep=lambda labels: True):
    """Return the sum of a counter over those of its labels that count.

    Parameters
    ----------
    text : str
        Metrics in the text format of Prometheus.
    name : str
        Name of the counter without its ending.
    keep : callable
        Takes the labels of a sample; returns whether it counts.
    """
    total = 0.0
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            if sample.name == f"{name}_total" and keep(sample.labels):
                total += sample.value
    return total


def find_faults(tally, services):
    """Return sentences on broken promises.

    Parameters
    ----------
    tally : Tally
        What the caller saw.
    services : dict
        Runs by reference.
    """
    faults = []
    if tally.wrong:
        faults.append(f"{tally.wrong} answers belong to another request")
    for reference, state in tally.state_by_reference.items():
        runs = services.get(reference, 0)
        if runs > 1:
            faults.append(f"{reference} ran {runs} times")
        if state == "not-run" and runs:
            faults.append(f"{reference} was said not to have run, and ran")
        if state == "ran" and not runs:
            faults.append(f"{reference} was said to have run, and did not")
    return faults


def render(label, rows):
    """Return a table as text.

    Parameters
    ----------
    label : str
        Headline.
    rows : list of tuple
        Name and value of each row.
    """
    width = max(len(name) for name, _ in rows)
    lines = [label, "-" * (width + 12)]
    lines += [f"{name:<{width}}  {value:>10}" for name, value in rows]
    return "\n".join(lines)


def _chat_rows(tally):
    yield "requests", tally.chats + tally.bookings + tally.lookups
    yield "chat turns", tally.chats
    yield "whole answers to their own request", tally.whole
    yield "answers to another request", tally.wrong
    yield "chat turns given up", tally.given_up
    yield "tries cut off", _counted(tally.cut)
    yield "tries refused", _counted(tally.refused)
    yield "tries that met no listener", _counted(tally.unreachable)
    times = sorted(tally.first_ms)
    if times:
        yield "first token, median", f"{times[len(times) // 2]:.0f} ms"
        yield "first token, 95 in 100", f"{times[len(times) * 95 // 100]:.0f} ms"


def _counted(counter):
    total = counter.total()
    if not total:
        return "0"
    return f"{total} (" + ", ".join(f"{k}: {v}" for k, v in counter.items()) + ")"


def _engine_rows(engines, samples, bound):
    prompt = sum(item["prompt_tokens"] for item in engines)
    cached = sum(item["cached_tokens"] for item in engines)
    loads = [item["requests"] for item in engines]
    yield "cache reuse, share of prompt tokens", f"{cached / max(1, prompt):.1%}"
    mean = statistics.fmean(loads)
    yield "skew of requests over the run", f"{max(loads) / max(1e-9, mean):.2f}"
    if samples.ratios:
        ratios = sorted(samples.ratios)
        middle, high = ratios[len(ratios) // 2], ratios[len(ratios) * 95 // 100]
        yield "skew in progress, median of samples", f"{middle:.2f}"
        yield "skew in progress, 95 in 100 samples", f"{high:.2f}"
        yield "skew in progress, worst sample", f"{ratios[-1]:.2f}"
    yield "bound on skew, before rounding up", f"{bound:.2f}"
    yield (
        "chats started twice at one engine",
        sum(item["started_twice"] for item in engines),
    )


def _booking_rows(tally, runs, faults):
    yield "bookings", tally.bookings
    yield "bookings run", tally.booked
    yield "bookings that may have run", tally.doubtful
    yield "bookings not run", tally.unbooked
    twice = sum(count > 1 for count in runs.values())
    yield "non-repeatable requests run twice", twice
    yield "broken promises seen by the caller", "; ".join(faults) or "0"


def _sum_runs(services):
    runs = {}
    for item in services:
        for reference, count in item["runs"].items():
            runs[reference] = runs.get(reference, 0) + count
    return runs


def _mean(rates):
    return f"{statistics.fmean(rates):.0f}" if rates else "?"


def _highest(rates):
    return f"{max(rates):.0f}" if rates else "?"
