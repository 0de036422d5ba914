"""Engine selection policies without owners: baselines and load sharing."""

import math
import random

from peridotcove.nodes.messages import HEADER_FIELD_COUNT
from peridotcove.registry import Registry
from peridotcove.rendezvous import RendezvousRanking

policies = Registry("policy")

GOSSIP_INTERVAL_MS = 1_000
FRAME_OVERHEAD_BYTES = 8
REPORT_BYTES = 24
GOSSIP_ENTRY_BYTES = 4


class Policy:
    """Chooses engines in a `Simulation`.

    Parameters
    ----------
    simulation : Simulation
        The run.
    """

    def __init__(self, simulation):
        self.simulation = simulation

    def submit(self, request, chat):
        """Handle a request, which the policy later starts or refuses in the simulation.

        Parameters
        ----------
        request : LeaseRequest
            The request.
        chat : Chat
            Its chat.
        """
        raise NotImplementedError

    def finish(self, request, engine, reused):
        """Handle the end of a request.

        Parameters
        ----------
        request : LeaseRequest
            The request.
        engine : str
            Engine that ran it.
        reused : int
            Blocks that it found in the cache.
        """

    def tick(self):
        """Run periodic work."""

    def handle_load_report(self, report):
        """Handle an engine's delayed load report.

        Parameters
        ----------
        report : LoadReport
            The report.
        """

    def set_engines(self):
        """Apply a change of the engines' status."""


class LocalPolicy(Policy):
    """A policy by which each entry node chooses an engine locally and at once."""

    def __init__(self, simulation):
        super().__init__(simulation)
        self.rng = random.Random("policy")
        self.in_flight_by_node = {}
        self.set_engines()

    def set_engines(self):
        """Rebuild the rankings of the available engines."""
        self.engines_by_model = {}
        for simulated in self.simulation.list_available_engines():
            self.engines_by_model.setdefault(simulated.spec.model, []).append(simulated)
        self.ranking_by_model = {
            model: RendezvousRanking(
                {simulated.spec.name: simulated.spec.weight for simulated in available}
            )
            for model, available in self.engines_by_model.items()
        }

    def submit(self, request, chat):
        """Choose an engine and start the request at once."""
        engine = self.choose(request, chat)
        in_flight = self.in_flight_by_node.setdefault(request.entry, {})
        in_flight[engine] = in_flight.get(engine, 0) + 1
        self.simulation.start_request(request.request_id, engine)

    def finish(self, request, engine, reused):
        """Decrement the entry node's requests in flight on the engine."""
        self.in_flight_by_node[request.entry][engine] -= 1

    def choose(self, request, chat):
        """Return the name of an engine.

        Parameters
        ----------
        request : LeaseRequest
            The request.
        chat : Chat
            Its chat.
        """
        raise NotImplementedError

    def find_in_flight(self, node):
        """Return the requests in flight of an entry node by engine.

        Parameters
        ----------
        node : str
            Name of the node.
        """
        return self.in_flight_by_node.get(node, {})

    def choose_below_bound(self, request, load_by_engine):
        """Return the highest-ranked engine whose load is below the bound.

        Parameters
        ----------
        request : LeaseRequest
            The request.
        load_by_engine : dict
            Loads as known to the entry node.
        """
        available = self.engines_by_model[request.model]
        weight = sum(simulated.spec.weight for simulated in available)
        total = (
            sum(load_by_engine.get(simulated.spec.name, 0) for simulated in available)
            + 1
        )
        mean = total / weight * self.simulation.setup.configuration.bounds.load_bound
        order = self.ranking_by_model[request.model].order(request.chat_key)
        for name in order:
            spec = self.simulation.simulated_engine_by_name[name].spec
            if load_by_engine.get(name, 0) < math.ceil(mean * spec.weight):
                return name
        return order[0]


@policies.register("round-robin")
class RoundRobin(LocalPolicy):
    """Each entry node uses the engines in turn."""

    def __init__(self, simulation):
        super().__init__(simulation)
        self._next_index_by_node = {}

    def choose(self, request, chat):
        """Return the next engine."""
        available = self.engines_by_model[request.model]
        index = self._next_index_by_node.get(request.entry)
        if index is None:
            index = self.rng.randrange(len(available))
        self._next_index_by_node[request.entry] = index + 1
        return available[index % len(available)].spec.name


@policies.register("least-in-flight")
class LeastInFlight(LocalPolicy):
    """Each entry node uses the engine on which it has the fewest requests."""

    def choose(self, request, chat):
        """Return the engine with the entry node's fewest requests per weight."""
        in_flight = self.find_in_flight(request.entry)
        available = list(self.engines_by_model[request.model])
        self.rng.shuffle(available)
        least_loaded = min(
            available,
            key=lambda simulated: (
                in_flight.get(simulated.spec.name, 0) / simulated.spec.weight
            ),
        )
        return least_loaded.spec.name


