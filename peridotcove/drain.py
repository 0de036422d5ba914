"""Stages of a node's graceful shutdown (drain)."""

import enum

MIN_LEAVING_MS = 3_000
QUIET_MS = 1_000
# Largest share of the shutdown that the node spends in the stage LEAVING. Most of the
# time is for requests in progress.
LEAVING_SHARE = 0.4
# Share of the shutdown after which a request is accepted only if it is certain to end
# in time. By then, load balancers that poll each second have noticed.
LATE_SHARE = 1 / 4
HAND_OVER_TIMEOUT_MS = 2_000


class DrainStage(enum.Enum):
    """Stage of a node's shutdown."""

    SERVING = "serving"
    LEAVING = "leaving"
    CLOSING = "closing"
    HANDING_OVER = "handing-over"
    DONE = "done"


class DrainController:
    """Decides when a node that shuts down refuses requests, and when it may exit.

    In the stage LEAVING the node is not ready but still accepts requests, so that the
    load balancer has time to notice. In the stage CLOSING it refuses new requests. When
    all requests have ended, or shortly before the end of the shutdown, it hands over
    its tickets and ownership, and is DONE.

    Parameters
    ----------
    clock : Clock
        Time in ms.
    drain_ms : int
        Longest shutdown in ms; at its end requests in progress are aborted.

    Attributes
    ----------
    stage : DrainStage
        Current stage.
    aborted_count : int
        Requests that were in progress at the end of the shutdown, and were aborted.
    """

    def __init__(self, clock, drain_ms):
        self.clock = clock
        self.drain_ms = drain_ms
        self.stage = DrainStage.SERVING
        self.aborted_count = 0
        self._began_ms = None
        self._last_arrival_ms = clock.now()
        self._hand_over_began_ms = None

    @property
    def ready(self):
        """Whether the load balancer may send new requests to this node."""
        return self.stage is DrainStage.SERVING

    @property
    def accepting(self):
        """Whether the node accepts new requests."""
        return self.stage in (DrainStage.SERVING, DrainStage.LEAVING)

    def begin(self):
        """Begin the shutdown; a second call changes nothing."""
        if self.stage is DrainStage.SERVING:
            self.stage = DrainStage.LEAVING
            self._began_ms = self.clock.now()

    def admit_request(self):
        """Record the arrival of a request; return whether the node accepts it."""
        if self.accepting:
            self._last_arrival_ms = self.clock.now()
        return self.accepting

    def has_time_for(self, longest_ms):
        """Return whether a request can end before the shutdown, if it comes late in it.

        Parameters
        ----------
        longest_ms : int
            Longest time in ms that the request may take.
        """
        if self._began_ms is None:
            return True
        age_ms = self.clock.now() - self._began_ms
        is_late = age_ms >= LATE_SHARE * self.drain_ms
        return not is_late or longest_ms <= self.remaining_ms()

    def remaining_ms(self):
        """Return the time in ms until requests in progress are aborted."""
        if self._began_ms is None:
            return self.drain_ms
        return max(0, self._began_ms + self.drain_ms - self.clock.now())

    def tick(self, in_progress, handed_over):
        """Update the stage and return it; called a few times a second.

        Parameters
        ----------
        in_progress : int
            Number of requests of callers and other nodes that have not ended.
        handed_over : bool
            Whether tickets and ownership were handed over, or no node could take them
            over.
        """
        if self.stage is DrainStage.LEAVING and self._may_close():
            self.stage = DrainStage.CLOSING
        if self.stage is DrainStage.CLOSING and (
            not in_progress or self._is_nearly_over()
        ):
            self.stage = DrainStage.HANDING_OVER
            self._hand_over_began_ms = self.clock.now()
        elif self.stage is DrainStage.HANDING_OVER:
            self._finish_if_due(in_progress, handed_over)
        return self.stage

    def _may_close(self):
        now = self.clock.now()
        age = now - self._began_ms
        if age >= LEAVING_SHARE * self.drain_ms:
            return True
        return age >= MIN_LEAVING_MS and now - self._last_arrival_ms >= QUIET_MS

    def _is_nearly_over(self):
        return self.remaining_ms() <= min(
            HAND_OVER_TIMEOUT_MS, LEAVING_SHARE * self.drain_ms / 2
        )

    def _finish_if_due(self, in_progress, handed_over):
        waited = self.clock.now() - self._hand_over_began_ms >= HAND_OVER_TIMEOUT_MS
        if self.remaining_ms() and (in_progress or not (handed_over or waited)):
            return
        self.aborted_count = in_progress
        self.stage = DrainStage.DONE
