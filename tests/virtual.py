"""An event loop whose time is virtual: it jumps to the next timer when all wait."""

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
            raise RuntimeError("every task waits for something that never comes")
        self.now_s += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop for code without sockets; it never sleeps."""

    def __init__(self):
        self._virtual = _Selector()
        super().__init__(self._virtual)

    def time(self):
        """Return the virtual time in s."""
        return self._virtual.now_s


class VirtualClock(Clock):
    """The clock of the running virtual loop."""

    def now(self):
        """Return the virtual time in ms."""
        return round(asyncio.get_running_loop().time() * 1000)

    def wall(self):
        """Return a wall time that goes with the virtual time, in ms."""
        return WALL_START_MS + self.now()


def run(coroutine):
    """Run a coroutine in virtual time and return its result.

    Parameters
    ----------
    coroutine : coroutine
        What to run.
    """
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(coroutine)
    finally:
        loop.close()
