"""Times of one answer of an engine, as its entry node measured them."""

from attrs import frozen

# Longer times are of no use for an estimate; bounds what a faulty node reports.
MAX_TIME_MS = 60_000


@frozen
class AnswerTimes:
    """Times of one answer; a value of 0 means that it was not measured.

    Attributes
    ----------
    first_ms : int
        Time in ms from sending the request to the first event, or to the end of an
        answer that isn't streamed.
    event_ms : int
        Mean time in ms between two events.
    slowness : int
        How long work took on the engine's machine at the head of the answer, in
        percent of the usual time.
    slowness_age_ms : int
        Time in ms from that head to the release of the lease.
    """

    first_ms: int = 0
    event_ms: int = 0
    slowness: int = 0
    slowness_age_ms: int = 0

    def is_valid(self):
        """Return whether the times can be those of an answer."""
        values = (self.first_ms, self.event_ms, self.slowness_age_ms)
        return self.slowness >= 0 and all(0 <= one <= MAX_TIME_MS for one in values)


NO_TIMES = AnswerTimes()


class AnswerTimer:
    """Measures the times of one answer at its entry node.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock):
        self._clock = clock
        self._sent_ms = self._first_ms = self._last_ms = None
        self._events = 0
        self._slowness = 0
        self._slowness_ms = 0

    def record_send(self):
        """Record that the request is sent now."""
        self._sent_ms = self._clock.now()

    def record_events(self, count):
        """Record that events have arrived.

        Parameters
        ----------
        count : int
            Number of complete events.
        """
        if not count:
            return
        self._last_ms = self._clock.now()
        if self._first_ms is None:
            self._first_ms = self._last_ms
            count = 0
        self._events += count

    def record_end(self):
        """Record the end of an answer that isn't streamed."""
        if self._first_ms is None:
            self._first_ms = self._last_ms = self._clock.now()

    def record_slowness(self, percent):
        """Record what the head of the answer says of the engine's machine.

        Parameters
        ----------
        percent : int
            Duration of work in percent of the usual one; 0 if the head names none.
        """
        self._slowness = percent
        self._slowness_ms = self._clock.now()

    def read(self):
        """Return the `AnswerTimes` so far."""
        slowness_age_ms = 0
        if self._slowness:
            slowness_age_ms = min(self._clock.now() - self._slowness_ms, MAX_TIME_MS)
        if self._sent_ms is None or self._first_ms is None:
            return AnswerTimes(0, 0, self._slowness, slowness_age_ms)
        # An answer within the first ms is not one without a measurement.
        first_ms = min(max(1, self._first_ms - self._sent_ms), MAX_TIME_MS)
        event_ms = 0
        if self._events:
            event_ms = round((self._last_ms - self._first_ms) / self._events)
        event_ms = min(event_ms, MAX_TIME_MS)
        return AnswerTimes(first_ms, event_ms, self._slowness, slowness_age_ms)
