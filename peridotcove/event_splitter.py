"""Splits a stream of server-sent events into complete events.

Only complete events are passed on, so that another engine can resume the stream after
the last one.
"""

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
    end_prefix : bytes
        What begins like this after a whole event is none, and ends the events of the
        engine; empty if nothing does.
    ended : bool
        Whether bytes with that prefix came.
    lacks_event : bool
        Whether an answer ended inside an event and no whole event came since.
    """

    def __init__(self):
        self.last_id = ""
        self.count = 0
        self.end_prefix = b""
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
            is not larger than the one before.
        """
        if self.ended:
            return b""
        rest = self._partial + data
        if self.end_prefix:
            rest = self._cut_at_end_prefix(rest)
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

    def _cut_at_end_prefix(self, rest):
        end = 0
        if not rest.startswith(self.end_prefix):
            end = rest.find(EVENT_END + self.end_prefix)
            if end < 0:
                return rest
            end += len(EVENT_END)
        self.ended = True
        return rest[:end]

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
    def partial_bytes(self):
        """Number of bytes received after the last complete event."""
        return len(self._partial)

    def discard_partial(self):
        """Discard the partial event of an interrupted stream, to read another one."""
        if self._partial:
            self.lacks_event = True
        self._partial = b""
        self.ended = False

    def flush(self):
        """Return the bytes after the last complete event, once the answer has ended."""
        rest, self._partial = self._partial, b""
        if rest and self.end_prefix.startswith(rest):
            self.ended = True
            return b""
        if rest:
            self.lacks_event = True
        return rest
