"""Clock of the program, in milliseconds, and a fake clock for tests."""

import time

MS_PER_S = 1000


class Clock:
    """Clock in whole milliseconds that continues while the instance is suspended."""

    def now(self):
        """Return monotonic time in ms, including time spent suspended."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    def wall(self):
        """Return wall time in ms since the Unix epoch."""
        return time.time_ns() // 1_000_000


class FakeClock(Clock):
    """Clock for tests whose time changes only by `advance`.

    Parameters
    ----------
    start_ms : int
        Initial monotonic time in ms.
    wall_ms : int
        Initial wall time in ms since the Unix epoch.
    """

    def __init__(self, start_ms=0, wall_ms=1_700_000_000_000):
        self._now = start_ms
        self._offset = wall_ms - start_ms

    def now(self):
        """Return the monotonic time in ms."""
        return self._now

    def wall(self):
        """Return the wall time in ms since the Unix epoch."""
        return self._now + self._offset

    def advance(self, ms):
        """Move the clock forward.

        Parameters
        ----------
        ms : int
            Milliseconds to add; not negative.
        """
        if ms < 0:
            raise ValueError("ms must not be negative")
        self._now += ms
