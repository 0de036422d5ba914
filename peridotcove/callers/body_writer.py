"""Writes the body of a streamed answer with as little work as a token needs."""

import asyncio

from tornado.iostream import StreamClosedError


class BodyWriter:
    """Sends a read to the caller's socket at once when nothing waits there.

    What the socket does not take goes through tornado's buffer for the connection.

    Parameters
    ----------
    stream : tornado.iostream.IOStream
        The caller's connection, after the head of the answer was written to it.
    chunked : bool
        Whether the body is sent in chunks, as HTTP/1.1 wants it.
    """

    def __init__(self, stream, chunked):
        self._stream = stream
        self._chunked = chunked
        self._taken = asyncio.get_running_loop().create_future()
        self._taken.set_result(None)
        stream.set_nodelay(True)

    def write(self, data):
        """Send a part of the body and return a future that ends when it is taken.

        Parameters
        ----------
        data : bytes
            Bytes of the body; not empty.
        """
        if self._chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        taken = self._send_now(data)
        if taken == len(data):
            return self._taken
        return self._send_later(data[taken:])

    def _send_now(self, data):
        if self._stream.closed() or self._stream.writing():
            return 0
        try:
            return self._stream.write_to_fd(memoryview(data))
        except OSError:
            return 0

    def _send_later(self, data):
        try:
            return self._stream.write(data)
        except StreamClosedError as error:
            failed = asyncio.get_running_loop().create_future()
            failed.set_exception(error)
            return failed
