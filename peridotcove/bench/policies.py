"""Ways to choose engines that need no owner: baselines and ways of sharing a choice."""

import math
import random

from peridotcove.nodes.messages import HEADER_FIELD_COUNT
from peridotcove.registry import Registry
from peridotcove.rendezvous import RendezvousRanking

policies = Registry("policy")

GOSSIP_MS = 1_000
FRAME_BYTES = 8
REPORT_BYTES = 24
ENTRY_BYTES = 4


class Policy:
    """Chooses engines in a `World`.

    Parameters
    ----------
    world : World
        The run.
    """

    def __init__(self, world):
        self.world = world

    def submit(self, request, chat):
        """Take a request; sooner or later `World.start` or `World.refuse` is called.

        Parameters
        ----------
        request : LeaseRequest
            The request.
        chat : Chat
            Its chat.
        """
        raise NotImplementedError

    def finish(self, request, engine, reused):
        """Take the end of a request.

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
        """Act on the time."""

    def report(self, report):
        """Take an engine's lagging report.

        Parameters
        ----------
        report : LoadReport
            The report.
        """

    def set_engines(self):
        """Take in that the status of engines changed."""


class LocalPolicy(Policy):
    """A policy by which each entry node chooses by itself, at once."""

    def __init__(self, world):
        super().__init__(world)
        self.rng = random.Random("policy")
        self.own_by_node = {}
        self.set_engines()

    def set_engines(self):
        """Rank the engines that take work anew."""
        self.fakes_by_model = {}
        for fake in self.world.open_fakes():
            self.fakes_by_model.setdefault(fake.spec.model, []).append(fake)
        self.ranking_by_model = {
            model: RendezvousRanking(
                {fake.spec.name: fake.spec.weight for fake in fakes}
            )
            for model, fakes in self.fakes_by_model.items()
        }

    def submit(self, request, chat):
        """Choose and start at once."""
        engine = self.choose(request, chat)
        own = self.own_by_node.setdefault(request.entry, {})
        own[engine] = own.get(engine, 0) + 1
        self.world.start(request.request_id, engine)

    def finish(self, request, engine, reused):
        """Count the node's own request down."""
        self.own_by_node[request.entry][engine] -= 1

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

    def own(self, node):
        """Return a node's own requests in progress by engine.

        Parameters
        ----------
        node : str
            Name of the node.
        """
        return self.own_by_node.get(node, {})

    def walk(self, request, load_by_engine):
        """Return the first engine of the rank that is below the bound.

        Parameters
        ----------
        request : LeaseRequest
            The request.
        load_by_engine : dict
            Loads as the node believes them.
        """
        fakes = self.fakes_by_model[request.model]
        weight = sum(fake.spec.weight for fake in fakes)
        total = sum(load_by_engine.get(fake.spec.name, 0) for fake in fakes) + 1
        mean = total / weight * self.world.setup.configuration.bounds.load_bound
        order = self.ranking_by_model[request.model].order(request.chat_key)
        for name in order:
            spec = self.world.fake_by_engine[name].spec
            if load_by_engine.get(name, 0) < math.ceil(mean * spec.weight):
                return name
        return order[0]


@policies.register("round-robin")
class RoundRobin(LocalPolicy):
    """Each node takes the engines in turn."""

    def __init__(self, world):
        super().__init__(world)
        self._place_by_node = {}

    def choose(self, request, chat):
        """Return the next engine."""
        fakes = self.fakes_by_model[request.model]
        place = self._place_by_node.get(request.entry)
        if place is None:
            place = self.rng.randrange(len(fakes))
        self._place_by_node[request.entry] = place + 1
        return fakes[place % len(fakes)].spec.name


@policies.register("least-in-flight")
class LeastInFlight(LocalPolicy):
    """Each node takes the engine on which it has the fewest requests."""

    def choose(self, request, chat):
        """Return the engine with the fewest own requests."""
        own = self.own(request.entry)
        fakes = list(self.fakes_by_model[request.model])
        self.rng.shuffle(fakes)
        least = min(
            fakes, key=lambda fake: own.get(fake.spec.name, 0) / fake.spec.weight
        )
        return least.spec.name


