"""The demo's table of results, from counts of the stand-ins, nodes and caller."""

import asyncio
import json
import statistics

from attrs import define, field
from prometheus_client.parser import text_string_to_metric_families

CONTROL_BYTES_METRIC = "peridotcove_control_bytes"
FORWARDED_CALL_MESSAGES = ("RunTicketed", "TicketedAnswer")
SAMPLE_INTERVAL_S = 0.2
MIN_MEAN_LOAD = 2.0


@define
class LoadSamples:
    """Skew of the load of the engines, sampled over time.

    Attributes
    ----------
    skews : list of float
        Maximum load divided by mean load, for each sample.
    """

    skews: list = field(factory=list)

    def add(self, loads):
        """Add one sample.

        Parameters
        ----------
        loads : list of int
            Requests in progress at each engine.
        """
        mean = statistics.fmean(loads)
        if mean >= MIN_MEAN_LOAD:
            self.skews.append(max(loads) / mean)


@define
class Report:
    """Results of the demo.

    Attributes
    ----------
    rows : list of tuple
        Name and value of each row.
    violations : list of str
        One sentence for each violated guarantee.
    """

    rows: list
    violations: list


class Observer:
    """Reads counts of stand-ins and nodes while the caller runs.

    Parameters
    ----------
    plan : dict
        Plan that `demo/prepare.py` writes.
    balancer : LoadBalancer
        Its HTTP client fetches the counts.
    """

    def __init__(self, plan, balancer):
        self.plan = plan
        self.balancer = balancer
        self.samples = LoadSamples()
        self._control_at_start = {}
        self._start = 0.0

    async def record_start(self):
        """Record the counts before the first request."""
        self._start = asyncio.get_running_loop().time()
        self._control_at_start = await self._read_control()

    async def sample_loads(self):
        """Sample the engines' load until cancelled."""
        while True:
            stats = await self._read_all(self.plan["engine_urls"])
            self.samples.add([item["running"] for item in stats])
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def make_report(self, tally):
        """Return the `Report` on the time since `record_start`.

        Parameters
        ----------
        tally : Tally
            What the caller observed.
        """
        seconds = asyncio.get_running_loop().time() - self._start
        engines = await self._read_all(self.plan["engine_urls"])
        services = await self._read_all(self.plan["service_urls"])
        now = await self._read_control()
        rows = list(_chat_rows(tally))
        rows += _engine_rows(engines, self.samples, self.plan["load_bound"])
        rows += self._traffic_rows(now, seconds)
        runs = _sum_runs(services)
        violations = find_violations(tally, runs)
        rows += _booking_rows(tally, runs, violations)
        return Report(rows, violations)

    def _traffic_rows(self, now, seconds):
        names = now.keys() & self._control_at_start.keys()
        for name, is_forwarded in (("control", False), ("moved calls'", True)):
            for direction, words in (("out", "sent"), ("in", "received")):
                rates = [
                    (
                        now[x][is_forwarded, direction]
                        - self._control_at_start[x][is_forwarded, direction]
                    )
                    / seconds
                    for x in names
                ]
                title = f"{name} bytes {words} per node and second"
                yield f"{title}, mean", _format_mean(rates)
                if not is_forwarded:
                    yield f"{title}, highest", _format_max(rates)

    async def _read_control(self):
        bytes_by_node = {}
        for node in self.balancer.nodes:
            body = await self.balancer.fetch_body(f"{node.operators_url}/metrics")
            if body is not None:
                bytes_by_node[node.name] = {
                    (forwarded, direction): sum_metric(
                        body.decode(),
                        CONTROL_BYTES_METRIC,
                        lambda labels, forwarded=forwarded, direction=direction: (
                            labels["way"] == direction
                            and (labels["message"] in FORWARDED_CALL_MESSAGES)
                            == forwarded
                        ),
                    )
                    for forwarded in (False, True)
                    for direction in ("in", "out")
                }
        return bytes_by_node

    async def _read_all(self, urls):
        bodies = await asyncio.gather(
            *(self.balancer.fetch_body(f"{url}/stats") for url in urls)
        )
        return [json.loads(body) for body in bodies if body is not None]


def sum_metric(text, name, matches=lambda labels: True):
    """Return the sum of a counter over its matching samples.

    Parameters
    ----------
    text : str
        Metrics in the text format of Prometheus.
    name : str
        Name of the counter without ``_total``.
    matches : callable
        Gets the labels of a sample; returns whether to add it.
    """
    total = 0.0
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            if sample.name == f"{name}_total" and matches(sample.labels):
                total += sample.value
    return total


def find_violations(tally, runs_by_reference):
    """Return one sentence for each violated guarantee.

    Parameters
    ----------
    tally : Tally
        What the caller observed.
    runs_by_reference : dict
        Number of runs by reference.
    """
    violations = []
    if tally.wrong:
        violations.append(f"{tally.wrong} answers belong to another request")
    for reference, state in tally.state_by_reference.items():
        runs = runs_by_reference.get(reference, 0)
        if runs > 1:
            violations.append(f"{reference} ran {runs} times")
        if state == "not-run" and runs:
            violations.append(f"{reference} was reported as not run, but ran")
        if state == "ran" and not runs:
            violations.append(f"{reference} was reported as run, but did not run")
    return violations


def render(label, rows):
    """Return a table as text.

    Parameters
    ----------
    label : str
        Title of the table.
    rows : list of tuple
        Name and value of each row.
    """
    width = max(len(name) for name, _ in rows)
    lines = [label, "-" * (width + 12)]
    lines += [f"{name:<{width}}  {value:>10}" for name, value in rows]
    return "\n".join(lines)


def _chat_rows(tally):
    yield "requests", tally.chat_turns + tally.bookings + tally.lookups
    yield "chat turns", tally.chat_turns
    yield "whole answers to their own request", tally.correct
    yield "answers to another request", tally.wrong
    yield "chat turns given up", tally.abandoned
    yield "tries cut off", _format_counter(tally.cut_off)
    yield "tries refused", _format_counter(tally.refused)
    yield "tries that met no listener", _format_counter(tally.unreachable)
    times = sorted(tally.first_byte_ms)
    if times:
        yield "first token, median", f"{times[len(times) // 2]:.0f} ms"
        yield "first token, 95 in 100", f"{times[len(times) * 95 // 100]:.0f} ms"


def _format_counter(counter):
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
    if samples.skews:
        skews = sorted(samples.skews)
        middle, high = skews[len(skews) // 2], skews[len(skews) * 95 // 100]
        yield "skew in progress, median of samples", f"{middle:.2f}"
        yield "skew in progress, 95 in 100 samples", f"{high:.2f}"
        yield "skew in progress, worst sample", f"{skews[-1]:.2f}"
    yield "bound on skew, before rounding up", f"{bound:.2f}"
    yield (
        "chats started twice at one engine",
        sum(item["started_twice"] for item in engines),
    )


def _booking_rows(tally, runs, violations):
    yield "bookings", tally.bookings
    yield "bookings run", tally.booked
    yield "bookings that may have run", tally.uncertain
    yield "bookings not run", tally.not_booked
    twice = sum(count > 1 for count in runs.values())
    yield "non-repeatable requests run twice", twice
    yield "broken promises seen by the caller", "; ".join(violations) or "0"


def _sum_runs(services):
    runs = {}
    for item in services:
        for reference, count in item["runs"].items():
            runs[reference] = runs.get(reference, 0) + count
    return runs


def _format_mean(rates):
    return f"{statistics.fmean(rates):.0f}" if rates else "?"


def _format_max(rates):
    return f"{max(rates):.0f}" if rates else "?"
