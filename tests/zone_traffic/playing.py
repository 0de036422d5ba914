"""Plays a load on a `Dispatcher` with simulated engines in several zones."""

import heapq
import random

from attrs import define, evolve, field

from peridotcove.clock import FakeClock
from peridotcove.dispatch import Dispatcher
from peridotcove.models import (
    Bounds,
    Configuration,
    Engine,
    LeaseGrant,
    LeaseRequest,
    LifecycleStatus,
    LoadReport,
    Zone,
)
from peridotcove.ownership import compute_shards
from peridotcove.prefix_hashes import hash_prompt_parts

READ_TOKENS_PER_MS = 50.0
ONE_WAY_MS = 1
BODY_BYTES_PER_TOKEN = 4
ANSWER_BYTES = 4_000
TICK_MS = 20
OWN_TOKENS = 200


@define
class Kind:
    """Kind of request.

    Attributes
    ----------
    prompt_tokens : int
        Shared tokens of its prompt; 0 for a call of a plain service.
    subjects : int
        Number of different shared prompts; 0 if each request has its own.
    work_ms : int
        Time that it takes after its prompt is read.
    """

    prompt_tokens: int = 4_000
    subjects: int = 0
    work_ms: int = 200


@define
class Result:
    """What the callers of a play got."""

    first_ms: list = field(factory=list)
    first_ms_by_zone: dict = field(factory=dict)
    refused: int = 0
    crossed_by_zone: dict = field(factory=dict)
    crossed_bytes: int = 0
    read_tokens: int = 0
    changes: list = field(factory=list)

    def quantile(self, part):
        """Return a quantile of the times to the first event in ms."""
        times = sorted(self.first_ms)
        return times[min(len(times) - 1, int(part * len(times)))]

    @property
    def crossed_share(self):
        """Share of the requests that ran in another zone."""
        return sum(self.crossed_by_zone.values()) / max(1, len(self.first_ms))