@policies.register("rendezvous")
class Rendezvous(LocalPolicy):
    """The engine that the chat's key ranks first, without a bound."""

    def choose(self, request, chat):
        """Return the first engine of the rank."""
        ranking = self.ranking_by_model[request.model]
        return ranking.order(request.chat_key)[0]


@policies.register("all-knowing")
class AllKnowing(LocalPolicy):
    """One router that sees all loads and caches as they are, within the bound."""

    def choose(self, request, chat):
        """Return the engine with the most blocks in its cache, below the bound."""
        fakes = self.fakes_by_model[request.model]
        weight = sum(fake.spec.weight for fake in fakes)
        mean = (sum(fake.load for fake in fakes) + 1) / weight
        bound = self.world.setup.configuration.bounds.load_bound * mean
        below = [f for f in fakes if f.load < math.ceil(bound * f.spec.weight)]
        best = max(below, key=lambda fake: self._value(fake, chat))
        return best.spec.name

    def _value(self, fake, chat):
        return (fake.cached(chat.prefixes), -fake.load / fake.spec.weight)


@policies.register("local-bound")
class LocalBound(LocalPolicy):
    """Each node holds the bound over its own requests alone."""

    def choose(self, request, chat):
        """Return the first engine below the node's own bound."""
        return self.walk(request, self.own(request.entry))


@policies.register("two-choices")
class TwoChoices(LocalPolicy):
    """The less loaded of the two first in rank, by reports and own requests since."""

    def __init__(self, world):
        super().__init__(world)
        self._seen_by_engine = {}
        self._sent_by_node = {}

    def report(self, report):
        """Take a report, which every node gets."""
        self._seen_by_engine[report.engine] = report.running
        for sent in self._sent_by_node.values():
            sent.pop(report.engine, None)
        self.world.measure.sent_bytes += REPORT_BYTES * len(
            self.world.setup.zone_by_node
        )

    def choose(self, request, chat):
        """Return the less loaded of two engines."""
        sent = self._sent_by_node.setdefault(request.entry, {})
        pair = self.ranking_by_model[request.model].order(request.chat_key)[:2]
        name = min(pair, key=lambda engine: self._load(engine, sent))
        sent[name] = sent.get(name, 0) + 1
        return name

    def _load(self, engine, sent):
        load = self._seen_by_engine.get(engine, 0) + sent.get(engine, 0)
        return load / self.world.fake_by_engine[engine].spec.weight


@policies.register("gossip")
class Gossip(LocalPolicy):
    """Each node holds the bound over loads that the others told once a second."""

    def __init__(self, world):
        super().__init__(world)
        self._told_by_node = {}
        self._total_by_engine = {}
        nodes = sorted(world.setup.zone_by_node)
        for place, node in enumerate(nodes):
            world.after(place * GOSSIP_MS // len(nodes), self._tell, node)

    def _tell(self, node):
        own = {name: load for name, load in self.own(node).items() if load}
        for name, load in self._told_by_node.get(node, {}).items():
            self._total_by_engine[name] -= load
        for name, load in own.items():
            self._total_by_engine[name] = self._total_by_engine.get(name, 0) + load
        self._told_by_node[node] = own
        peers = len(self.world.setup.zone_by_node) - 1
        size = FRAME_BYTES + HEADER_FIELD_COUNT + ENTRY_BYTES * len(own)
        self.world.measure.sent_bytes += peers * size
        self.world.after(GOSSIP_MS, self._tell, node)

    def choose(self, request, chat):
        """Return the first engine below the bound by what was told."""
        loads = dict(self._total_by_engine)
        told = self._told_by_node.get(request.entry, {})
        for name, load in self.own(request.entry).items():
            loads[name] = loads.get(name, 0) - told.get(name, 0) + load
        return self.walk(request, loads)
