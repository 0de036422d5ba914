"""Splits a stream of server-sent events into complete events.

Only complete events are passed on, so that another engine can resume the stream after
the last one.
"""

from peridotcove.answer_copies import HTTP_PREFIX, PartialHead, find_head_end

MAX_EVENT_BYTES = 1 << 20
EVENT_END = b"\n\n"


class EventSplitter:
    """Splits one answer into events, over all the engines that send parts of it.

    Attributes
    ----------
    last_id : str
        Id of the last complete event, or empty.
    count : int
        Complete events so far.
    head_lines : sequence of bytes
        Lines of the head of an answer that ends with its connection, after which a
        second copy may follow; empty for other answers.
    ended : bool
        Whether the head of a second copy came, which ends the events of the engine.
    lacks_event : bool
        Whether an answer ended inside an event and no whole event came since.
    """

    def __init__(self):
        self.last_id = ""
        self.count = 0
        self.head_lines = ()
        self.ended = False
        self.lacks_event = False
        self._partial = b""

    def feed(self, data):
        """Handle bytes of the stream and return the complete events.

        Parameters
        ----------
        data : bytes
            Next bytes of the stream.

        Returns
        -------
        bytes
            Complete events, unchanged; may be empty.

        Raises
        ------
        ValueError
            If an event is larger than `MAX_EVENT_BYTES`, or the number that is its id
            is not larger than the one before, or the head of another answer stands in
            place of an event.
        """
        if self.ended:
            return b""
        rest = self._partial + data
        if self.head_lines:
            rest = self._cut_at_copy(rest)
        end = rest.rfind(EVENT_END)
        if end < 0:
            if len(rest) > MAX_EVENT_BYTES:
                raise ValueError(f"an event is larger than {MAX_EVENT_BYTES} bytes")
            self._partial = rest
            return b""
        end += len(EVENT_END)
        complete_events, self._partial = rest[:end], rest[end:]
        for event in complete_events.split(EVENT_END)[:-1]:
            self._record_event(event)
        return complete_events

    def _cut_at_copy(self, rest):
        """Return the bytes before a second copy, or all while its head isn't whole."""
        start = 0
        if not rest.startswith(HTTP_PREFIX):
            start = rest.find(EVENT_END + HTTP_PREFIX)
            if start < 0:
                return rest
            start += len(EVENT_END)
        try:
            head_end = find_head_end(rest, self.head_lines, start)
        except PartialHead:
            return rest
        if head_end is None:
            raise ValueError("the head of another answer came in place of an event")
        self.ended = True
        return rest[:start]

    def _record_event(self, event):
        self.count += 1
        self.lacks_event = False
        for line in event.split(b"\n"):
            if line.startswith(b"id:"):
                self._record_id(line[len(b"id:") :].strip().decode("latin-1"))

    def _record_id(self, event_id):
        is_numbered = event_id.isdecimal() and self.last_id.isdecimal()
        if is_numbered and int(event_id) <= int(self.last_id):
            raise ValueError(f"event {event_id} came after event {self.last_id}")
        self.last_id = event_id

    @property
    def partial(self):
        """Bytes received after the last complete event."""
        return self._partial

    @property
    def partial_bytes(self):
        """Number of bytes received after the last complete event."""
        return len(self._partial)

    def truncate_partial(self, size):
        """Discard what was received beyond a number of bytes after the last event.

        Parameters
        ----------
        size : int
            Number of bytes to keep.
        """
        self._partial = self._partial[:size]

    def discard_partial(self):
        """Discard the partial event of an interrupted stream, to read another one."""
        if self._partial:
            self.lacks_event = True
        self._partial = b""
        self.ended = False

    def flush(self):
        """Return the bytes after the last complete event, once the answer has ended."""
        rest, self._partial = self._partial, b""
        if rest:
            self.lacks_event = True
        return rest
