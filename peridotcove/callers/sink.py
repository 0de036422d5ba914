"""Passes a streamed answer on to a caller with bounded memory."""

import asyncio

from tornado.iostream import StreamClosedError


class Sink:
    """Writes reads of an endpoint's body to a caller and says when to pause.

    A read goes to the socket at once when nothing waits there; this is the path of
    nearly every token. What the socket does not take waits in the connection's buffer,
    one write at a time, and what arrives meanwhile waits in one buffer here.

    Parameters
    ----------
    open_answer : callable
        Writes the head of the answer and returns the caller's HTTP connection; called
        once, with the first bytes of the body at hand.
    limit_bytes : int
        Most bytes that wait for the caller.
    chunked : bool
        Whether the body is sent in chunks, as HTTP/1.1 wants it.

    Attributes
    ----------
    closed : bool
        Whether the caller went away.
    transfer : Transfer or None
        The transfer that feeds the sink.
    """

    def __init__(self, open_answer, limit_bytes, chunked=True):
        self._open_answer = open_answer
        self._stream = None
        self._limit = limit_bytes
        self._chunked = chunked
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
        return self._stream is not None

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
        if self._stream is None:
            self._stream = self._open_answer().stream
        self._start(data)
        return self.closed

    def _start(self, data):
        if self._chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        taken = self._send_now(data)
        if taken < len(data):
            self._send_later(data[taken:])

    def _send_now(self, data):
        if self._stream.writing() or self._stream.closed():
            return 0
        try:
            return self._stream.write_to_fd(memoryview(data))
        except OSError:
            return 0

    def _send_later(self, data):
        try:
            future = self._stream.write(data)
        except StreamClosedError:
            self.close()
            return
        self._writing = True
        self._idle.clear()
        future.add_done_callback(self._written)

    def _written(self, future):
        self._writing = False
        if future.cancelled() or future.exception() is not None:
            self.close()
            return
        if self._buffer and not self.closed:
            data = bytes(self._buffer)
            self._buffer.clear()
            self._start(data)
        if not self._writing:
            self._idle.set()
        if self.transfer is not None and not self.closed:
            self.transfer.resume()

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
