"""Buffers the body of a request and enforces limits on its head and body."""

import io

from peridotcove.exceptions import RequestRefused

FIELD_OVERHEAD_BYTES = 4  # ": " and CRLF of a header field
HARD_LIMIT_FACTOR = 4


class RequestBodyBuffer:
    """Buffers the body of one request within limits.

    A body over the limit, up to `HARD_LIMIT_FACTOR` times of it, is read to its end and
    discarded, so that the caller can read the response; a larger one is refused at
    once.

    Parameters
    ----------
    limits : Limits
        Limits of requests from callers.

    Attributes
    ----------
    size : int
        Bytes of the body that have arrived.
    """

    def __init__(self, limits):
        self._limits = limits
        # Unlike a list of parts, it takes little more memory than the body if this
        # comes in many small parts.
        self._body = io.BytesIO()
        self.size = 0

    def check_head(self, request):
        """Refuse a head that is too large or that announces a body over the hard limit.

        Parameters
        ----------
        request : HTTPServerRequest
            The request; its body has not arrived.

        Raises
        ------
        RequestRefused
            With status 431 for the head, or 413 for the body.
        """
        fields = request.headers.get_all()
        size = len(request.uri) + sum(
            len(name) + len(value) + FIELD_OVERHEAD_BYTES for name, value in fields
        )
        if size > self._limits.header_bytes:
            text = f"the head is larger than {self._limits.header_bytes} bytes"
            raise RequestRefused("large-head", text, 431)
        length = request.headers.get("Content-Length", "0")
        if length.isdigit() and int(length) > self._hard_limit_bytes():
            raise self._make_size_error()

    def append_chunk(self, chunk):
        """Buffer a part of the body, or discard the body once it is over the limit.

        Parameters
        ----------
        chunk : bytes
            The part.

        Raises
        ------
        RequestRefused
            With status 413, if the body is over the hard limit.
        """
        self.size += len(chunk)
        if self.size <= self._limits.body_bytes:
            self._body.write(chunk)
            return
        self._body = io.BytesIO()
        if self.size > self._hard_limit_bytes():
            raise self._make_size_error()

    def get_body(self):
        """Return the whole body.

        Raises
        ------
        RequestRefused
            With status 413, if the body is over the limit.
        """
        if self.size > self._limits.body_bytes:
            raise self._make_size_error()
        return self._body.getvalue()

    @property
    def held_bytes(self):
        """Bytes of the body that are held."""
        return self._body.tell()

    def _hard_limit_bytes(self):
        return self._limits.body_bytes * HARD_LIMIT_FACTOR

    def _make_size_error(self):
        text = f"the body is larger than {self._limits.body_bytes} bytes"
        return RequestRefused("large-body", text, 413)
