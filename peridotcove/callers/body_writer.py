"""Writes the body of a streamed response with little CPU time per token."""

import asyncio

from tornado.iostream import StreamClosedError


class BodyWriter:
    """Writes body data straight to the caller's socket if no earlier data is queued.

    Data that the socket does not accept goes to tornado's write buffer of the
    connection.

    Parameters
    ----------
    stream : tornado.iostream.IOStream
        The caller's connection; the head of the response has been written to it.
    chunked : bool
        Whether the body is sent with chunked transfer encoding, as over HTTP/1.1.
    """

    def __init__(self, stream, chunked):
        self._stream = stream
        self._chunked = chunked
        self._completed = asyncio.get_running_loop().create_future()
        self._completed.set_result(None)
        stream.set_nodelay(True)

    def write(self, chunk):
        """Write a part of the body and return a future that ends when it is written.

        Parameters
        ----------
        chunk : bytes
            Bytes of the body; not empty.
        """
        if self._chunked:
            chunk = b"%x\r\n%b\r\n" % (len(chunk), chunk)
        sent_bytes = self._write_to_socket(chunk)
        if sent_bytes == len(chunk):
            return self._completed
        return self._write_to_buffer(chunk[sent_bytes:])

    def _write_to_socket(self, chunk):
        if self._stream.closed() or self._stream.writing():
            return 0
        try:
            return self._stream.write_to_fd(memoryview(chunk))
        except OSError:
            return 0

    def _write_to_buffer(self, chunk):
        try:
            return self._stream.write(chunk)
        except StreamClosedError as error:
            failed = asyncio.get_running_loop().create_future()
            failed.set_exception(error)
            return failed
