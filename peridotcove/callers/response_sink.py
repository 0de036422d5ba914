"""Relays a streamed response to a caller with bounded memory and back-pressure."""

import asyncio


class ResponseSink:
    """Writes the body of an endpoint's response to a caller.

    One write is in progress at a time; data that arrives meanwhile is buffered. While
    the buffer is full, the transfer from the endpoint is paused.

    Parameters
    ----------
    open_response : callable
        Writes the head of the response and returns its `BodyWriter`; called once, when
        the first bytes of the body have arrived.
    limit_bytes : int
        Bytes in the buffer at which the transfer is paused.
    on_buffered : callable
        Called when data was buffered.

    Attributes
    ----------
    closed : bool
        Whether the caller has closed its connection.
    transfer : Transfer or None
        The transfer that supplies the data.
    """

    def __init__(self, open_response, limit_bytes, on_buffered=lambda: None):
        self._open_response = open_response
        self._writer = None
        self._limit_bytes = limit_bytes
        self._on_buffered = on_buffered
        self._buffer = bytearray()
        self._write_pending = False
        self._idle = asyncio.Event()
        self._idle.set()
        self.closed = False
        self.transfer = None

    @property
    def buffered_bytes(self):
        """Number of bytes in the buffer, without the write in progress."""
        return len(self._buffer)

    @property
    def started(self):
        """Whether the head of the response has been written."""
        return self._writer is not None

    def write(self, data):
        """Write or buffer data; return true if the transfer has to pause.

        Parameters
        ----------
        data : bytes
            Bytes of the body.
        """
        if self.closed:
            return True
        if self._write_pending:
            self._buffer += data
            self._on_buffered()
            return self.closed or len(self._buffer) >= self._limit_bytes
        self._start_write(data)
        return self.closed

    def _start_write(self, data):
        if self._writer is None:
            self._writer = self._open_response()
        future = self._writer.write(data)
        if future.done():
            self._check_write(future)
            return
        self._write_pending = True
        self._idle.clear()
        future.add_done_callback(self._handle_write_done)

    def _handle_write_done(self, future):
        self._write_pending = False
        self._check_write(future)
        if self._buffer and not self.closed:
            data = bytes(self._buffer)
            self._buffer.clear()
            self._start_write(data)
        if not self._write_pending:
            self._idle.set()
        if self.transfer is not None and not self.closed:
            self.transfer.resume()

    def _check_write(self, future):
        if future.cancelled() or future.exception() is not None:
            self.close()

    async def drain(self):
        """Wait until all data is written or the caller has closed its connection."""
        await self._idle.wait()

    def close(self):
        """Mark the caller as gone and cancel the transfer."""
        if self.closed:
            return
        self.closed = True
        self._idle.set()
        if self.transfer is not None:
            self.transfer.cancel()
