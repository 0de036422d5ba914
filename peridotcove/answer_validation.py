"""Checks that an engine's answer is complete, well-formed and of the right request."""

import re

from peridotcove.exceptions import EndpointFailed
from peridotcove.json_values import decode_json
from peridotcove.verdict import Verdict

MAX_EVENT_BYTES = 1 << 20
EVENT_END = re.compile(rb"\r?\n\r?\n")
LINE_END = re.compile(rb"\r?\n")
DATA = b"data:"
DONE = b"[DONE]"
COMMENT = b":"


class AnswerStreamValidator:
    """Checks a streamed answer and splits it into complete server-sent events.

    Only complete events with the id of the request are passed on, so that an
    interrupted stream can be resumed after the last one.

    Parameters
    ----------
    answer_id : str
        Id that every event must contain.

    Attributes
    ----------
    event_count : int
        Data events passed on, without the end marker ``[DONE]``.
    is_complete : bool
        Whether the end marker was received.
    fault : EndpointFailed or None
        Error in the stream; after it nothing more is passed on.
    """

    def __init__(self, answer_id):
        self.event_count = 0
        self.is_complete = False
        self.fault = None
        self._id = answer_id.encode()
        self._partial = b""

    def feed(self, data):
        """Handle bytes of the stream and return the complete events to pass on.

        Parameters
        ----------
        data : bytes
            Next bytes of the stream.
        """
        if self.is_complete or self.fault:
            return b""
        text = self._partial + data
        end = 0
        for match in EVENT_END.finditer(text):
            self._check_event(text[end : match.start()])
            if self.fault:
                return text[:end]
            end = match.end()
            if self.is_complete:
                break
        self._partial = text[end:]
        if len(self._partial) > MAX_EVENT_BYTES:
            self.fault = _make_error("garbage", "an event is too large")
        return text[:end]

    def discard_partial(self):
        """Discard a partial event; the next bytes follow the last complete event."""
        self._partial = b""

    def _check_event(self, event):
        for line in LINE_END.split(event):
            if line.startswith(DATA):
                self._check_data(line[len(DATA) :].strip())
            elif line and not line.startswith((COMMENT, b"event:", b"id:", b"retry:")):
                self.fault = _make_error(
                    "garbage", "the stream has lines that are no events"
                )

    def _check_data(self, data):
        if data == DONE:
            self.is_complete = True
        elif self._id in data:
            self.event_count += 1
        else:
            self.fault = _make_error(
                "mixed-up", "the stream has an event of another request"
            )


def validate_answer(body, answer_id):
    """Check an answer that was not streamed.

    Parameters
    ----------
    body : bytes
        The answer as JSON.
    answer_id : str
        Id that the answer must contain.

    Raises
    ------
    EndpointFailed
        If the answer is malformed or belongs to another request.
    """
    try:
        value = decode_json(body)
        well_formed = isinstance(value["choices"], list)
        found = value["id"]
    except (ValueError, KeyError, TypeError):
        well_formed = False
    if not well_formed:
        raise _make_error("garbage", "the engine sent a malformed answer")
    if found != answer_id:
        raise _make_error("mixed-up", "the engine sent the answer of another request")


def _make_error(code, text):
    return EndpointFailed(code, text, Verdict.MAY_HAVE_RUN)
