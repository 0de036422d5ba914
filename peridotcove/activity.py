"""How many requests a node has in progress, and whether it takes new ones."""

import asyncio


class Activity:
    """Counts requests in progress.

    Attributes
    ----------
    leaving : bool
        Whether the node is to be taken out of the balancer.
    closing : bool
        Whether new requests are refused.
    """

    def __init__(self):
        self.leaving = False
        self.closing = False
        self.count = 0
        self._idle = asyncio.Event()
        self._idle.set()

    def begin(self):
        """Count a request that arrived."""
        self.count += 1
        self._idle.clear()

    def end(self):
        """Count a request that ended."""
        self.count -= 1
        if self.count == 0:
            self._idle.set()

    async def wait_idle(self, timeout_ms):
        """Wait until nothing is in progress; return whether that was so in time.

        Parameters
        ----------
        timeout_ms : int
            Longest wait in ms.
        """
        try:
            await asyncio.wait_for(self._idle.wait(), timeout_ms / 1000)
        except TimeoutError:
            return False
        return True
