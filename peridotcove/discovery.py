"""Finds the other nodes from a few addresses, where no list of them is published.

A node introduces itself at the addresses of its settings until one answers, and each
node passes on which others it knows. Some addresses may be stale, down or cut off; two
groups of nodes join as soon as one node of either reaches one of the other.
"""

from attrs import define

from peridotcove.exceptions import ProtocolError
from peridotcove.models import Instance
from peridotcove.nodes.membership_messages import ShareNodes
from peridotcove.nodes.network import Outgoing

# Period of introductions to addresses that have not answered; a node that starts
# should be known before it gets its first request.
SEED_MS = 500
# The same while no other node is known: those that started at the same time were not
# there yet. Equal to the time after which a link is dialed again.
ALONE_SEED_MS = 250
# An address that answered this recently is not introduced to again: many nodes have the
# same few addresses, and most hear no heartbeats of nodes in other zones. Below the
# time in which a seed that restarts without memory should be found by those it forgot.
ANSWERED_MS = 2_000
# Period of exchanges with one known node; spreads a node that one group has not heard
# of over the fleet in a few periods.
EXCHANGE_MS = 2_000
# After its start a node takes those as live that others heard this recently, for as
# long: it hears nodes of other zones only in the second after, and would meanwhile own
# what is theirs. Shorter than the time after which a lost node is noticed.
PRESUMED_MS = 1_500
# A node without a sign of life for this long is forgotten: well above any partition
# that its return should survive without the seeds.
FORGET_MS = 300_000
# Nodes named in one exchange beside the sender; bounds a message to about 1 KB.
MAX_SHARED = 24
# Fields of a record that each version sends; the power may follow.
RECORD_FIELDS = 5


@define
class KnownNode:
    """A node, and when there was a sign of its life.

    Attributes
    ----------
    instance : Instance
        The node.
    seen_ms : int
        Time in ms of the last sign of life, its own or one that another node told.
    """

    instance: Instance
    seen_ms: int


class Discovery:
    """The nodes that this one knows.

    Parameters
    ----------
    node : Instance
        The node itself; its name is its address, ``HOST:PORT``.
    clock : Clock
        Time in ms.
    rng : random.Random
        Picks whom to exchange nodes with.

    Attributes
    ----------
    known_by_name : dict of Known
        Other nodes by name.
    seeds : tuple of str
        Addresses of the settings.
    """

    def __init__(self, node, clock, rng):
        self.node = node
        self.known_by_name = {}
        self.seeds = ()
        self._clock = clock
        self._rng = rng
        self._seed_due_ms = 0
        self._exchange_due_ms = 0
        self._answered_ms_by_name = {}
        self._started_ms = clock.now()

    def set_seeds(self, addresses):
        """Take the addresses of the settings.

        Parameters
        ----------
        addresses : iterable of str
            ``HOST:PORT`` of nodes that may be up.
        """
        self.seeds = tuple(name for name in addresses if name != self.node.name)
        self._seed_due_ms = 0

    def instances(self):
        """Return the known nodes, this one included."""
        others = [known.instance for known in self.known_by_name.values()]
        return (self.node, *others)

    def dial_targets(self):
        """Return an `Instance` for each address to which messages may go."""
        unknown = [name for name in self.seeds if name not in self.known_by_name]
        return [*self.instances()[1:], *map(_place, unknown)]

    def presumed_live_nodes(self):
        """Return the nodes that are taken as live shortly after this one's start."""
        now = self._clock.now()
        if now - self._started_ms > PRESUMED_MS:
            return []
        return [
            known.instance
            for known in self.known_by_name.values()
            if now - known.seen_ms <= PRESUMED_MS
        ]

    def tick(self, hears):
        """Return the messages that are due; call it a few times a second.

        Parameters
        ----------
        hears : callable
            Whether a node, given by name, is heard.
        """
        now = self._clock.now()
        for name, known in list(self.known_by_name.items()):
            if hears(name):
                known.seen_ms = now
            elif now - known.seen_ms > FORGET_MS:
                del self.known_by_name[name]
        outgoing = []
        if now >= self._seed_due_ms:
            alone = not self.known_by_name
            self._seed_due_ms = now + (ALONE_SEED_MS if alone else SEED_MS)
            silent = [name for name in self.seeds if self._is_silent(name, hears)]
            outgoing += [Outgoing(name, self._share(True)) for name in silent]
        if now >= self._exchange_due_ms and self.known_by_name:
            self._exchange_due_ms = now + EXCHANGE_MS
            name = self._rng.choice(sorted(self.known_by_name))
            outgoing.append(Outgoing(name, self._share(True)))
        return outgoing

    def _is_silent(self, seed, hears):
        if hears(seed):
            return False
        answered_ms = self._answered_ms_by_name.get(seed)
        return answered_ms is None or self._clock.now() - answered_ms >= ANSWERED_MS

    def receive(self, peer, message):
        """Take what another node knows; return whether it is news, and the answers.

        Parameters
        ----------
        peer : str
            Name of the node.
        message : ShareNodes
            What it sent.

        Raises
        ------
        ProtocolError
            If a record is malformed.
        """
        told = [_read(record) for record in message.nodes]
        now = self._clock.now()
        if peer in self.seeds:
            self._answered_ms_by_name[peer] = now
        before = set(self.known_by_name)
        for instance, age_ms in told:
            self._note(instance, now - age_ms)
        news = set(self.known_by_name) - before
        outgoing = []
        if message.reply and peer in self.known_by_name:
            outgoing.append(Outgoing(peer, self._share(False)))
        # Nodes that are new are told at once that this one exists.
        others = sorted(news - {peer})
        outgoing += [Outgoing(name, self._share(False)) for name in others]
        return bool(news), outgoing

    def _note(self, instance, seen_ms):
        if instance.name == self.node.name:
            return
        known = self.known_by_name.get(instance.name)
        if known is None:
            if self._clock.now() - seen_ms <= FORGET_MS:
                self.known_by_name[instance.name] = KnownNode(instance, seen_ms)
            return
        known.seen_ms = max(known.seen_ms, seen_ms)
        known.instance = instance

    def _share(self, reply):
        now = self._clock.now()
        names = sorted(self.known_by_name)
        chosen = self._rng.sample(names, min(MAX_SHARED, len(names)))
        records = [_record(self.node, 0)]
        for name in chosen:
            known = self.known_by_name[name]
            records.append(_record(known.instance, now - known.seen_ms))
        return ShareNodes(records, reply)


def _record(instance, age_ms):
    place = [instance.name, instance.host, instance.port, instance.zone]
    return [*place, age_ms, instance.power]


def _read(record):
    if not isinstance(record, list) or len(record) < RECORD_FIELDS:
        raise ProtocolError(f"{record!r} describes no node")
    name, host, port, zone, age_ms = record[:RECORD_FIELDS]
    texts = all(isinstance(item, str) for item in (name, host, zone))
    power = record[RECORD_FIELDS] if len(record) > RECORD_FIELDS else 1.0
    numbers = isinstance(port, int) and isinstance(age_ms, int)
    if not texts or not numbers or not isinstance(power, (int, float)):
        raise ProtocolError(f"{record!r} describes no node")
    instance = Instance(name, "node", host, port, zone, power=power)
    return instance, max(0, age_ms)


def _place(address):
    host, _, port = address.rpartition(":")
    return Instance(address, "node", host, int(port), "")
