"""Gossip-based node discovery from seed addresses, where no list is published.

A node introduces itself to the seeds of its settings until one answers, and nodes
exchange which others they know. Seeds may be stale, down or partitioned; two groups of
nodes join as soon as one node of either group reaches one of the other.
"""

from attrs import define

from peridotcove.exceptions import ProtocolError
from peridotcove.models import Instance
from peridotcove.nodes.membership_messages import ShareNodes
from peridotcove.nodes.network import OutgoingMessage

# Period of introductions to seeds that have not answered; a node that starts should be
# known to others before its first request.
SEED_PERIOD_MS = 500
# Period of introductions while no other node is known: nodes that started at the same
# time were not up yet. Equal to the time after which a link is dialed again.
ISOLATED_SEED_PERIOD_MS = 100
# Time after its start in which a node that knows no other one expects to hear of some.
ISOLATED_START_MS = 3_000
# A seed that answered this recently gets no introduction: many nodes have the same few
# seeds, and most hear no heartbeats of nodes in other zones. Short enough for nodes to
# find a seed soon that restarted and lost its state.
SEED_REFRESH_MS = 2_000
# Period of exchanges with a random known node; spreads a node that one group doesn't
# know over the fleet in a few periods.
EXCHANGE_PERIOD_MS = 2_000
# For this long after its start, a node presumes nodes live that others heard this
# recently. It hears its neighbours only after a heartbeat, and would until then take
# over shards that they own. Shorter than the time in which the loss of a node is
# detected.
PRESUMED_LIVE_MS = 1_500
# The same for nodes of zones whose live nodes no contact there has reported yet. If all
# nodes start at once, a contact reports only after it has heard its own neighbours.
PRESUMED_ZONE_MS = 8_000
# A node without a sign of life for this long is forgotten. Longer than any partition
# after which nodes should find each other again without the seeds.
FORGET_NODE_MS = 300_000
# Period of the first exchange after a start, doubled up to `EXCHANGE_PERIOD_MS`.
# The seeds of a fleet that starts at once know few nodes themselves at first.
FIRST_EXCHANGE_PERIOD_MS = 250
# Nodes in one exchange, not counting the sender; limits a message to about 1 KB.
MAX_SHARED_NODES = 24
# Nodes in an answer to a node that knows fewer than this one; about 30 KB.
MAX_ANSWERED_NODES = 512
# Fields of a record that all versions send; the power is an optional further field.
MIN_RECORD_FIELDS = 5


@define
class KnownNode:
    """A known node and the time of its last sign of life.

    Attributes
    ----------
    instance : Instance
        The node.
    seen_ms : int
        Time in ms of the last sign of life, seen here or reported by another node.
    """

    instance: Instance
    seen_ms: int


