"""How recent grants were divided among classes of urgency and customers."""

from collections import Counter, deque

WINDOW_MS = 5_000
MAX_GRANTS = 1_024


class GrantHistory:
    """The grants of the last seconds, by priority and customer.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock):
        self._clock = clock
        self._grants = deque()
        self._count_by_priority = Counter()
        self._count_by_key = Counter()

    def record(self, request):
        """Record a grant.

        Parameters
        ----------
        request : LeaseRequest
            Request to which it was given.
        """
        priority, customer = request.priority, request.customer
        self._grants.append((self._clock.now(), priority, customer))
        self._count_by_priority[priority] += 1
        self._count_by_key[priority, customer] += 1
        if len(self._grants) > MAX_GRANTS:
            self._forget_first()

    def share_above(self, priority):
        """Return the share of grants that went to more urgent requests.

        Parameters
        ----------
        priority : int
            Priority class.
        """
        self._forget_old()
        if not self._grants:
            return 0.0
        above = sum(
            count for one, count in self._count_by_priority.items() if one < priority
        )
        return above / len(self._grants)

    def find_interval_ms(self, priority, customer):
        """Return the mean time in ms between two grants of a customer in a class.

        Returns 0 if there were none lately.

        Parameters
        ----------
        priority : int
            Priority class.
        customer : str
            Name of the customer.
        """
        self._forget_old()
        count = self._count_by_key.get((priority, customer), 0)
        if not count:
            return 0.0
        return (self._clock.now() - self._grants[0][0]) / count

    def _forget_old(self):
        limit_ms = self._clock.now() - WINDOW_MS
        while self._grants and self._grants[0][0] <= limit_ms:
            self._forget_first()

    def _forget_first(self):
        _, priority, customer = self._grants.popleft()
        self._count_by_priority[priority] -= 1
        key = priority, customer
        self._count_by_key[key] -= 1
        if not self._count_by_key[key]:
            del self._count_by_key[key]
