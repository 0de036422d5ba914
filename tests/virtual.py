"""Event loop with virtual time: if all tasks wait, time advances to the next timer."""

import asyncio
import selectors

from peridotcove.clock import Clock

WALL_START_MS = 1_700_000_000_000


class _Selector(selectors.SelectSelector):
    now_s = 0.0

    def select(self, timeout=None):
        ready = super().select(0)
        if ready or timeout == 0:
            return ready
        if timeout is None:
            raise RuntimeError("deadlock: all tasks wait and no timer is set")
        self.now_s += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop with virtual time, for code without sockets; it never sleeps."""

    def __init__(self):
        self._virtual_selector = _Selector()
        super().__init__(self._virtual_selector)

    def time(self):
        """Return the virtual time in s."""
        return self._virtual_selector.now_s

    def skip_time(self, seconds):
        """Advance the time without running timers, as if the process was paused."""
        self._virtual_selector.now_s += seconds


class VirtualClock(Clock):
    """Clock that returns the time of the running `VirtualLoop`."""

    def now(self):
        """Return the virtual time in ms."""
        return round(asyncio.get_running_loop().time() * 1000)

    def wall(self):
        """Return the virtual wall time in ms since the Unix epoch."""
        return WALL_START_MS + self.now()


def run(coroutine):
    """Run a coroutine in virtual time and return its result.

    Parameters
    ----------
    coroutine : coroutine
        The coroutine.
    """
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(coroutine)
    finally:
        loop.close()
