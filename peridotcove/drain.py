"""Stages of a node's graceful shutdown."""

import enum

MIN_LEAVING_MS = 3_000
QUIET_MS = 1_000
# Leaves the larger part of a shutdown to requests in progress.
LEAVING_SHARE = 0.4
HAND_OVER_TIMEOUT_MS = 2_000


class Stage(enum.Enum):
    """Stage of a node's life, as far as its callers are concerned."""

    SERVING = "serving"
    LEAVING = "leaving"
    CLOSING = "closing"
    HANDING_OVER = "handing-over"
    DONE = "done"


class Drain:
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
        self.stage = Stage.SERVING
        self.cut = 0
        self._began_ms = None
        self._last_arrival_ms = clock.now()
        self._hand_over_began_ms = None

    @property
    def ready(self):
        """Whether the balancer may send new callers here."""
        return self.stage is Stage.SERVING

    @property
    def accepting(self):
        """Whether new requests are taken."""
        return self.stage in (Stage.SERVING, Stage.LEAVING)

    def begin(self):
        """Begin to shut down; a second call changes nothing."""
        if self.stage is Stage.SERVING:
            self.stage = Stage.LEAVING
            self._began_ms = self.clock.now()

    def arrive(self):
        """Count a new request; return whether it is taken."""
        if self.accepting:
            self._last_arrival_ms = self.clock.now()
        return self.accepting

    def remaining_ms(self):
        """Return the time in ms until requests are cut."""
        if self._began_ms is None:
            return self.drain_ms
        return max(0, self._began_ms + self.drain_ms - self.clock.now())

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
        if self.stage is Stage.LEAVING and self._may_close():
            self.stage = Stage.CLOSING
        if self.stage is Stage.CLOSING and (not in_progress or self._is_nearly_over()):
            self.stage = Stage.HANDING_OVER
            self._hand_over_began_ms = self.clock.now()
        elif self.stage is Stage.HANDING_OVER:
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
        self.cut = in_progress
        self.stage = Stage.DONE
