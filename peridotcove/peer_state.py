"""Heartbeat state that a node keeps of one other node."""

from attrs import define, field

from peridotcove.nodes.membership_messages import LEAVING, MINORITY, READS_FAIL

HEARTBEAT_PERIOD_MS = 1_000
CONTACT_HEARTBEAT_PERIOD_MS = 2_000
REMOTE_HEARTBEAT_PERIOD_MS = 5_000
# A probe that arrives while heartbeats have been unacknowledged for this long shows
# that they do not reach the peer.
PROBE_ACK_TIMEOUT_MS = 500
# Times after the heartbeat period: a heartbeat is overdue and the peer is probed, its
# link counts as silent, the peer counts as lost.
OVERDUE_MARGIN_MS = 250
SILENCE_MARGIN_MS = 500
LOSS_MARGIN_MS = 1_500
# Shortest time between two reports of the same silent link.
SILENCE_REPORT_PERIOD_MS = 1_000
LOST_PEER_REPORT_PERIOD_MS = 5_000


@define
class PeerState:
    """State of the heartbeats exchanged with one other node.

    Attributes
    ----------
    name : str
        Name of the node.
    period_ms : int
        Time in ms between two heartbeats.
    state_since_ms : int
        Time in ms since which the peer is heard without a gap, or since which it is
        tried and not heard.
    heard_ms : int or None
        Time in ms of the last new heartbeat from the peer.
    sent_ms : int or None
        Time in ms of the last heartbeat to the peer.
    incarnation : int
        Wall time in ms at which the peer's process started; 0 if never heard.
    sequence_in, sequence_out : int
        Highest sequence number received from the peer and sent to it.
    acked_sequence : int
        Highest sequence number that the peer has acknowledged.
    unacked_since_ms : int or None
        Time in ms since which a heartbeat to the peer is unacknowledged.
    silence_reported_ms : int or None
        Time in ms at which the link was last reported as silent.
    live : bool
        Whether the peer is believed live.
    leaving, reads_fail, minority : bool
        Whether the peer reports that it is leaving, that its reads of the configuration
        service fail, that it hears no majority of its zone.
    shards : dict
        Load total by shard.
    unheard : frozenset of str
        Names of the nodes that the peer reports as not heard.
    """

    name: str
    state_since_ms: int
    period_ms: int = HEARTBEAT_PERIOD_MS
    heard_ms: int | None = None
    sent_ms: int | None = None
    incarnation: int = 0
    sequence_in: int = 0
    sequence_out: int = 0
    acked_sequence: int = 0
    unacked_since_ms: int | None = None
    silence_reported_ms: int | None = None
    live: bool = False
    leaving: bool = False
    reads_fail: bool = False
    minority: bool = False
    shards: dict = field(factory=dict)
    unheard: frozenset = frozenset()

    @property
    def loss_timeout_ms(self):
        """Time in ms without a heartbeat after which the peer counts as lost."""
        return self.period_ms + LOSS_MARGIN_MS

    @property
    def silence_timeout_ms(self):
        """Time in ms without a heartbeat after which the link counts as silent."""
        return self.period_ms + SILENCE_MARGIN_MS

    def is_heard(self, now):
        """Return whether a heartbeat arrived within the loss timeout.

        Parameters
        ----------
        now : int
            Time in ms.
        """
        return self.heard_ms is not None and self.unheard_ms(now) < self.loss_timeout_ms

    def is_overdue(self, now):
        """Return whether a heartbeat from the peer is overdue.

        Parameters
        ----------
        now : int
            Time in ms.
        """
        return self.unheard_ms(now) >= self.period_ms + OVERDUE_MARGIN_MS

    def is_silent(self, now):
        """Return whether the probe sent for an overdue heartbeat is unanswered too.

        Parameters
        ----------
        now : int
            Time in ms.
        """
        return self.unheard_ms(now) >= self.silence_timeout_ms

    def unheard_ms(self, now):
        """Return the time in ms since the last heartbeat, or since trying began.

        Parameters
        ----------
        now : int
            Time in ms.
        """
        return now - (self.state_since_ms if self.heard_ms is None else self.heard_ms)

    def is_heartbeat_due(self, now):
        """Return whether a heartbeat to the peer is due.

        Parameters
        ----------
        now : int
            Time in ms.
        """
        if self.sent_ms is None or now - self.sent_ms >= self.period_ms:
            return True
        return self.live and self.is_overdue(now)

    def apply_heartbeat(self, message, now):
        """Apply a received heartbeat; return whether it is newer than those before.

        Parameters
        ----------
        message : Heartbeat
            The heartbeat.
        now : int
            Time in ms.
        """
        if message.incarnation < self.incarnation and self.live:
            return False
        if message.incarnation != self.incarnation:
            self.start_incarnation(message.incarnation, now)
        self.apply_ack(message.ack)
        if message.sequence <= self.sequence_in:
            return False
        if not self.is_heard(now):
            self.state_since_ms = now
        self.sequence_in = message.sequence
        self.heard_ms = now
        self.leaving = bool(message.flags & LEAVING)
        self.reads_fail = bool(message.flags & READS_FAIL)
        self.minority = bool(message.flags & MINORITY)
        self.shards = message.shards
        self.unheard = frozenset(message.unheard)
        return True

    def start_incarnation(self, incarnation, now):
        """Reset the received state for another process of the peer.

        Parameters
        ----------
        incarnation : int
            Wall time in ms at which the process started.
        now : int
            Time in ms.
        """
        self.incarnation = incarnation
        self.state_since_ms = now
        self.heard_ms = None
        self.sequence_in = 0

    def mark_overdue(self, now):
        """Treat the peer's heartbeat as overdue after a pause of this process.

        Parameters
        ----------
        now : int
            Time in ms.
        """
        if self.heard_ms is not None:
            self.heard_ms = now - self.period_ms - OVERDUE_MARGIN_MS
        self.state_since_ms = max(self.state_since_ms, now - self.loss_timeout_ms)
        self.unacked_since_ms = None

    def apply_ack(self, ack):
        """Apply an acknowledgement of the peer.

        Parameters
        ----------
        ack : int
            Highest sequence number that the peer has received.
        """
        if not self.acked_sequence < ack <= self.sequence_out:
            return
        self.acked_sequence = ack
        self.unacked_since_ms = None

    def record_send(self, now):
        """Record that a heartbeat is sent to the peer; return its sequence number.

        Parameters
        ----------
        now : int
            Time in ms.
        """
        self.sequence_out += 1
        self.sent_ms = now
        if self.unacked_since_ms is None:
            self.unacked_since_ms = now
        return self.sequence_out

    def is_link_silent(self, now):
        """Return whether neither heartbeats nor acknowledgements arrive on the link.

        Parameters
        ----------
        now : int
            Time in ms.
        """
        if self.sent_ms is None:
            return False
        return self.is_silent(now) or self.unacked_ms(now) >= self.silence_timeout_ms

    def unacked_ms(self, now):
        """Return for how long in ms a heartbeat is unacknowledged; 0 if none is.

        Parameters
        ----------
        now : int
            Time in ms.
        """
        return 0 if self.unacked_since_ms is None else now - self.unacked_since_ms

    def is_answer_due(self, now):
        """Return whether to answer a heartbeat that was just received.

        Parameters
        ----------
        now : int
            Time in ms.
        """
        return self.sent_ms is None or now - self.sent_ms >= self.period_ms // 2

    def shows_loss(self, message, now):
        """Return whether a probe shows that this node's heartbeats do not arrive.

        Parameters
        ----------
        message : Heartbeat
            Heartbeat of the peer that requests a reply.
        now : int
            Time in ms.
        """
        return (
            message.ack < self.sequence_out
            and self.unacked_ms(now) >= PROBE_ACK_TIMEOUT_MS
        )

    def start_silence_report(self, now):
        """Record a report of the link, if it is silent and a report is due.

        Returns whether the link is to be reported now.

        Parameters
        ----------
        now : int
            Time in ms.
        """
        return self.is_link_silent(now) and self.start_report(now)

    def start_report(self, now):
        """Record a report of the silent link, if the last one is long enough ago.

        Returns whether the link is to be reported now.

        Parameters
        ----------
        now : int
            Time in ms.
        """
        repeat = SILENCE_REPORT_PERIOD_MS if self.live else LOST_PEER_REPORT_PERIOD_MS
        if (
            self.silence_reported_ms is not None
            and now - self.silence_reported_ms < repeat
        ):
            return False
        self.silence_reported_ms = now
        return True
