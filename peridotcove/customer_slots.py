"""Shares the places of a shard among customers, and foresees waits.

A customer above its fair share can't take the last free places, so that a surge leaves
room for the others; alone it may use all.
"""

from collections import deque

from attrs import define

RESERVE_SHARE = 0.2
WINDOW_MS = 5_000
LEAST_RELEASES = 8
MAX_RELEASES = 256
QUEUE_SHARE = 4


@define
class _Use:
    weight: float
    leases: int = 0
    waiting: int = 0


class CustomerSlots:
    """Places in use by customer.

    Parameters
    ----------
    clock : Clock
        The clock.

    Attributes
    ----------
    capacity : float
        Places of the open engines.
    """

    def __init__(self, clock):
        self._clock = clock
        self._use_by_customer = {}
        self._weight = 0.0
        self._leases = 0
        self._releases = deque(maxlen=MAX_RELEASES)
        self.capacity = 0.0

    def change(self, customer, leases=0, waiting=0):
        """Count leases and waiting requests of a customer up or down.

        Parameters
        ----------
        customer : Customer
            The customer.
        leases, waiting : int
            How many more, or fewer when negative.
        """
        use = self._use_by_customer.get(customer.name)
        if use is None:
            use = self._use_by_customer[customer.name] = _Use(customer.weight)
            self._weight += use.weight
        use.leases += leases
        use.waiting += waiting
        self._leases += leases
        if leases < 0:
            self._releases.append(self._clock.now())
        if not use.leases and not use.waiting:
            del self._use_by_customer[customer.name]
            self._weight -= use.weight
        if not self._use_by_customer:
            self._weight = 0.0

    def leases(self, name):
        """Return the leases that a customer has out.

        Parameters
        ----------
        name : str
            Name of the customer.
        """
        use = self._use_by_customer.get(name)
        return use.leases if use else 0

    def fair_share(self, customer):
        """Return the places that are a customer's own among those active now.

        Parameters
        ----------
        customer : Customer
            The customer.
        """
        weight = self._weight
        if customer.name not in self._use_by_customer:
            weight += customer.weight
        return self.capacity * customer.weight / weight

    def may_take(self, customer, load):
        """Return whether a customer may take another place.

        Parameters
        ----------
        customer : Customer
            The customer.
        load : int
            Requests in progress at the open engines.
        """
        leases = self.leases(customer.name)
        if leases >= customer.concurrency:
            return False
        if self.capacity - load > RESERVE_SHARE * self.capacity:
            return True
        return leases < self.fair_share(customer)

    def foresee(self, customer):
        """Return how long in ms a request that joins the queue now will wait.

        Parameters
        ----------
        customer : Customer
            Customer of the request, which is counted as waiting.

        Returns
        -------
        float or None
            None if too little is known.
        """
        now = self._clock.now()
        recent = [at_ms for at_ms in self._releases if at_ms > now - WINDOW_MS]
        if len(recent) < LEAST_RELEASES:
            return None
        span_ms = max(1, now - recent[0])
        use = self._use_by_customer[customer.name]
        share = customer.weight / self._weight
        if use.leases >= customer.concurrency:
            share = use.leases / max(1, self._leases)
        return use.waiting * span_ms / (len(recent) * share)

    def overfull(self):
        """Return whether more wait than the shard can soon take."""
        waiting = sum(use.waiting for use in self._use_by_customer.values())
        return waiting > QUEUE_SHARE * max(1.0, self.capacity)
