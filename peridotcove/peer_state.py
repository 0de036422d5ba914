"""What a node knows of one other node from their heartbeats."""

from attrs import define, field

from peridotcove.nodes.membership_messages import LEAVING, MINORITY, READS_FAIL

HEARTBEAT_MS = 1_000
CONTACT_HEARTBEAT_MS = 2_000
FAR_HEARTBEAT_MS = 5_000
PROBE_ACK_MS = 500
SUSPECT_AFTER_MS = 250
SILENT_AFTER_MS = 500
LOST_AFTER_MS = 1_500
SILENT_REPEAT_MS = 1_000
LOST_REPEAT_MS = 5_000


@define
class PeerState:
    """State of the heartbeats with one node.

    Attributes
    ----------
    name : str
        Name of the node.
    period_ms : int
        Time in ms between two heartbeats.
    since_ms : int
        Start of the present spell of being heard, or of trying.
    heard_ms : int or None
        Time of the last fresh heartbeat.
    sent_ms : int or None
        Time of the last heartbeat to it.
    incarnation : int
        Start of its process in wall ms; 0 if never heard.
    sequence_in, sequence_out : int
        Highest sequence from it and to it.
    acked : int
        Highest sequence to it that it has acknowledged.
    unacked_ms : int or None
        Time since which a heartbeat waits to be acknowledged.
    silent_ms : int or None
        Time at which its link was last reported as silent.
    live, leaving, reads_fail, minority : bool
        Whether it is believed live; and whether it says that it is leaving, that its
        reads of the configuration service fail, that it hears few of its zone.
    shards : dict
        Load total by shard.
    unheard : frozenset of str
        Nodes that it does not hear.
    """

    name: str
    since_ms: int
    period_ms: int = HEARTBEAT_MS
    heard_ms: int | None = None
    sent_ms: int | None = None
    incarnation: int = 0
    sequence_in: int = 0
    sequence_out: int = 0
    acked: int = 0
    unacked_ms: int | None = None
    silent_ms: int | None = None
    live: bool = False
    leaving: bool = False
    reads_fail: bool = False
    minority: bool = False
    shards: dict = field(factory=dict)
    unheard: frozenset = frozenset()

    @property
    def lost_ms(self):
        """Time in ms after which an unheard peer counts as lost."""
        return self.period_ms + LOST_AFTER_MS

    @property
    def silent_after_ms(self):
        """Time in ms after which an unheard peer's link counts as silent."""
        return self.period_ms + SILENT_AFTER_MS

    def heard(self, now):
        """Return whether it was heard of late.

        Parameters
        ----------
        now : int
            Time in ms.
        """
        return self.heard_ms is not None and self.unheard_for(now) < self.lost_ms

    def suspect(self, now):
        """Return whether a heartbeat from it is overdue.

        Parameters
        ----------
        now : int
            Time in ms.
        """
        return self.unheard_for(now) >= self.period_ms + SUSPECT_AFTER_MS

    def silent(self, now):
        """Return whether a probe after the overdue heartbeat had no answer either.

        Parameters
        ----------
        now : int
            Time in ms.
        """
        return self.unheard_for(now) >= self.silent_after_ms

    def unheard_for(self, now):
        """Return for how long in ms it was not heard.

        Parameters
        ----------
        now : int
            Time in ms.
        """
        return now - (self.since_ms if self.heard_ms is None else self.heard_ms)

    def due(self, now):
        """Return whether a heartbeat to it is due.

        Parameters
        ----------
        now : int
            Time in ms.
        """
        if self.sent_ms is None or now - self.sent_ms >= self.period_ms:
            return True
        return self.live and self.suspect(now)

    def take(self, message, now):
        """Take a heartbeat in; return whether it is news and not an old copy.

        Parameters
        ----------
        message : Heartbeat
            What it sent.
        now : int
            Time in ms.
        """
        if message.incarnation < self.incarnation and self.live:
            return False
        if message.incarnation != self.incarnation:
            self.restart(message.incarnation, now)
        self.acknowledge(message.ack)
        if message.sequence <= self.sequence_in:
            return False
        if not self.heard(now):
            self.since_ms = now
        self.sequence_in = message.sequence
        self.heard_ms = now
        self.leaving = bool(message.flags & LEAVING)
        self.reads_fail = bool(message.flags & READS_FAIL)
        self.minority = bool(message.flags & MINORITY)
        self.shards = message.shards
        self.unheard = frozenset(message.unheard)
        return True

    def restart(self, incarnation, now):
        """Begin anew with another process of the same name.

        Parameters
        ----------
        incarnation : int
            Start of its process in wall ms.
        now : int
            Time in ms.
        """
        self.incarnation = incarnation
        self.since_ms = now
        self.heard_ms = None
        self.sequence_in = 0

    def wake(self, now):
        """Put the peer in doubt after a pause of this process.

        Parameters
        ----------
        now : int
            Time in ms.
        """
        if self.heard_ms is not None:
            self.heard_ms = now - self.period_ms - SUSPECT_AFTER_MS
        self.since_ms = max(self.since_ms, now - self.lost_ms)
        self.unacked_ms = None

    def acknowledge(self, ack):
        """Take an acknowledgement in.

        Parameters
        ----------
        ack : int
            Highest sequence that the peer has.
        """
        if not self.acked < ack <= self.sequence_out:
            return
        self.acked = ack
        self.unacked_ms = None

    def send(self, now):
        """Count a heartbeat to it and return its sequence.

        Parameters
        ----------
        now : int
            Time in ms.
        """
        self.sequence_out += 1
        self.sent_ms = now
        if self.unacked_ms is None:
            self.unacked_ms = now
        return self.sequence_out

    def link_is_silent(self, now):
        """Return whether nothing comes back on the link.

        Parameters
        ----------
        now : int
            Time in ms.
        """
        if self.sent_ms is None:
            return False
        return self.silent(now) or self.unacked_for(now) >= self.silent_after_ms

    def unacked_for(self, now):
        """Return for how long in ms a heartbeat waits to be acknowledged.

        Parameters
        ----------
        now : int
            Time in ms.
        """
        return 0 if self.unacked_ms is None else now - self.unacked_ms

    def answer_due(self, now):
        """Return whether a heartbeat is due as an answer to one just received.

        Parameters
        ----------
        now : int
            Time in ms.
        """
        return self.sent_ms is None or now - self.sent_ms >= self.period_ms // 2

    def misses(self, message, now):
        """Return whether a probe shows that this node's heartbeats do not arrive.

        Parameters
        ----------
        message : Heartbeat
            A heartbeat that wants a reply.
        now : int
            Time in ms.
        """
        return message.ack < self.sequence_out and self.unacked_for(now) >= PROBE_ACK_MS

    def report_silence(self, now):
        """Return whether its silent link is to be reported now.

        Parameters
        ----------
        now : int
            Time in ms.
        """
        return self.link_is_silent(now) and self.repeat_due(now)

    def repeat_due(self, now):
        """Return whether its silent link may be reported again, and note the report.

        Parameters
        ----------
        now : int
            Time in ms.
        """
        repeat = SILENT_REPEAT_MS if self.live else LOST_REPEAT_MS
        if self.silent_ms is not None and now - self.silent_ms < repeat:
            return False
        self.silent_ms = now
        return True
