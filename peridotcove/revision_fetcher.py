"""Fetches revisions from peers: whom to ask, what for, and when again."""

from attrs import define, field

from peridotcove.configuration_parts import Part, digest
from peridotcove.nodes.configuration_messages import AskConfiguration, AskPart
from peridotcove.nodes.network import Outgoing

ASK_AGAIN_MS = 1_000
MIN_GRACE_MS = 200
MAX_GRACE_MS = 700
START_MS = 2_000
LIST_MS = 5_000


@define
class Pull:
    """A revision on its way from a peer.

    Attributes
    ----------
    peer : str
        Name of the peer that offers it.
    revision : int
        The revision.
    descriptor_by_name : dict of Pointer
        All its parts.
    part_by_name : dict of Part
        Parts that have arrived or were held.
    at_ms : int
        Time of the last progress.
    """

    peer: str
    revision: int
    descriptor_by_name: dict
    part_by_name: dict = field(repr=False)
    at_ms: int

    @property
    def wanted(self):
        """Names of the parts that are still to come."""
        return sorted(set(self.descriptor_by_name) - set(self.part_by_name))


class RevisionFetcher:
    """Requests for the configuration to peers.

    Parameters
    ----------
    clock : Clock
        Time in ms.
    rng : random.Random
        Spreads requests over time and peers.
    ask_at_start : callable
        Returns the names of the nodes to ask at start; None while not known.

    Attributes
    ----------
    service_asked : bool
        Whether the service has answered or failed once.
    """

    def __init__(self, clock, rng, ask_at_start):
        self.clock = clock
        self.rng = rng
        self.service_asked = False
        self._ask_at_start = ask_at_start
        self._seen_by_peer = {}
        self._due_ms = None
        self._pull = None
        self._asked_ms = None
        self._asked_peer = None
        self._answers = set()
        self._begun_ms = None
        self._created_ms = clock.now()

    def started(self, revision):
        """Return whether service and peers were asked what is in force.

        Parameters
        ----------
        revision : int
            Revision that this node has in force.
        """
        if not self.service_asked or self._begun_ms is None:
            return False
        if max(self._seen_by_peer.values(), default=0) > revision:
            return False
        if self.clock.now() - self._begun_ms >= START_MS:
            return True
        return set(self._ask_at_start() or ()) <= self._answers

    def record_peer_revision(self, peer, revision, held):
        """Note that a peer has a later revision in force.

        Parameters
        ----------
        peer : str
            Name of the peer.
        revision : int
            Its revision.
        held : int
            Revision that this node has in force; 0 for none.
        """
        self._seen_by_peer[peer] = revision
        if self._due_ms is None:
            # A node that holds a revision is mostly sent the next one unasked.
            grace = self.rng.randint(MIN_GRACE_MS, MAX_GRACE_MS) if held else 0
            self._due_ms = self.clock.now() + grace

    def drop(self, peer):
        """Forget what a peer had: it has nothing later, or does not answer.

        Parameters
        ----------
        peer : str
            Name of the peer.
        """
        self._seen_by_peer.pop(peer, None)

    def answered(self, peer):
        """Note that a peer has said what it has in force.

        Parameters
        ----------
        peer : str
            Name of the peer.
        """
        self._answers.add(peer)

    def tick(self, revision, wants):
        """Return the requests that are due.

        Parameters
        ----------
        revision : int
            Revision that this node has in force.
        wants : callable
            Whether a revision is later and not refused.
        """
        now = self.clock.now()
        outgoing = self._begin_start(now)
        seen = self._seen_by_peer
        for peer in [peer for peer, held in seen.items() if not wants(held)]:
            del seen[peer]
        if not seen:
            self._due_ms = self._pull = None
            return outgoing
        if self._pull is not None and now - self._pull.at_ms >= ASK_AGAIN_MS:
            self.drop(self._pull.peer)
            self._pull = None
        if self._pull is None and now >= self._due_ms and self._asked_peer in seen:
            # It has not answered; its next frame brings it back.
            self.drop(self._asked_peer)
        if self._pull is None and seen and now >= self._due_ms:
            outgoing += self.ask_now(self._choose(), revision)
        return outgoing

    def ask_now(self, peer, revision):
        """Return a request to a peer, unless one is under way.

        Parameters
        ----------
        peer : str
            Name of the peer.
        revision : int
            Revision that this node has in force; 0 to be offered the whole.
        """
        now = self.clock.now()
        if self._pull is not None:
            return []
        if self._asked_ms is not None and now - self._asked_ms < MIN_GRACE_MS:
            return []
        self._asked_ms, self._asked_peer = now, peer
        self._due_ms = now + ASK_AGAIN_MS + self.rng.randint(0, MIN_GRACE_MS)
        return [Outgoing(peer, AskConfiguration(revision))]

    def begin(self, peer, revision, descriptor_by_name, held):
        """Begin to fetch a revision and return the requests for its parts.

        Parameters
        ----------
        peer : str
            Name of the peer that offers it.
        revision : int
            The revision.
        descriptor_by_name : dict of Pointer
            All its parts.
        held : dict of Part
            Parts that this node holds.
        """
        if self._pull is not None and self._pull.revision >= revision:
            return []
        now = self.clock.now()
        self._seen_by_peer[peer] = revision
        parts = {
            name: Part(name, descriptor_by_name[name], part.data)
            for name, part in held.items()
        }
        self._pull = Pull(peer, revision, descriptor_by_name, parts, now)
        return [
            Outgoing(peer, AskPart(name, descriptor_by_name[name].digest))
            for name in self._pull.wanted
        ]

    def take(self, peer, message):
        """Take a part.

        Parameters
        ----------
        peer : str
            Name of the sender.
        message : PartData
            What it sent.
        """
        pull = self._pull
        if pull is None or pull.peer != peer or message.name not in pull.wanted:
            return
        pointer = pull.descriptor_by_name[message.name]
        if digest(message.data) != pointer.digest:
            return
        pull.part_by_name[message.name] = Part(message.name, pointer, message.data)
        pull.at_ms = self.clock.now()

    def finish(self):
        """Return the pull under way if it is complete, and end it."""
        if self._pull is None or self._pull.wanted:
            return None
        pull, self._pull = self._pull, None
        return pull

    def _begin_start(self, now):
        if self._begun_ms is not None:
            return []
        peers = self._ask_at_start()
        if peers is None and now - self._created_ms < LIST_MS:
            return []
        peers = list(peers or ())
        self._begun_ms = now
        return [Outgoing(peer, AskConfiguration(0)) for peer in peers]

    def _choose(self):
        best = max(self._seen_by_peer.values())
        return self.rng.choice(
            sorted(peer for peer, held in self._seen_by_peer.items() if held == best)
        )
