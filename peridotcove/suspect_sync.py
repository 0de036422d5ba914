"""Records which prompt parts crashes accuse, and shares it between nodes."""

from peridotcove.crash_suspects import CrashSuspects
from peridotcove.exceptions import LinkDown, ProtocolError
from peridotcove.logs import get_logger
from peridotcove.nodes.messages import ShareSuspects

log = get_logger("leases")


class SuspectSync:
    """Keeps the suspected parts of one node in step with those of the others.

    Parameters
    ----------
    node : str
        Name of this node.
    fleet : FleetView
        This node's view of the fleet.
    network : Network
        Links to the other nodes.
    clock : Clock
        Source of time.
    timeline : Timeline
        Event log of this node.

    Attributes
    ----------
    suspects : CrashSuspects
        Parts of prompts that are suspected to crash engines.
    """

    def __init__(self, node, fleet, network, clock, timeline):
        self._node = node
        self._fleet = fleet
        self._network = network
        self._clock = clock
        self._timeline = timeline
        self._changed_parts = set()
        self.suspects = CrashSuspects(clock)

    def record_outcome(self, lease_id, outcome):
        """Record how a request ended; return whether that shows a crash.

        Parameters
        ----------
        lease_id : bytes
            Id of its lease.
        outcome : str
            Outcome of the lease; see `peridotcove.nodes.messages.ReleaseLease`.
        """
        crashes, cleared = self.suspects.record_outcome(lease_id, outcome)
        self._changed_parts.update(cleared)
        for part in cleared:
            self._timeline.record("part-cleared", detail=format_part(part))
        return self._record_crashes(crashes)

    def tick(self):
        """Share what has changed; return whether a crash was found.

        Call it several times a second.
        """
        found = self._record_crashes(self.suspects.tick())
        if self._changed_parts:
            records = self.suspects.records(sorted(self._changed_parts))
            self._changed_parts.clear()
            for instance in self._fleet.nodes:
                self._send_records(instance.name, records)
        return found

    def send_suspects(self, node):
        """Send a node all parts that this node suspects.

        Parameters
        ----------
        node : str
            Name of the node.
        """
        records = self.suspects.records()
        if records:
            self._send_records(node, records)

    def receive(self, peer, message):
        """Merge the suspected parts of another node.

        Parameters
        ----------
        peer : str
            Name of the node.
        message : ShareSuspects
            Its parts.
        """
        try:
            self.suspects.merge_records(message.records)
        except ProtocolError as error:
            log.warning("suspected parts from %s are ignored: %s", peer, error)

    def _send_records(self, node, records):
        if node == self._node:
            return
        try:
            self._network.send(node, ShareSuspects(records))
        except LinkDown as error:
            log.info("suspected parts were not sent to %s: %s", node, error)

    def _record_crashes(self, crashes):
        for crash in crashes:
            crashes_by_part = {
                format_part(part): count
                for part, count in crash.crashes_by_part.items()
            }
            inputs = {
                "cut_requests": crash.cut_requests,
                "crashes_by_part": crashes_by_part,
            }
            self._timeline.record("engine-crashed", inputs, peer=crash.engine)
            self._changed_parts.update(crash.crashes_by_part)
            for part in crash.quarantined:
                self._record_quarantine(part)
        return bool(crashes)

    def _record_quarantine(self, part):
        suspect = self.suspects.suspect_by_part[part]
        inputs = {
            "crashes": suspect.crashes,
            "left_ms": suspect.blocked_until_ms - self._clock.now(),
            "rivals": [format_part(rival) for rival in sorted(suspect.rivals)],
        }
        self._timeline.record("part-quarantined", inputs, detail=format_part(part))


def format_part(part):
    """Return the hash of a part as it is logged.

    Parameters
    ----------
    part : int
        Hash of the part.
    """
    return f"{part:016x}"