@policies.register("rendezvous")
class Rendezvous(LocalPolicy):
    """Rendezvous hashing of the chat's key, without a load bound."""

    def choose(self, request, chat):
        """Return the highest-ranked engine."""
        ranking = self.ranking_by_model[request.model]
        return ranking.order(request.chat_key)[0]


@policies.register("all-knowing")
class AllKnowing(LocalPolicy):
    """One router with exact loads and caches of all engines: the oracle baseline."""

    def choose(self, request, chat):
        """Return the engine with the most blocks in its cache, below the bound."""
        available = self.engines_by_model[request.model]
        weight = sum(simulated.spec.weight for simulated in available)
        mean = (sum(simulated.load for simulated in available) + 1) / weight
        bound = self.simulation.setup.configuration.bounds.load_bound * mean
        below = [f for f in available if f.load < math.ceil(bound * f.spec.weight)]
        best = max(
            below, key=lambda simulated: self._compute_preference(simulated, chat)
        )
        return best.spec.name

    def _compute_preference(self, simulated, chat):
        return (
            simulated.count_cached_blocks(chat.prefixes),
            -simulated.load / simulated.spec.weight,
        )


@policies.register("local-bound")
class LocalBound(LocalPolicy):
    """Each entry node applies the load bound to its own requests only."""

    def choose(self, request, chat):
        """Return the first engine below the bound of the entry node's requests."""
        return self.choose_below_bound(request, self.find_in_flight(request.entry))


@policies.register("two-choices")
class TwoChoices(LocalPolicy):
    """The less loaded of the two highest-ranked engines.

    The load is the last report plus the entry node's requests since then.
    """

    def __init__(self, simulation):
        super().__init__(simulation)
        self._reported_by_engine = {}
        self._sent_by_node = {}

    def handle_load_report(self, report):
        """Store a load report, which every node receives."""
        self._reported_by_engine[report.engine] = report.running
        for sent in self._sent_by_node.values():
            sent.pop(report.engine, None)
        self.simulation.metrics.sent_bytes += REPORT_BYTES * len(
            self.simulation.setup.zone_by_node
        )

    def choose(self, request, chat):
        """Return the less loaded of the two highest-ranked engines."""
        sent = self._sent_by_node.setdefault(request.entry, {})
        pair = self.ranking_by_model[request.model].order(request.chat_key)[:2]
        name = min(pair, key=lambda engine: self._load(engine, sent))
        sent[name] = sent.get(name, 0) + 1
        return name

    def _load(self, engine, sent):
        load = self._reported_by_engine.get(engine, 0) + sent.get(engine, 0)
        return load / self.simulation.simulated_engine_by_name[engine].spec.weight


@policies.register("gossip")
class Gossip(LocalPolicy):
    """Each entry node applies the load bound to loads that nodes send every second."""

    def __init__(self, simulation):
        super().__init__(simulation)
        self._last_sent_by_node = {}
        self._total_by_engine = {}
        nodes = sorted(simulation.setup.zone_by_node)
        for index, node in enumerate(nodes):
            simulation.schedule(
                index * GOSSIP_INTERVAL_MS // len(nodes), self._send_loads, node
            )

    def _send_loads(self, node):
        in_flight = {
            name: load for name, load in self.find_in_flight(node).items() if load
        }
        for name, load in self._last_sent_by_node.get(node, {}).items():
            self._total_by_engine[name] -= load
        for name, load in in_flight.items():
            self._total_by_engine[name] = self._total_by_engine.get(name, 0) + load
        self._last_sent_by_node[node] = in_flight
        peers = len(self.simulation.setup.zone_by_node) - 1
        size = (
            FRAME_OVERHEAD_BYTES
            + HEADER_FIELD_COUNT
            + GOSSIP_ENTRY_BYTES * len(in_flight)
        )
        self.simulation.metrics.sent_bytes += peers * size
        self.simulation.schedule(GOSSIP_INTERVAL_MS, self._send_loads, node)

    def choose(self, request, chat):
        """Return the first engine below the bound by received and local loads."""
        loads = dict(self._total_by_engine)
        last_sent = self._last_sent_by_node.get(request.entry, {})
        for name, load in self.find_in_flight(request.entry).items():
            loads[name] = loads.get(name, 0) - last_sent.get(name, 0) + load
        return self.choose_below_bound(request, loads)
