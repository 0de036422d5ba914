"""Passes a streamed answer on to a caller with bounded memory."""

import asyncio


class ResponseSink:
    """Writes reads of an endpoint's body to a caller and says when to pause.

    One write is in progress at a time; what arrives meanwhile waits in one buffer.

    Parameters
    ----------
    open_answer : callable
        Writes the head of the answer and returns its `BodyWriter`; called once, with
        the first bytes of the body at hand.
    limit_bytes : int
        Most bytes that wait for the caller.

    Attributes
    ----------
    closed : bool
        Whether the caller went away.
    transfer : Transfer or None
        The transfer that feeds the sink.
    """

    def __init__(self, open_answer, limit_bytes):
        self._open_answer = open_answer
        self._connection = None
        self._limit = limit_bytes
        self._buffer = bytearray()
        self._writing = False
        self._idle = asyncio.Event()
        self._idle.set()
        self.closed = False
        self.transfer = None

    @property
    def held(self):
        """Bytes that wait for the caller, besides the write in progress."""
        return len(self._buffer)

    @property
    def started(self):
        """Whether the caller has got the head of the answer."""
        return self._connection is not None

    def write(self, data):
        """Pass on one read; return true when the endpoint is to pause.

        Parameters
        ----------
        data : bytes
            Bytes of the body.
        """
        if self.closed:
            return True
        if self._writing:
            self._buffer += data
            return len(self._buffer) >= self._limit
        self._start(data)
        return self.closed

    def _start(self, data):
        if self._connection is None:
            self._connection = self._open_answer()
        future = self._connection.write(data)
        if future.done():
            self._check(future)
            return
        self._writing = True
        self._idle.clear()
        future.add_done_callback(self._written)

    def _written(self, future):
        self._writing = False
        self._check(future)
        if self._buffer and not self.closed:
            data = bytes(self._buffer)
            self._buffer.clear()
            self._start(data)
        if not self._writing:
            self._idle.set()
        if self.transfer is not None and not self.closed:
            self.transfer.resume()

    def _check(self, future):
        if future.cancelled() or future.exception() is not None:
            self.close()

    async def drain(self):
        """Wait until the caller has taken everything, or is gone."""
        await self._idle.wait()

    def close(self):
        """Note that the caller is gone and end the transfer."""
        if self.closed:
            return
        self.closed = True
        self._idle.set()
        if self.transfer is not None:
            self.transfer.cancel()
