"""Discrete-event simulation of requests under one policy, on a simulated clock."""

import heapq
import random

from attrs import define, field, frozen

from peridotcove.bench.simulated_engine import SimulatedEngine, compute_decode_ms
from peridotcove.clock import FakeClock
from peridotcove.models import LeaseRequest, LifecycleStatus, LoadReport
from peridotcove.prefix_hashes import sample_prefixes

SAMPLE_INTERVAL_MS = 200
TICK_INTERVAL_MS = 50
REPORT_INTERVAL_MS = 500
FIRST_EARLIER_CHAT = 1
FIRST_NEW_CHAT = 10_000_000
FIRST_SURGE_CHAT = 20_000_000


@frozen
class SimulationSetup:
    """Configuration, nodes and times of a simulation.

    Attributes
    ----------
    configuration : Configuration
        Engines, customers and bounds; the script may change engines' status.
    region : str
        Region of all zones.
    zone_by_node : dict
        Zone of each node.
    cache_blocks : int
        Size of each engine's cache in blocks.
    hop_ms : int
        One-way delay between two nodes in ms.
    report_lag_ms : int
        Age of an engine's load report on arrival, in ms.
    warmup_ms, end_ms : int
        Start and end of the measurement in ms.
    script : tuple
        Pairs of time in ms and a function that is called with the simulation.
    """

    configuration: object
    region: str
    zone_by_node: dict
    cache_blocks: int
    hop_ms: int = 2
    report_lag_ms: int = 300
    warmup_ms: int = 0
    end_ms: int = 60_000
    script: tuple = ()


@define
class RequestInProgress:
    """A request in progress.

    Attributes
    ----------
    chat : Chat
        Chat to which the request belongs.
    request : LeaseRequest
        The lease request.
    arrived_ms : int
        Arrival time in ms.
    """

    chat: object
    request: LeaseRequest
    arrived_ms: int
    prefixes: list = field(factory=list)
    engine: str = ""


