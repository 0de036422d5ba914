"""Plays a load of prompts against a `Dispatcher` and fake engines."""

import heapq
import os
import random

from attrs import define, evolve, field

from peridotcove.cache_events import CacheEvent
from peridotcove.clock import FakeClock
from peridotcove.dispatch import Dispatcher
from peridotcove.engine_time.answer_times import NO_TIMES, AnswerTimes
from peridotcove.models import (
    Bounds,
    Configuration,
    Customer,
    Engine,
    LeaseGrant,
    LeaseRequest,
    Zone,
)
from peridotcove.ownership import compute_shards
from peridotcove.prefix_hashes import hash_prompt_parts

TICK_MS = 20
# A play takes seconds of a processor; more seeds are played by hand.
SEEDS = tuple(range(1, 1 + int(os.environ.get("PLAYS", "1"))))
NOISE_PERIOD_MS = 600


@define
class FakeEngine:
    """Reads prompts one after the other, then sends events.

    Attributes
    ----------
    tokens_per_ms : float
        Its read rate on a machine that is as slow as usual.
    noise : float
        Share of the periods in which its machine is 2.5 times as slow.
    """

    tokens_per_ms: float
    noise: float = 0.0
    fixed_ms: float = 30.0
    event_ms: float = 30.0
    rng: object = None
    busy_until_ms: float = 0.0
    read_parts: set = field(factory=set)
    _factor_by_period: dict = field(factory=dict)

    def slowness(self, now_ms):
        """Return the factor by which work takes longer in the present period."""
        period = int(now_ms // NOISE_PERIOD_MS)
        if period not in self._factor_by_period:
            is_slow = self.noise and self.rng.random() < self.noise
            self._factor_by_period[period] = 2.5 if is_slow else 1.0
        return self._factor_by_period[period]

    def _work(self, begin_ms, work_ms):
        """Return when work ends that takes a time on a machine as slow as usual."""
        while True:
            period_end_ms = (begin_ms // NOISE_PERIOD_MS + 1) * NOISE_PERIOD_MS
            factor = self.slowness(begin_ms)
            if begin_ms + work_ms * factor <= period_end_ms:
                return begin_ms + work_ms * factor
            work_ms -= (period_end_ms - begin_ms) / factor
            begin_ms = period_end_ms

    def expect_first_ms(self, tokens, now_ms):
        """Return when the first event of a prompt would come."""
        begin_ms = max(now_ms, self.busy_until_ms)
        return self._work(begin_ms, tokens / self.tokens_per_ms + self.fixed_ms)

    def start(self, tokens, now_ms):
        """Take a prompt; return when its first event comes."""
        begin_ms = max(now_ms, self.busy_until_ms)
        self.busy_until_ms = self._work(begin_ms, tokens / self.tokens_per_ms)
        return self._work(self.busy_until_ms, self.fixed_ms)


@define
class Kind:
    """Requests of one kind: their rate, prompt, objective and time limit."""

    name: str
    per_s: float
    tokens: int
    goal_ms: int = 600
    limit_ms: int = 5_000
    events: int = 10
    priority: int = 5
    # Size of a part that all requests of the kind share.
    shared_tokens: int = 0


@define
class Result:
    """What the caller of one request got; `first_ms` is None if it was refused."""

    kind: Kind
    asked_ms: float
    customer: str = "c"
    first_ms: float | None = None
    refusals: list = field(factory=list)

    @property
    def is_on_time(self):
        """Whether the first event came within the objective."""
        return self.first_ms is not None and self.first_ms <= self.kind.goal_ms


class Play:
    """One play of a load.

    Parameters
    ----------
    engine_by_name : dict of FakeEngine
        The engines.
    kinds : list of Kind
        The load.
    seed : int
        Seed of the arrivals.
    learns : bool
        Whether entry nodes report times. If not, the owner counts requests only.
    knows_all : bool
        Whether each request goes where its first event comes first in truth.
    capacity : int
        Requests that an engine runs at once.
    weights : sequence of float
        Shares of the load that customers send; one customer when empty.
    returns : int
        How often a refused caller comes back when it is told to.
    """

    def __init__(
        self,
        engine_by_name,
        kinds,
        seed,
        learns=True,
        knows_all=False,
        capacity=64,
        weights=(1.0,),
        returns=0,
    ):
        self.clock = FakeClock()
        self.engines = engine_by_name
        self.kinds = kinds
        self.learns = learns
        self.knows_all = knows_all
        self.results = []
        self.dispatcher = None
        self.customers = [f"c{number}" for number in range(len(weights))]
        self._weights = weights
        self._returns = returns
        self._capacity = capacity
        self._rng = random.Random(f"load {seed}")
        self._customer_rng = random.Random(f"customers {seed}")
        self._events = []
        self._count = 0
        self._open_by_id = {}
        self.replace_owner()

    def make_configuration(self):
        """Return the configuration of the engines."""
        engines = {
            name: Engine(name, f"http://127.0.0.1:{port}", "z", "m", self._capacity)
            for port, name in enumerate(self.engines, 1)
        }
        return Configuration(
            1,
            Bounds(load_bound=2.0, shard_engines=128),
            {"z": Zone("z", "r")},
            engine_by_name={
                name: evolve(engine, shares_cache=True)
                for name, engine in engines.items()
            },
            customer_by_name={
                name: Customer(name, concurrency=100_000) for name in self.customers
            },
        )

    def replace_owner(self):
        """Replace the owner by one that knows only which prompts engines keep."""
        configuration = self.make_configuration()
        shard = compute_shards(configuration, "r")[0]
        self.dispatcher = Dispatcher(shard, configuration, self.clock)
        for name in self.engines:
            event = CacheEvent(name, 1, self.clock.wall(), (), full=True)
            self.dispatcher.apply_part_event(event)

    def at(self, at_ms, action, *args):
        """Schedule a call."""
        self._count += 1
        heapq.heappush(self._events, (at_ms, self._count, action, args))

    def run(self, end_ms):
        """Play the load until a time and return the results."""
        for kind in self.kinds:
            at_ms = self._rng.expovariate(kind.per_s) * 1000
            while at_ms < end_ms:
                (customer,) = self._customer_rng.choices(self.customers, self._weights)
                self.at(at_ms, self.ask, Result(kind, at_ms, customer))
                at_ms += self._rng.expovariate(kind.per_s) * 1000
        for at_ms in range(0, end_ms, TICK_MS):
            self.at(at_ms, self._tick)
        while self._events:
            at_ms, _, action, args = heapq.heappop(self._events)
            self.clock.advance(max(0, int(at_ms) - self.clock.now()))
            action(*args)
        return self.results

    def _tick(self):
        self._handle(self.dispatcher.tick())

    def ask(self, result):
        """Request a lease."""
        kind = result.kind
        if not result.refusals:
            self.results.append(result)
        self._count += 1
        request_id = self._count.to_bytes(8, "big")
        parts = [(f"own {self._count}", kind.tokens)] if kind.tokens else []
        if kind.shared_tokens:
            parts.insert(0, (f"shared by {kind.name}", kind.shared_tokens))
        keys, ends = hash_prompt_parts("m", parts)
        request = self.make_request(request_id, keys, ends, result)
        self._open_by_id[request_id] = result, keys, ends
        self._handle(self.dispatcher.request_lease(request))

    def make_request(self, request_id, keys, ends, result):
        """Return the `LeaseRequest` of a request."""
        kind = result.kind
        left_ms = int(result.asked_ms + kind.limit_ms - self.clock.now())
        return LeaseRequest(
            request_id,
            "n1",
            result.customer,
            "m",
            keys,
            part_ends=ends,
            zone="z",
            deadline_ms=max(1, left_ms // 2),
            priority=kind.priority,
            goal_ms=max(0, int(result.asked_ms + kind.goal_ms - self.clock.now())),
        )

    def _handle(self, decisions):
        for decision in decisions:
            result, keys, ends = self._open_by_id.pop(decision.request_id)
            if isinstance(decision, LeaseGrant):
                self._start(decision, result, keys, ends)
            else:
                result.refusals.append((self.clock.now(), decision))
                self._come_back(result, decision.retry_after_ms)

    def _come_back(self, result, retry_after_ms):
        """Ask again for a caller that waits up to a third of the time that it has."""
        left_ms = result.asked_ms + result.kind.limit_ms - self.clock.now()
        if len(result.refusals) <= self._returns and left_ms > 0:
            wait_ms = min(retry_after_ms, left_ms / 3)
            self.at(self.clock.now() + wait_ms, self.ask, result)

    def _count_tokens(self, engine, keys, ends):
        begin = 0
        for key, end in zip(keys, ends, strict=True):
            if key in engine.read_parts:
                begin = end
        return ends[-1] - begin if ends else 0

    def _start(self, grant, result, keys, ends):
        now_ms = self.clock.now()
        engine = self.engines[grant.engine]
        if self.knows_all:
            engine = min(
                self.engines.values(),
                key=lambda one: one.expect_first_ms(
                    self._count_tokens(one, keys, ends), now_ms
                ),
            )
        first_ms = engine.start(self._count_tokens(engine, keys, ends), now_ms)
        engine.read_parts.update(keys)
        result.first_ms = first_ms - result.asked_ms
        slowness = engine.slowness(first_ms)
        end_ms = first_ms + result.kind.events * engine.event_ms * slowness
        times = AnswerTimes(
            max(1, int(first_ms - now_ms)),
            int(engine.event_ms * slowness),
            int(100 * slowness) if engine.noise else 0,
            int(end_ms - first_ms),
        )
        self.at(end_ms, self._release, grant, times)

    def _release(self, grant, times):
        if not self.learns:
            times = NO_TIMES
        self._handle(self.dispatcher.release(grant.request_id, "done", times=times))


def share_on_time(results, name=None):
    """Return the share of requests, of one kind or of all, that were on time."""
    chosen = [one for one in results if name in (None, one.kind.name)]
    return sum(one.is_on_time for one in chosen) / len(chosen)


def find_quantile(results, share):
    """Return a quantile of the time to the first event, in ms."""
    times = sorted(
        float("inf") if one.first_ms is None else one.first_ms for one in results
    )
    return times[min(len(times) - 1, int(share * len(times)))]