class Play:
    """A load on the engines of several zones, on a simulated clock.

    Parameters
    ----------
    engines_by_zone : dict of int
        Number of engines by zone.
    rate : callable
        Requests a second by zone and time in ms.
    kind : Kind
        Kind of the requests.
    capacity : int
        Slots of an engine.
    seed : int
        Seed of arrivals and prompts.
    **bounds : object
        Fields of `Bounds`.
    """

    def __init__(self, engines_by_zone, rate, kind, capacity=24, seed=1, **bounds):
        self.clock = FakeClock()
        self.rng = random.Random(seed)
        self.rate, self.kind = rate, kind
        self.result = Result()
        names = [
            (z, f"{z}{n}") for z, size in engines_by_zone.items() for n in range(size)
        ]
        self.engine_by_name = {
            name: Engine(
                name,
                f"http://127.0.0.1:{i + 1}",
                zone,
                "m",
                capacity,
                cache_tokens=1 << 30,
            )
            for i, (zone, name) in enumerate(names)
        }
        zones = {zone: Zone(zone, "north") for zone in engines_by_zone}
        bounds = Bounds(**{"load_bound": 2.0, "shard_engines": 128} | bounds)
        self.configuration = Configuration(
            1, bounds, zones, engine_by_name=self.engine_by_name
        )
        self.shard = compute_shards(self.configuration, "north")[0]
        self.dispatchers = [self.make_dispatcher()]
        self.owner_of = lambda zone: self.dispatchers[0]
        self.prepare = lambda request: request
        self.on_first = lambda request, waited_ms: None
        self.free_ms = dict.fromkeys(self.engine_by_name, 0.0)
        self.cached = {name: set() for name in self.engine_by_name}
        self.running = {}
        self.asked = {}
        self.count = 0
        self.events = []

    def make_dispatcher(self, entries=()):
        """Return a dispatcher of the engines."""
        return Dispatcher(self.shard, self.configuration, self.clock, entries)

    def at(self, ms, action, *args):
        """Schedule a call after a delay."""
        self.count += 1
        heapq.heappush(self.events, (self.clock.now() + ms, self.count, action, args))

    def run(self, seconds, tick_ms=TICK_MS):
        """Play the load and return the `Result`."""
        for zone in self.configuration.zone_by_name:
            self.at(self.rng.random() * 10, self.arrive, zone)
        self.tick(tick_ms)
        end_ms = self.clock.now() + seconds * 1_000
        while self.events and self.events[0][0] <= end_ms:
            ms, _, action, args = heapq.heappop(self.events)
            self.clock.advance(max(0, ms - self.clock.now()))
            action(*args)
        return self.result

    def tick(self, interval_ms):
        """Run the dispatchers' periodic work."""
        for dispatcher in self.dispatchers:
            self.decide(dispatcher, dispatcher.tick())
            self.result.changes += dispatcher.zones.pop_changes()
        self.at(interval_ms, self.tick, interval_ms)

    def arrive(self, zone):
        """Send a request of a zone, and schedule the next one."""
        self.at(
            self.rng.expovariate(self.rate(zone, self.clock.now()) / 1_000),
            self.arrive,
            zone,
        )
        self.count += 1
        subject = (
            self.rng.randrange(self.kind.subjects) if self.kind.subjects else self.count
        )
        keys, ends = (), ()
        if self.kind.prompt_tokens:
            parts = (
                (f"s{subject}", self.kind.prompt_tokens),
                (f"o{self.count}", OWN_TOKENS),
            )
            keys, ends = hash_prompt_parts("m", parts)
        request = LeaseRequest(
            self.count.to_bytes(8, "big"),
            f"entry-{zone}{self.rng.randrange(3)}",
            "",
            "m",
            keys,
            zone=zone,
            deadline_ms=3_000,
            part_ends=ends,
            chat_key=keys[0] if keys else 0,
        )
        request = self.prepare(request)
        self.asked[request.request_id] = request, self.clock.now()
        owner = self.owner_of(zone)
        self.decide(owner, owner.request_lease(request))

    def decide(self, owner, decisions):
        """Carry out the decisions of an owner."""
        for decision in decisions:
            request, asked_ms = self.asked.pop(decision.request_id)
            if isinstance(decision, LeaseGrant):
                self.start(owner, request, asked_ms, decision.engine)
            else:
                self.result.refused += 1

    def start(self, owner, request, asked_ms, name):
        """Run a request on an engine."""
        crosses = self.engine_by_name[name].zone != request.zone
        tokens, start_tokens, is_cached = 0, 0, True
        for key, end in zip(request.prefixes, request.part_ends, strict=True):
            is_cached = is_cached and key in self.cached[name]
            tokens += 0 if is_cached else end - start_tokens
            start_tokens = end
            self.cached[name].add(key)
        arrived_ms = self.clock.now() + (4 * ONE_WAY_MS if crosses else 0)
        first_ms = max(arrived_ms, self.free_ms[name]) + tokens / READ_TOKENS_PER_MS
        self.free_ms[name] = first_ms
        result = self.result
        result.read_tokens += tokens
        result.first_ms.append(first_ms - asked_ms)
        result.first_ms_by_zone.setdefault(request.zone, []).append(first_ms - asked_ms)
        sent = result.crossed_by_zone
        sent[request.zone] = sent.get(request.zone, 0) + crosses
        result.crossed_bytes += crosses * (
            start_tokens * BODY_BYTES_PER_TOKEN + ANSWER_BYTES
        )
        self.running[request.request_id] = request, name
        self.on_first(request, first_ms - asked_ms)
        self.at(
            first_ms + self.kind.work_ms - self.clock.now(), self.end, owner, request
        )

    def end(self, owner, request):
        """End a request and release its lease."""
        del self.running[request.request_id]
        for dispatcher in {id(one): one for one in (owner, *self.dispatchers)}.values():
            self.decide(dispatcher, dispatcher.release(request.request_id, "done"))

    def set_status(self, names, status):
        """Set the status of engines at all owners."""
        for name in names:
            self.engine_by_name[name] = evolve(self.engine_by_name[name], status=status)
        for dispatcher in self.dispatchers:
            self.decide(
                dispatcher, dispatcher.set_engines(self.engine_by_name.values())
            )

    def lose(self, *names):
        """Take engines out of service."""
        self.set_status(names, LifecycleStatus.ON_ORDER)

    def regain(self, *names):
        """Return engines to service, with empty caches."""
        for name in names:
            self.cached[name].clear()
        self.set_status(names, LifecycleStatus.IN_SERVICE)

    def replace_owner(self):
        """Let a new owner, which learns the leases in progress, take over."""
        old, self.dispatchers[0] = self.dispatchers[0], self.make_informed()
        self.hand_over(old)

    def make_informed(self):
        """Return a dispatcher that knows the leases in progress."""
        entries = {request.entry for request, _ in self.running.values()}
        dispatcher = self.make_dispatcher(entries)
        dispatcher.set_engines(self.engine_by_name.values())
        self.announce_leases(dispatcher)
        return dispatcher

    def announce_leases(self, dispatcher):
        """Tell a dispatcher the leases of all entries."""
        leases_by_entry = {}
        for request_id, (request, name) in self.running.items():
            lease = request_id, name, request.customer
            leases_by_entry.setdefault(request.entry, []).append(lease)
        for entry, leases in sorted(leases_by_entry.items()):
            self.decide(dispatcher, dispatcher.set_held_leases(entry, leases))

    def hand_over(self, old):
        """Let the first owner decide on the requests that wait at another."""
        owner = self.dispatchers[0]
        for refusal in old.close():
            request, _ = self.asked[refusal.request_id]
            self.decide(owner, owner.request_lease(request))

    def split(self, zone):
        """Let the requests of a zone have an owner of their own."""
        self.dispatchers.append(self.make_informed())
        self.owner_of = lambda name: self.dispatchers[name == zone]

    def join(self):
        """End the split; the first owner learns the leases of the other."""
        other = self.dispatchers.pop()
        self.owner_of = lambda name: self.dispatchers[0]
        self.announce_leases(self.dispatchers[0])
        self.hand_over(other)

    def report(self, age_ms, interval_ms=500):
        """Let the owners see each engine's load as it was some time ago."""
        counts = dict.fromkeys(self.engine_by_name, 0)
        for _, name in self.running.values():
            counts[name] += 1
        wall = self.clock.wall()
        reports = [LoadReport(name, count, 0, wall) for name, count in counts.items()]
        self.at(age_ms, self.deliver, reports)
        self.at(interval_ms, self.report, age_ms, interval_ms)

    def deliver(self, reports):
        """Deliver reports to all owners."""
        for dispatcher in self.dispatchers:
            for report in reports:
                self.decide(dispatcher, dispatcher.apply_load_report(report))