class Simulation:
    """Simulates a workload under one policy.

    Parameters
    ----------
    setup : SimulationSetup
        Engines, nodes and times.
    workload : Workload
        Chats and their arrival times.
    make_policy : callable
        Function that takes the simulation and returns the policy.
    metrics : RunMetrics
        Records the metrics of the run.
    seed : int
        Seed of the random choice of entry nodes.

    Attributes
    ----------
    clock : FakeClock
        The clock.
    simulated_engine_by_name : dict
        `SimulatedEngine` by name.
    """

    def __init__(self, setup, workload, make_policy, metrics, seed):
        self.setup = setup
        self.workload = workload
        self.clock = FakeClock()
        self.metrics = metrics
        self.status_by_engine = {}
        self._rng = random.Random(f"entries {seed}")
        self._nodes = sorted(setup.zone_by_node)
        self._events = []
        self._event_count = 0
        self._request_count = 0
        self._pending_by_id = {}
        self.simulated_engine_by_name = {
            spec.name: SimulatedEngine(spec, setup.cache_blocks)
            for spec in setup.configuration.engine_by_name.values()
        }
        self.policy = make_policy(self)

    def schedule(self, ms, action, *args):
        """Schedule a call.

        Parameters
        ----------
        ms : int
            Delay in ms.
        action : callable
            Function to call.
        *args : object
            Arguments of the call.
        """
        self._event_count += 1
        item = (self.clock.now() + int(ms), self._event_count, action, args)
        heapq.heappush(self._events, item)

    def list_specs(self):
        """Return the engines with their present status."""
        return [simulated.spec for simulated in self.simulated_engine_by_name.values()]

    def list_available_engines(self, model=None):
        """Return the simulated engines that are in service.

        Parameters
        ----------
        model : str or None
            If given, only engines of this model.
        """
        return [
            simulated
            for simulated in self.simulated_engine_by_name.values()
            if simulated.spec.status is LifecycleStatus.IN_SERVICE
            and (model is None or simulated.spec.model == model)
        ]

    def run(self):
        """Run to the end and return the metrics."""
        workload = self.workload
        end_ms = self.setup.end_ms
        self._schedule_arrivals(
            workload.make_earlier_chat,
            workload.generate_earlier_chats(),
            FIRST_EARLIER_CHAT,
        )
        self._schedule_arrivals(
            workload.make_chat, workload.generate_arrivals(end_ms), FIRST_NEW_CHAT
        )
        self._schedule_arrivals(
            workload.make_single_turn_chat, workload.generate_surge(), FIRST_SURGE_CHAT
        )
        for at_ms, action in self.setup.script:
            self.schedule(at_ms, action, self)
        self._tick()
        self._sample_loads()
        self._schedule_reports()
        while self._events and self._events[0][0] < self.setup.end_ms:
            at_ms, _, action, args = heapq.heappop(self._events)
            self.clock.advance(at_ms - self.clock.now())
            action(*args)
        return self.metrics

    def _schedule_arrivals(self, chat_factory, arrivals, first):
        for number, (at_ms, customer) in enumerate(arrivals, first):
            self.schedule(at_ms, self._open_chat, chat_factory, number, customer)

    def _open_chat(self, chat_factory, number, customer):
        self._send_request(chat_factory(number, customer))

    def _send_request(self, chat):
        chat.add_question()
        chat.turns_left -= 1
        self._request_count += 1
        entry = self._rng.choice(self._nodes)
        prefixes = tuple(chat.prefixes)
        request = LeaseRequest(
            self._request_count.to_bytes(8, "big"),
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
        pending = RequestInProgress(chat, request, self.clock.now(), chat.prefixes)
        self._pending_by_id[request.request_id] = pending
        self.policy.submit(request, chat)

    def start_request(self, request_id, engine):
        """Start a request at an engine; called by the policy.

        Parameters
        ----------
        request_id : bytes
            Id of the request.
        engine : str
            Name of the engine.
        """
        pending = self._pending_by_id[request_id]
        simulated = self.simulated_engine_by_name[engine]
        reused, first_ms = simulated.start(pending.prefixes)
        pending.engine = engine
        waited_ms = self.clock.now() - pending.arrived_ms
        if self._is_measuring():
            self.metrics.record_start(
                pending, engine, reused, waited_ms + first_ms, self.clock
            )
        pending.chat.engine = engine
        duration_ms = first_ms + compute_decode_ms(pending.chat.answer_blocks)
        self.schedule(duration_ms, self._finish, pending, reused)

    def refuse_request(self, request_id, code):
        """End a request that did not run; called by the policy.

        Parameters
        ----------
        request_id : bytes
            Id of the request.
        code : str
            Reason.
        """
        pending = self._pending_by_id.pop(request_id)
        if self._is_measuring():
            self.metrics.record_refusal(pending, code)

    def _finish(self, pending, reused):
        chat = pending.chat
        chat.add_blocks(chat.answer_blocks)
        self.simulated_engine_by_name[pending.engine].finish(chat.prefixes)
        del self._pending_by_id[pending.request.request_id]
        self.policy.finish(pending.request, pending.engine, reused)
        if chat.turns_left > 0:
            next_turn_ms = chat.draw_pause_ms(self.workload.parameters.mean_pause_ms)
            self.schedule(next_turn_ms, self._send_request, chat)

    def _is_measuring(self):
        return self.clock.now() >= self.setup.warmup_ms

    def _tick(self):
        self.policy.tick()
        self.schedule(TICK_INTERVAL_MS, self._tick)

    def _sample_loads(self):
        if self._is_measuring():
            self.metrics.sample_loads(self)
        self.schedule(SAMPLE_INTERVAL_MS, self._sample_loads)

    def _schedule_reports(self):
        wall = self.clock.wall()
        for name, simulated in self.simulated_engine_by_name.items():
            report = LoadReport(name, simulated.load, 0, wall)
            self.schedule(
                self.setup.report_lag_ms, self.policy.handle_load_report, report
            )
        self.schedule(REPORT_INTERVAL_MS, self._schedule_reports)
