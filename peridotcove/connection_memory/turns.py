"""Lets work of many connections alternate with all other work of the event loop."""

import asyncio
import collections


class Turns:
    """One waiting coroutine goes on in each turn of the event loop."""

    def __init__(self):
        self._waiting = collections.deque()

    async def wait(self):
        """Wait for a turn."""
        loop = asyncio.get_running_loop()
        future = loop.create_future()
        if not self._waiting:
            loop.call_soon(self._wake_next)
        self._waiting.append(future)
        await future

    def _wake_next(self):
        future = self._waiting.popleft()
        if self._waiting:
            asyncio.get_running_loop().call_soon(self._wake_next)
        if not future.done():
            future.set_result(None)
