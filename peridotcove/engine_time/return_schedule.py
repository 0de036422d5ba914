"""When refused callers may come back, so that there is room for those who do.

Each refused caller gets a time of its own. Callers of one class of urgency are spread
by the rate at which room becomes free; less urgent ones come after all of them.
"""

# Share of the room that becomes free that is meant for callers who come back. The rest
# is for new ones.
RETURN_SHARE = 0.25
# Times are spread by up to this share of the distance between two callers.
JITTER = 0.5
# Latest time that is named; callers that wait longer would find another state anyway.
MAX_DELAY_MS = 10_000


class ReturnSchedule:
    """Times at which refused callers may come back.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock):
        self._clock = clock
        self._next_ms_by_priority = {}

    def add(self, priority, room_ms, interval_ms, fraction):
        """Return the time in ms after which one more refused caller may come back.

        Parameters
        ----------
        priority : int
            Priority class of its request; 0 is served first.
        room_ms : float
            Time in ms until room is expected.
        interval_ms : float
            Time in ms in which room for one request becomes free.
        fraction : float
            Random value, 0 to 1.
        """
        now = self._clock.now()
        urgent_ms = [
            at_ms for one, at_ms in self._next_ms_by_priority.items() if one <= priority
        ]
        at_ms = min(max([now + room_ms, *urgent_ms]), now + MAX_DELAY_MS)
        step_ms = interval_ms / RETURN_SHARE
        self._next_ms_by_priority[priority] = at_ms + step_ms
        return at_ms + step_ms * JITTER * fraction - now
