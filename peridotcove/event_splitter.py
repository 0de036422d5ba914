"""Cuts a stream of server-sent events into whole events, and knows the last id.

Only whole events are passed on, so that another engine can go on after the last one.
"""

MAX_EVENT_BYTES = 1 << 20
EVENT_END = b"\n\n"


class EventCutter:
    """Events of one answer, over all the engines that made it.

    Attributes
    ----------
    last_id : str
        Id of the last whole event, or empty.
    count : int
        Whole events so far.
    """

    def __init__(self):
        self.last_id = ""
        self.count = 0
        self._rest = b""

    def feed(self, data):
        """Take a read of the stream and return the whole events that it completes.

        Parameters
        ----------
        data : bytes
            Bytes of the stream.

        Returns
        -------
        bytes
            Whole events, as they came; may be empty.

        Raises
        ------
        ValueError
            If an event is larger than `MAX_EVENT_BYTES`.
        """
        rest = self._rest + data
        end = rest.rfind(EVENT_END)
        if end < 0:
            if len(rest) > MAX_EVENT_BYTES:
                raise ValueError(f"an event is larger than {MAX_EVENT_BYTES} bytes")
            self._rest = rest
            return b""
        end += len(EVENT_END)
        whole, self._rest = rest[:end], rest[end:]
        for event in whole.split(EVENT_END)[:-1]:
            self._note(event)
        return whole

    def _note(self, event):
        self.count += 1
        for line in event.split(b"\n"):
            if line.startswith(b"id:"):
                self.last_id = line[len(b"id:") :].strip().decode("latin-1")

    def restart(self):
        """Drop the part of an event that a broken stream left."""
        self._rest = b""

    def take_rest(self):
        """Return what follows the last whole event of an answer that has ended."""
        rest, self._rest = self._rest, b""
        return rest
