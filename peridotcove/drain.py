"""Stages of a node's graceful shutdown."""

import enum

MIN_LEAVE_MS = 3_000
QUIET_MS = 1_000
# Leaves the larger part of a shutdown to requests in progress.
LEAVE_SHARE = 0.4
HAND_OVER_MS = 2_000


class DrainStage(enum.Enum):
    """Stage of a node's life, as far as its callers are concerned."""

    SERVING = "serving"
    LEAVING = "leaving"
    CLOSING = "closing"
    HANDING_OVER = "handing-over"
    DONE = "done"


class DrainController:
    """Decides when a node that shuts down refuses requests, and when it may end.

    While leaving, the node is not ready but takes every request, so that the balancer
    has time to see it. While closing it refuses new ones. When all have ended it hands
    over what it decides about, and then it is done.

    Parameters
    ----------
    clock : Clock
        Time in ms.
    drain_ms : int
        Longest shutdown in ms; at its end requests in progress are cut.

    Attributes
    ----------
    stage : Stage
        The stage.
    cut : int
        Requests in progress when the time was over.
    """

    def __init__(self, clock, drain_ms):
        self.clock = clock
        self.drain_ms = drain_ms
        self.stage = DrainStage.SERVING
        self.aborted_count = 0
        self._began = None
        self._arrived = clock.now()
        self._handing_since = None

    @property
    def ready(self):
        """Whether the balancer may send new callers here."""
        return self.stage is DrainStage.SERVING

    @property
    def accepting(self):
        """Whether new requests are taken."""
        return self.stage in (DrainStage.SERVING, DrainStage.LEAVING)

    def begin(self):
        """Begin to shut down; a second call changes nothing."""
        if self.stage is DrainStage.SERVING:
            self.stage = DrainStage.LEAVING
            self._began = self.clock.now()

    def admit_request(self):
        """Count a new request; return whether it is taken."""
        if self.accepting:
            self._arrived = self.clock.now()
        return self.accepting

    def left_ms(self):
        """Return the time in ms until requests are cut."""
        if self._began is None:
            return self.drain_ms
        return max(0, self._began + self.drain_ms - self.clock.now())

    def tick(self, in_progress, handed_over):
        """Return the stage after the passing of time; call it a few times a second.

        Parameters
        ----------
        in_progress : int
            Requests of callers and of other nodes that have not ended.
        handed_over : bool
            Whether tickets and ownership have been handed over, or there was nobody
            to take them.
        """
        if self.stage is DrainStage.LEAVING and self._may_close():
            self.stage = DrainStage.CLOSING
        if self.stage is DrainStage.CLOSING and (
            not in_progress or self._nearly_over()
        ):
            self.stage = DrainStage.HANDING_OVER
            self._handing_since = self.clock.now()
        elif self.stage is DrainStage.HANDING_OVER:
            self._end(in_progress, handed_over)
        return self.stage

    def _may_close(self):
        now = self.clock.now()
        age = now - self._began
        if age >= LEAVE_SHARE * self.drain_ms:
            return True
        return age >= MIN_LEAVE_MS and now - self._arrived >= QUIET_MS

    def _nearly_over(self):
        return self.left_ms() <= min(HAND_OVER_MS, LEAVE_SHARE * self.drain_ms / 2)

    def _end(self, in_progress, handed_over):
        waited = self.clock.now() - self._handing_since >= HAND_OVER_MS
        if self.left_ms() and (in_progress or not (handed_over or waited)):
            return
        self.aborted_count = in_progress
        self.stage = DrainStage.DONE
