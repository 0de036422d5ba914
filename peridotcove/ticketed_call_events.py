"""Writes what becomes of calls with tickets on the node's time line."""

from peridotcove.nodes.once_messages import RunTicketed, TicketedAnswer

REQUEST_ID = "x-request-id"
REQUEST_ID_CHARS = 16
MAX_MOVES = 4_096


class TicketedCallEvents:
    """Finds the request that a message belongs to and records the event.

    Parameters
    ----------
    timeline : Timeline
        The node's events.
    """

    def __init__(self, timeline):
        self._timeline = timeline
        self._request_by_call = {}

    def record_sent(self, peer, message):
        """Record a message that goes to another node.

        Parameters
        ----------
        peer : str
            Name of the node.
        message : object
            The message; only those that move calls and answers count.
        """
        if isinstance(message, RunTicketed):
            self._move("request-moved", peer, message)
        elif isinstance(message, TicketedAnswer):
            self._answer("move-answered", peer, message)

    def record_received(self, peer, message):
        """Record a message that came from another node.

        Parameters
        ----------
        peer : str
            Name of the node.
        message : object
            The message; only those that move calls and answers count.
        """
        if isinstance(message, RunTicketed):
            self._move("move-received", peer, message)
        elif isinstance(message, TicketedAnswer):
            self._answer("move-answer-received", peer, message)

    def record_start(self, call):
        """Record the one run of a call.

        Parameters
        ----------
        call : TicketedCall
            The call.
        """
        request_id = read_request_id(call.headers)
        self._timeline.record("ticket-used", request_id=request_id, peer=call.service)

    def _move(self, kind, peer, message):
        request_id = read_request_id(message.headers)
        if len(self._request_by_call) >= MAX_MOVES:
            self._request_by_call.pop(next(iter(self._request_by_call)))
        self._request_by_call[message.call_id] = request_id
        self._timeline.record(kind, request_id=request_id, peer=peer)

    def _answer(self, kind, peer, message):
        request_id = self._request_by_call.pop(message.call_id, b"")
        self._timeline.record(
            kind, request_id=request_id, peer=peer, detail=message.code
        )


def read_request_id(headers):
    """Return the id of a request from its header fields, or empty bytes.

    Parameters
    ----------
    headers : iterable of pair
        Names and values.
    """
    for name, value in headers:
        if name.lower() == REQUEST_ID and len(value) == REQUEST_ID_CHARS:
            try:
                return bytes.fromhex(value)
            except ValueError:
                return b""
    return b""
