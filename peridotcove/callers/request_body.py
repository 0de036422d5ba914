"""Takes the head and body of a request within limits."""

from peridotcove.exceptions import RequestRefused

FIELD_EXTRA_BYTES = 4
DISCARD_FACTOR = 4


class Intake:
    """The body of one request as it arrives.

    A body somewhat over the limit is read to its end and dropped, so that the caller
    can read the answer; one far over the limit is refused at once.

    Parameters
    ----------
    limits : Limits
        What the node takes from strangers.

    Attributes
    ----------
    size : int
        Bytes that have arrived.
    """

    def __init__(self, limits):
        self._limits = limits
        self._parts = []
        self.size = 0

    def check_head(self, request):
        """Refuse a head that is too large, or that announces far too large a body.

        Parameters
        ----------
        request : HTTPServerRequest
            The request, before its body.

        Raises
        ------
        RequestRefused
            With status 431 or 413.
        """
        fields = request.headers.get_all()
        size = len(request.uri) + sum(
            len(name) + len(value) + FIELD_EXTRA_BYTES for name, value in fields
        )
        if size > self._limits.header_bytes:
            text = f"the head is larger than {self._limits.header_bytes} bytes"
            raise RequestRefused("large-head", text, 431)
        length = request.headers.get("Content-Length", "0")
        if length.isdigit() and int(length) > self._most_bytes():
            raise self._too_large()

    def add(self, data):
        """Take a part of the body.

        Parameters
        ----------
        data : bytes
            The part.

        Raises
        ------
        RequestRefused
            With status 413, if the body is far over the limit.
        """
        self.size += len(data)
        if self.size <= self._limits.body_bytes:
            self._parts.append(data)
            return
        self._parts.clear()
        if self.size > self._most_bytes():
            raise self._too_large()

    def take(self):
        """Return the whole body.

        Raises
        ------
        RequestRefused
            With status 413, if it is over the limit.
        """
        if self.size > self._limits.body_bytes:
            raise self._too_large()
        return b"".join(self._parts)

    def _most_bytes(self):
        return self._limits.body_bytes * DISCARD_FACTOR

    def _too_large(self):
        text = f"the body is larger than {self._limits.body_bytes} bytes"
        return RequestRefused("large-body", text, 413)