class Discovery:
    """Discovers the other nodes of the fleet.

    Parameters
    ----------
    node : Instance
        The node itself; its name is its address, ``HOST:PORT``.
    clock : Clock
        Time in ms.
    rng : random.Random
        Selects the nodes to exchange with.

    Attributes
    ----------
    known_by_name : dict of KnownNode
        Other known nodes by name.
    seeds : tuple of str
        Seed addresses of the settings.
    """

    def __init__(self, node, clock, rng):
        self.node = node
        self.known_by_name = {}
        self.seeds = ()
        self._clock = clock
        self._rng = rng
        self._seed_due_ms = 0
        self._exchange_due_ms = 0
        self._exchange_period_ms = FIRST_EXCHANGE_PERIOD_MS
        self._answered_ms_by_name = {}
        self._started_ms = clock.now()

    def set_seeds(self, addresses):
        """Set the seed addresses of the settings.

        Parameters
        ----------
        addresses : iterable of str
            ``HOST:PORT`` of nodes that may be up.
        """
        self.seeds = tuple(name for name in addresses if name != self.node.name)
        self._seed_due_ms = 0

    def instances(self):
        """Return the known nodes, including this one."""
        others = [known.instance for known in self.known_by_name.values()]
        return (self.node, *others)

    def dial_targets(self):
        """Return the instances to open links to: known nodes, and unknown seeds."""
        unknown_seeds = [name for name in self.seeds if name not in self.known_by_name]
        return [*self.instances()[1:], *map(_make_instance, unknown_seeds)]

    def presumed_live_nodes(self, is_reported):
        """Return the nodes that are presumed live shortly after this one's start.

        Parameters
        ----------
        is_reported : callable
            Whether a node of a zone, given by name, reports which nodes are live there.
        """
        now = self._clock.now()
        started_ago_ms = now - self._started_ms
        if started_ago_ms > PRESUMED_ZONE_MS:
            return []
        presumed = []
        for known in self.known_by_name.values():
            reported = is_reported(known.instance.zone)
            limit_ms = PRESUMED_LIVE_MS if reported else PRESUMED_ZONE_MS
            if max(started_ago_ms, now - known.seen_ms) <= limit_ms:
                presumed.append(known.instance)
        return presumed

    def is_isolated(self):
        """Return whether this node has just started and its seeds have not answered."""
        if self.known_by_name or not self.seeds:
            return False
        return self._clock.now() - self._started_ms < ISOLATED_START_MS

    def tick(self, hears):
        """Return the messages that are due; call it several times a second.

        Parameters
        ----------
        hears : callable
            Whether a node, given by name, is heard.
        """
        now = self._clock.now()
        for name, known in list(self.known_by_name.items()):
            if hears(name):
                known.seen_ms = now
            elif now - known.seen_ms > FORGET_NODE_MS:
                del self.known_by_name[name]
        outgoing = []
        if now >= self._seed_due_ms:
            isolated = not self.known_by_name
            self._seed_due_ms = now + (
                ISOLATED_SEED_PERIOD_MS if isolated else SEED_PERIOD_MS
            )
            due_seeds = [
                name for name in self.seeds if self._needs_introduction(name, hears)
            ]
            outgoing += [
                OutgoingMessage(name, self._make_message(True)) for name in due_seeds
            ]
        if now >= self._exchange_due_ms and self.known_by_name:
            self._exchange_due_ms = now + self._exchange_period_ms
            self._exchange_period_ms = min(
                EXCHANGE_PERIOD_MS, 2 * self._exchange_period_ms
            )
            name = self._rng.choice(sorted(self.known_by_name))
            outgoing.append(OutgoingMessage(name, self._make_message(True)))
        return outgoing

    def _needs_introduction(self, seed, hears):
        if hears(seed):
            return False
        answered_ms = self._answered_ms_by_name.get(seed)
        return answered_ms is None or self._clock.now() - answered_ms >= SEED_REFRESH_MS

    def receive(self, peer, message):
        """Merge the nodes that another node knows.

        Parameters
        ----------
        peer : str
            Name of the sender.
        message : ShareNodes
            Nodes that it knows.

        Returns
        -------
        found : bool
            Whether new nodes were found.
        outgoing : list of OutgoingMessage
            Messages to send.

        Raises
        ------
        ProtocolError
            If a record is malformed.
        """
        received = [_decode_record(record) for record in message.nodes]
        now = self._clock.now()
        if peer in self.seeds:
            self._answered_ms_by_name[peer] = now
        previous = set(self.known_by_name)
        for instance, age_ms in received:
            self._update_node(instance, now - age_ms)
        new_names = set(self.known_by_name) - previous
        outgoing = []
        if message.reply and peer in self.known_by_name:
            own_count = len(self.known_by_name) + 1
            limit = MAX_SHARED_NODES
            if 0 < message.count < own_count:
                limit = MAX_ANSWERED_NODES
            asks_back = message.count > own_count
            answer = self._make_message(asks_back, limit)
            outgoing.append(OutgoingMessage(peer, answer))
        # New nodes of the zone learn at once that this one exists, those of other zones
        # by exchanges: else a large fleet that starts at once would open a link
        # between each two nodes.
        others = sorted(name for name in new_names - {peer} if self._is_near(name))
        outgoing += [
            OutgoingMessage(name, self._make_message(False)) for name in others
        ]
        return bool(new_names), outgoing

    def _is_near(self, name):
        return self.known_by_name[name].instance.zone == self.node.zone

    def _update_node(self, instance, seen_ms):
        if instance.name == self.node.name:
            return
        known = self.known_by_name.get(instance.name)
        if known is None:
            if self._clock.now() - seen_ms <= FORGET_NODE_MS:
                self.known_by_name[instance.name] = KnownNode(instance, seen_ms)
            return
        known.seen_ms = max(known.seen_ms, seen_ms)
        known.instance = instance

    def _make_message(self, reply, limit=MAX_SHARED_NODES):
        now = self._clock.now()
        names = sorted(self.known_by_name)
        chosen = self._rng.sample(names, min(limit, len(names)))
        records = [_encode_record(self.node, 0)]
        for name in chosen:
            known = self.known_by_name[name]
            records.append(_encode_record(known.instance, now - known.seen_ms))
        return ShareNodes(records, reply, len(names) + 1)


def _encode_record(instance, age_ms):
    location = [instance.name, instance.host, instance.port, instance.zone]
    return [*location, age_ms, instance.power]


def _decode_record(record):
    if not isinstance(record, list) or len(record) < MIN_RECORD_FIELDS:
        raise ProtocolError(f"malformed node record {record!r}")
    name, host, port, zone, age_ms = record[:MIN_RECORD_FIELDS]
    strings_valid = all(isinstance(item, str) for item in (name, host, zone))
    power = record[MIN_RECORD_FIELDS] if len(record) > MIN_RECORD_FIELDS else 1.0
    integers_valid = isinstance(port, int) and isinstance(age_ms, int)
    if not strings_valid or not integers_valid or not isinstance(power, (int, float)):
        raise ProtocolError(f"malformed node record {record!r}")
    instance = Instance(name, "node", host, port, zone, power=power)
    return instance, max(0, age_ms)


def _make_instance(address):
    host, _, port = address.rpartition(":")
    return Instance(address, "node", host, int(port), "")
