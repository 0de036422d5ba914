"""A loop of arrivals and ends on a fake clock, which drives one policy."""

import heapq
import random

from attrs import define, field, frozen

from peridotcove.bench.simulated_engine import FakeEngine, decode_ms
from peridotcove.clock import FakeClock
from peridotcove.models import LeaseRequest, LifecycleStatus, LoadReport
from peridotcove.prefix_hashes import sample_prefixes

SAMPLE_MS = 200
TICK_MS = 50
REPORT_MS = 500
EARLIER = 1
NEW = 10_000_000
SURGE = 20_000_000


@frozen
class Setup:
    """What a policy and its world are made of.

    Attributes
    ----------
    configuration : Configuration
        Engines, customers and bounds; on order until the script says otherwise.
    region : str
        Region of all zones.
    zone_by_node : dict
        Zone of each node.
    cache_blocks : int
        Size of each engine's cache in blocks.
    hop_ms : int
        One way between two nodes in ms.
    report_lag_ms : int
        Age of an engine's load report when it comes.
    warm_ms, end_ms : int
        Start and end of the measurement.
    script : tuple
        Pairs of time in ms and a function of the world, called then.
    """

    configuration: object
    region: str
    zone_by_node: dict
    cache_blocks: int
    hop_ms: int = 2
    report_lag_ms: int = 300
    warm_ms: int = 0
    end_ms: int = 60_000
    script: tuple = ()


@define
class Sent:
    """A request in progress.

    Attributes
    ----------
    chat : Chat
        Its chat.
    request : LeaseRequest
        What was asked.
    asked_ms : int
        When it came.
    """

    chat: object
    request: LeaseRequest
    asked_ms: int
    prefixes: list = field(factory=list)
    engine: str = ""


class World:
    """Runs one policy.

    Parameters
    ----------
    setup : Setup
        Engines, nodes and times.
    workload : Workload
        The chats.
    make_policy : callable
        Takes the world and returns the policy.
    measure : Measure
        Takes what is seen.
    seed : int
        Seed of the choice of entry nodes.

    Attributes
    ----------
    clock : FakeClock
        The clock.
    fake_by_engine : dict
        `FakeEngine` by name.
    """

    def __init__(self, setup, workload, make_policy, measure, seed):
        self.setup = setup
        self.workload = workload
        self.clock = FakeClock()
        self.measure = measure
        self.status_by_engine = {}
        self._rng = random.Random(f"entries {seed}")
        self._nodes = sorted(setup.zone_by_node)
        self._events = []
        self._count = 0
        self._requests = 0
        self._sent_by_id = {}
        self.fake_by_engine = {
            spec.name: FakeEngine(spec, setup.cache_blocks)
            for spec in setup.configuration.engine_by_name.values()
        }
        self.policy = make_policy(self)

    def after(self, ms, action, *args):
        """Call a function later.

        Parameters
        ----------
        ms : int
            Time from now in ms.
        action : callable
            The function.
        *args : object
            Its arguments.
        """
        self._count += 1
        item = (self.clock.now() + int(ms), self._count, action, args)
        heapq.heappush(self._events, item)

    def specs(self):
        """Return the engines with the status that they have now."""
        return [fake.spec for fake in self.fake_by_engine.values()]

    def open_fakes(self, model=None):
        """Return the engines that take work.

        Parameters
        ----------
        model : str or None
            Only those of that model.
        """
        return [
            fake
            for fake in self.fake_by_engine.values()
            if fake.spec.status is LifecycleStatus.IN_SERVICE
            and (model is None or fake.spec.model == model)
        ]

    def run(self):
        """Run to the end and return the measure."""
        workload = self.workload
        end_ms = self.setup.end_ms
        self._plan(workload.open_earlier, workload.earlier(), EARLIER)
        self._plan(workload.open_chat, workload.arrivals(end_ms), NEW)
        self._plan(workload.open_single, workload.surge(), SURGE)
        for at_ms, action in self.setup.script:
            self.after(at_ms, action, self)
        self._tick()
        self._sample()
        self._report()
        while self._events and self._events[0][0] < self.setup.end_ms:
            at_ms, _, action, args = heapq.heappop(self._events)
            self.clock.advance(at_ms - self.clock.now())
            action(*args)
        return self.measure

    def _plan(self, make, arrivals, first):
        for number, (at_ms, customer) in enumerate(arrivals, first):
            self.after(at_ms, self._open, make, number, customer)

    def _open(self, make, number, customer):
        self._ask(make(number, customer))

    def _ask(self, chat):
        chat.ask()
        chat.turns_left -= 1
        self._requests += 1
        entry = self._rng.choice(self._nodes)
        prefixes = tuple(chat.prefixes)
        request = LeaseRequest(
            self._requests.to_bytes(8, "big"),
            entry,
            chat.customer,
            chat.model,
            sample_prefixes(prefixes),
            "",
            self.setup.zone_by_node[entry],
            self.setup.configuration.bounds.queue_ms,
            chat_key=chat.key,
            blocks=len(prefixes),
        )
        sent = Sent(chat, request, self.clock.now(), chat.prefixes)
        self._sent_by_id[request.request_id] = sent
        self.policy.submit(request, chat)

    def start(self, request_id, engine):
        """Start a request at an engine; the policy calls it.

        Parameters
        ----------
        request_id : bytes
            Id of the request.
        engine : str
            Name of the engine.
        """
        sent = self._sent_by_id[request_id]
        fake = self.fake_by_engine[engine]
        reused, first_ms = fake.start(sent.prefixes)
        sent.engine = engine
        waited = self.clock.now() - sent.asked_ms
        if self._measuring():
            self.measure.start(sent, engine, reused, waited + first_ms, self.clock)
        sent.chat.engine = engine
        duration = first_ms + decode_ms(sent.chat.answer_blocks)
        self.after(duration, self._finish, sent, reused)

    def refuse(self, request_id, code):
        """End a request that did not run; the policy calls it.

        Parameters
        ----------
        request_id : bytes
            Id of the request.
        code : str
            Reason.
        """
        sent = self._sent_by_id.pop(request_id)
        if self._measuring():
            self.measure.refuse(sent, code)

    def _finish(self, sent, reused):
        chat = sent.chat
        chat.grow(chat.answer_blocks)
        self.fake_by_engine[sent.engine].finish(chat.prefixes)
        del self._sent_by_id[sent.request.request_id]
        self.policy.finish(sent.request, sent.engine, reused)
        if chat.turns_left > 0:
            pause = chat.pause_ms(self.workload.shape.mean_pause_ms)
            self.after(pause, self._ask, chat)

    def _measuring(self):
        return self.clock.now() >= self.setup.warm_ms

    def _tick(self):
        self.policy.tick()
        self.after(TICK_MS, self._tick)

    def _sample(self):
        if self._measuring():
            self.measure.sample(self)
        self.after(SAMPLE_MS, self._sample)

    def _report(self):
        wall = self.clock.wall()
        for name, fake in self.fake_by_engine.items():
            report = LoadReport(name, fake.load, 0, wall)
            self.after(self.setup.report_lag_ms, self.policy.report, report)
        self.after(REPORT_MS, self._report)
