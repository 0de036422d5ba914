"""Fetches revisions from peers: selects the peer, requests parts and retries."""

from attrs import define, field

from peridotcove.configuration_parts import ConfigurationPart, digest
from peridotcove.nodes.configuration_messages import AskConfiguration, AskPart
from peridotcove.nodes.network import OutgoingMessage

RETRY_MS = 1_000
MIN_GRACE_MS = 200
MAX_GRACE_MS = 700
START_TIMEOUT_MS = 2_000
INSTANCE_LIST_TIMEOUT_MS = 5_000


@define
class RevisionFetch:
    """A revision that is being fetched from a peer.

    Attributes
    ----------
    peer : str
        Name of the peer that offers it.
    revision : int
        The revision.
    descriptor_by_name : dict of PartDescriptor
        Descriptors of all its parts.
    part_by_name : dict of ConfigurationPart
        Parts that were received or already held.
    progress_ms : int
        Time in ms of the last progress.
    """

    peer: str
    revision: int
    descriptor_by_name: dict
    part_by_name: dict = field(repr=False)
    progress_ms: int

    @property
    def missing_names(self):
        """Names of the parts that are still missing."""
        return sorted(set(self.descriptor_by_name) - set(self.part_by_name))


class RevisionFetcher:
    """Requests configuration revisions from peers.

    Parameters
    ----------
    clock : Clock
        Time in ms.
    rng : random.Random
        Spreads requests over time and peers.
    start_peers : callable
        Returns the names of the nodes to query at start; None while unknown.

    Attributes
    ----------
    service_contacted : bool
        Whether a read from the service has succeeded or failed at least once.
    """

    def __init__(self, clock, rng, start_peers):
        self.clock = clock
        self.rng = rng
        self.service_contacted = False
        self._start_peers = start_peers
        self._revision_by_peer = {}
        self._due_ms = None
        self._fetch = None
        self._requested_ms = None
        self._requested_peer = None
        self._is_unanswered = False
        self._answered_peers = set()
        self._start_requested_ms = None
        self._created_ms = clock.now()

    def is_start_complete(self, revision):
        """Return whether the service and peers were queried for the revision in force.

        Parameters
        ----------
        revision : int
            Revision that this node has in force.
        """
        if not self.service_contacted or self._start_requested_ms is None:
            return False
        if max(self._revision_by_peer.values(), default=0) > revision:
            return False
        if self.clock.now() - self._start_requested_ms >= START_TIMEOUT_MS:
            return True
        return set(self._start_peers() or ()) <= self._answered_peers

    def record_peer_revision(self, peer, revision, held):
        """Record that a peer has a later revision in force.

        Parameters
        ----------
        peer : str
            Name of the peer.
        revision : int
            Its revision.
        held : int
            Revision that this node has in force; 0 for none.
        """
        self._revision_by_peer[peer] = revision
        if self._due_ms is None:
            # A node that holds a revision usually receives the next one as a push.
            grace_ms = self.rng.randint(MIN_GRACE_MS, MAX_GRACE_MS) if held else 0
            self._due_ms = self.clock.now() + grace_ms

    def forget_peer(self, peer):
        """Remove the record of a peer that has no later revision or does not answer.

        Parameters
        ----------
        peer : str
            Name of the peer.
        """
        self._revision_by_peer.pop(peer, None)

    def record_answer(self, peer):
        """Record that a peer reported its revision in force.

        Parameters
        ----------
        peer : str
            Name of the peer.
        """
        self._answered_peers.add(peer)
        self._is_unanswered = False

    def record_progress(self):
        """Record that a later revision has come into force."""
        self._is_unanswered = False

    def tick(self, revision, wants):
        """Return the requests that are due.

        Parameters
        ----------
        revision : int
            Revision that this node has in force.
        wants : callable
            Returns whether a revision is later than the one in force and not refused.
        """
        now = self.clock.now()
        outgoing = self._request_at_start(now)
        seen = self._revision_by_peer
        for peer in [peer for peer, held in seen.items() if not wants(held)]:
            del seen[peer]
        if not seen:
            self._due_ms = self._fetch = None
            return outgoing
        if self._fetch is not None and now - self._fetch.progress_ms >= RETRY_MS:
            self.forget_peer(self._fetch.peer)
            self._fetch = None
        if self._fetch is None and now >= self._due_ms and self._requested_peer in seen:
            # The peer has not answered; its next frame adds it again.
            self.forget_peer(self._requested_peer)
        if self._fetch is None and seen and now >= self._due_ms:
            outgoing += self.request_now(self._choose_peer(), revision)
        return outgoing

    def request_now(self, peer, revision):
        """Return a request to a peer, unless an answer or a fetch is on its way.

        An answer may be large and take long on a thin link, which further answers to
        the same request would fill.

        Parameters
        ----------
        peer : str
            Name of the peer.
        revision : int
            Revision that this node has in force; 0 to request the whole instead of a
            delta.
        """
        now = self.clock.now()
        if self._fetch is not None:
            return []
        gap_ms = RETRY_MS if self._is_unanswered else MIN_GRACE_MS
        if self._requested_ms is not None and now - self._requested_ms < gap_ms:
            return []
        self._requested_ms, self._requested_peer = now, peer
        self._is_unanswered = True
        self._due_ms = now + RETRY_MS + self.rng.randint(0, MIN_GRACE_MS)
        return [OutgoingMessage(peer, AskConfiguration(revision))]

    def start_fetch(self, peer, revision, descriptor_by_name, held):
        """Start to fetch a revision and return the requests for its missing parts.

        Parameters
        ----------
        peer : str
            Name of the peer that offers it.
        revision : int
            The revision.
        descriptor_by_name : dict of PartDescriptor
            Descriptors of all its parts.
        held : dict of ConfigurationPart
            Parts that this node holds.
        """
        if self._fetch is not None and self._fetch.revision >= revision:
            return []
        now = self.clock.now()
        self._revision_by_peer[peer] = revision
        parts = {
            name: ConfigurationPart(name, descriptor_by_name[name], part.data)
            for name, part in held.items()
        }
        self._fetch = RevisionFetch(peer, revision, descriptor_by_name, parts, now)
        return [
            OutgoingMessage(peer, AskPart(name, descriptor_by_name[name].digest))
            for name in self._fetch.missing_names
        ]

    def handle_part_data(self, peer, message):
        """Handle a part sent by a peer; one that was not requested is ignored.

        Parameters
        ----------
        peer : str
            Name of the sender.
        message : PartData
            The message.
        """
        fetch = self._fetch
        if (
            fetch is None
            or fetch.peer != peer
            or message.name not in fetch.missing_names
        ):
            return
        descriptor = fetch.descriptor_by_name[message.name]
        if digest(message.data) != descriptor.digest:
            return
        fetch.part_by_name[message.name] = ConfigurationPart(
            message.name, descriptor, message.data
        )
        fetch.progress_ms = self.clock.now()

    def finish_fetch(self):
        """Return the current fetch and end it if it is complete; otherwise None."""
        if self._fetch is None or self._fetch.missing_names:
            return None
        fetch, self._fetch = self._fetch, None
        return fetch

    def _request_at_start(self, now):
        if self._start_requested_ms is not None:
            return []
        peers = self._start_peers()
        if peers is None and now - self._created_ms < INSTANCE_LIST_TIMEOUT_MS:
            return []
        peers = list(peers or ())
        self._start_requested_ms = now
        return [OutgoingMessage(peer, AskConfiguration(0)) for peer in peers]

    def _choose_peer(self):
        best = max(self._revision_by_peer.values())
        return self.rng.choice(
            sorted(
                peer for peer, held in self._revision_by_peer.items() if held == best
            )
        )
