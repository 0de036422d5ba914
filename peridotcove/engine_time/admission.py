"""Decides which requests wait for an engine, and which are refused at once.

A request may wait as long as it can still be answered by its deadline. Where a customer
sends more requests of a class than can be served for a while, some are refused in any
case: then only those wait that can meet their objective, and the others are told when
to come back. A queue as long as the deadline would make all of them late.
"""

# Share of the time that a caller waits which its request may spend in the queue.
QUEUE_WAIT_SHARE = 0.5
# Time without refusals after which a class is no longer short of engines.
OVERLOAD_MS = 2_000
# Share of its objective that a request may wait at an engine, however long its prompt.
MIN_BACKLOG_SHARE = 0.5
# Classes and customers from which on those that were not refused lately are forgotten.
MAX_KEYS = 1_024
# Time in which a refused caller comes back.
RETURN_MS = 10_000


class Admission:
    """Limits of the time for which requests wait, by class of urgency and customer.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock):
        self._clock = clock
        # By priority and customer.
        self._overloaded_until_by_key = {}
        self._refused_until_by_prompt = {}

    def is_overloaded(self, request):
        """Return whether requests like one were refused lately.

        Parameters
        ----------
        request : LeaseRequest
            The request.
        """
        key = request.priority, request.customer
        return self._clock.now() < self._overloaded_until_by_key.get(key, 0)

    def find_limit_ms(self, request, wait_ms, own_ms):
        """Return the longest time in ms for which a request may wait.

        Parameters
        ----------
        request : LeaseRequest
            The request.
        wait_ms : float
            Longest wait in ms with which it can be answered by its deadline.
        own_ms : float
            Time in ms from its grant to its first event.
        """
        if not request.goal_ms or not self.is_overloaded(request):
            return wait_ms
        return min(wait_ms, max(0.0, request.goal_ms - own_ms))

    def find_backlog_limit_ms(self, request, left_ms, own_ms):
        """Return the largest backlog in ms of an engine that may get a request.

        Parameters
        ----------
        request : LeaseRequest
            The request.
        left_ms : float
            Time in ms until its deadline.
        own_ms : float
            Time in ms from its grant to its first event without a backlog.
        """
        limit_ms = left_ms - own_ms
        if not request.goal_ms or not self.is_overloaded(request):
            return limit_ms
        # A long prompt may take longer than the objective by itself.
        goal_ms = request.goal_ms
        return min(limit_ms, max(goal_ms - own_ms, goal_ms * MIN_BACKLOG_SHARE))

    def record_refusal(self, request):
        """Record that a request was refused since it would have waited too long.

        Parameters
        ----------
        request : LeaseRequest
            The request.

        Returns
        -------
        bool
            Whether it was refused before and has come back, as far as its prompt tells.
        """
        now = self._clock.now()
        known = self._overloaded_until_by_key
        known[request.priority, request.customer] = now + OVERLOAD_MS
        if len(known) > MAX_KEYS:
            self._overloaded_until_by_key = _keep_later(known, now)
        if not request.part_ends:
            return False
        refused = self._refused_until_by_prompt
        prompt = request.customer, request.prefixes[-1]
        is_again = refused.get(prompt, 0) > now
        refused[prompt] = now + RETURN_MS
        if len(refused) > MAX_KEYS:
            self._refused_until_by_prompt = _keep_later(refused, now)
        return is_again


def _keep_later(until_by_key, now):
    return {key: until_ms for key, until_ms in until_by_key.items() if until_ms > now}
