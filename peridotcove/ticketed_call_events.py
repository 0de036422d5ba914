"""Records the events of ticketed calls on the node's timeline."""

from peridotcove.nodes.ticketed_call_messages import RunTicketed, TicketedAnswer

REQUEST_ID_HEADER = "x-request-id"
REQUEST_ID_CHARS = 16
MAX_MOVED_CALLS = 4_096


class TicketedCallEvents:
    """Records the messages and runs of ticketed calls, with the id of the request.

    Parameters
    ----------
    timeline : Timeline
        Records the node's events.
    """

    def __init__(self, timeline):
        self._timeline = timeline
        self._request_id_by_call_id = {}

    def record_sent(self, peer, message):
        """Record a message that is sent to another node.

        Parameters
        ----------
        peer : str
            Name of the node.
        message : object
            The message; only calls and answers are recorded.
        """
        if isinstance(message, RunTicketed):
            self._record_move("request-moved", peer, message)
        elif isinstance(message, TicketedAnswer):
            self._record_answer("move-answered", peer, message)

    def record_received(self, peer, message):
        """Record a message that was received from another node.

        Parameters
        ----------
        peer : str
            Name of the node.
        message : object
            The message; only calls and answers are recorded.
        """
        if isinstance(message, RunTicketed):
            self._record_move("move-received", peer, message)
        elif isinstance(message, TicketedAnswer):
            self._record_answer("move-answer-received", peer, message)

    def record_start(self, call):
        """Record that a call is run and its ticket used.

        Parameters
        ----------
        call : TicketedCall
            The call.
        """
        request_id = read_request_id(call.headers)
        self._timeline.record("ticket-used", request_id=request_id, peer=call.service)

    def _record_move(self, kind, peer, message):
        request_id = read_request_id(message.headers)
        if len(self._request_id_by_call_id) >= MAX_MOVED_CALLS:
            self._request_id_by_call_id.pop(next(iter(self._request_id_by_call_id)))
        self._request_id_by_call_id[message.call_id] = request_id
        self._timeline.record(kind, request_id=request_id, peer=peer)

    def _record_answer(self, kind, peer, message):
        request_id = self._request_id_by_call_id.pop(message.call_id, b"")
        self._timeline.record(
            kind, request_id=request_id, peer=peer, detail=message.code
        )


def read_request_id(headers):
    """Return the request id in the header fields of a call, or b"".

    Parameters
    ----------
    headers : iterable of tuple
        Names and values of header fields.
    """
    for name, value in headers:
        if name.lower() == REQUEST_ID_HEADER and len(value) == REQUEST_ID_CHARS:
            try:
                return bytes.fromhex(value)
            except ValueError:
                return b""
    return b""
