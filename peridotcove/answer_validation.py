"""Tells whole answers of engines from cut, foreign and malformed ones."""

import json
import re

from peridotcove.exceptions import EndpointFailed
from peridotcove.verdict import Verdict

MAX_EVENT_BYTES = 1 << 20
EVENT_END = re.compile(rb"\r?\n\r?\n")
LINE_END = re.compile(rb"\r?\n")
DATA = b"data:"
DONE = b"[DONE]"
COMMENT = b":"


class AnswerStreamValidator:
    """A streamed answer, split into whole server-sent events.

    Only whole events are passed on, so that a stream that was cut can go on where it
    stopped, and only events with the id of the request.

    Parameters
    ----------
    answer_id : str
        Id that every event must carry.

    Attributes
    ----------
    events : int
        Data events passed on, without the end mark.
    whole : bool
        Whether the end mark was seen.
    fault : EndpointFailed or None
        Why nothing more is passed on.
    """

    def __init__(self, answer_id):
        self.event_count = 0
        self.is_complete = False
        self.fault = None
        self._id = answer_id.encode()
        self._rest = b""

    def feed(self, data):
        """Take bytes in and return the whole events to pass on.

        Parameters
        ----------
        data : bytes
            Next bytes of the body.
        """
        if self.is_complete or self.fault:
            return b""
        text = self._rest + data
        end = 0
        for match in EVENT_END.finditer(text):
            self._take(text[end : match.start()])
            if self.fault:
                return text[:end]
            end = match.end()
            if self.is_complete:
                break
        self._rest = text[end:]
        if len(self._rest) > MAX_EVENT_BYTES:
            self.fault = _fail("garbage", "an event is too large")
        return text[:end]

    def discard_partial(self):
        """Forget an unfinished event; the next bytes follow the last whole one."""
        self._rest = b""

    def _take(self, event):
        for line in LINE_END.split(event):
            if line.startswith(DATA):
                self._take_data(line[len(DATA) :].strip())
            elif line and not line.startswith((COMMENT, b"event:", b"id:", b"retry:")):
                self.fault = _fail("garbage", "the stream has lines that are no events")

    def _take_data(self, data):
        if data == DONE:
            self.is_complete = True
        elif self._id in data:
            self.event_count += 1
        else:
            self.fault = _fail("mixed-up", "the stream has an event of another request")


def validate_answer(body, answer_id):
    """Check an answer that came in one piece.

    Parameters
    ----------
    body : bytes
        The answer as JSON.
    answer_id : str
        Id that it must carry.

    Raises
    ------
    EndpointFailed
        If it is malformed or another request's.
    """
    try:
        value = json.loads(body)
        whole = isinstance(value["choices"], list)
        found = value["id"]
    except (ValueError, KeyError, TypeError, RecursionError):
        whole = False
    if not whole:
        raise _fail("garbage", "the engine sent something that is no answer")
    if found != answer_id:
        raise _fail("mixed-up", "the engine sent the answer of another request")


def _fail(code, text):
    return EndpointFailed(code, text, Verdict.MAY_HAVE_RUN)
