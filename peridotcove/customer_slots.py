"""Divides the request slots of a shard among customers, and estimates waits.

A customer above its fair share can't use the last free slots, so that a surge of one
customer leaves slots for the rest. A customer that is the only active one may use all.
"""

from collections import deque

from attrs import define

RESERVED_SHARE = 0.2
RELEASE_WINDOW_MS = 5_000
MIN_RELEASES = 8
# Mean time between releases up to which no slots are held back.
MAX_INTERVAL_MS = 20
MAX_RELEASES = 256
# Waiting requests per slot above which new ones are refused.
MAX_WAITING_PER_SLOT = 4


@define
class _CustomerUsage:
    weight: float
    leases: int = 0
    waiting: int = 0


class CustomerSlots:
    """Slots in use and waiting requests by customer.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Attributes
    ----------
    capacity : float
        Slots of the engines that accept work.
    """

    def __init__(self, clock):
        self._clock = clock
        self._usage_by_customer = {}
        self._weight = 0.0
        self._leases = 0
        self._releases = deque(maxlen=MAX_RELEASES)
        self.capacity = 0.0

    def change_usage(self, customer, leases=0, waiting=0):
        """Change the number of leases and waiting requests of a customer.

        Parameters
        ----------
        customer : Customer
            The customer.
        leases, waiting : int
            Number added, or removed when negative.
        """
        usage = self._usage_by_customer.get(customer.name)
        if usage is None:
            usage = self._usage_by_customer[customer.name] = _CustomerUsage(
                customer.weight
            )
            self._weight += usage.weight
        usage.leases += leases
        usage.waiting += waiting
        self._leases += leases
        if leases < 0:
            self._releases.append(self._clock.now())
        if not usage.leases and not usage.waiting:
            del self._usage_by_customer[customer.name]
            self._weight -= usage.weight
        if not self._usage_by_customer:
            self._weight = 0.0

    def lease_count(self, name):
        """Return the number of leases that a customer holds.

        Parameters
        ----------
        name : str
            Name of the customer.
        """
        usage = self._usage_by_customer.get(name)
        return usage.leases if usage else 0

    def fair_share(self, customer):
        """Return a customer's fair share of the slots among the active customers.

        Parameters
        ----------
        customer : Customer
            The customer.
        """
        return self.capacity * self.fair_fraction(customer)

    def fair_fraction(self, customer):
        """Return a customer's weight as a fraction of that of the active customers.

        Parameters
        ----------
        customer : Customer
            The customer.
        """
        weight = self._weight
        if customer.name not in self._usage_by_customer:
            weight += customer.weight
        return customer.weight / weight

    def may_lease(self, customer, load):
        """Return whether a customer may use another slot.

        Parameters
        ----------
        customer : Customer
            The customer.
        load : int
            Requests in progress on the engines that accept work.
        """
        leases = self.lease_count(customer.name)
        if leases >= customer.concurrency:
            return False
        if self.capacity - load > RESERVED_SHARE * self.capacity:
            return True
        return leases < self.fair_share(customer) or self._frees_slots_soon()

    def _frees_slots_soon(self):
        """Return whether a customer below its share gets a slot soon without a reserve.

        It comes first in the queue then, so that it needs few releases.
        """
        interval_ms = self.find_interval_ms()
        return interval_ms is not None and interval_ms <= MAX_INTERVAL_MS

    def find_interval_ms(self):
        """Return the mean time in ms between two recent releases.

        Returns
        -------
        float or None
            None if there were too few for an estimate.
        """
        now = self._clock.now()
        releases = self._releases
        while releases and releases[0] <= now - RELEASE_WINDOW_MS:
            releases.popleft()
        if len(releases) < MIN_RELEASES:
            return None
        return max(1, now - releases[0]) / len(releases)

    def estimate_wait_ms(self, customer, turns):
        """Return the expected wait in ms of a request in the queue.

        Parameters
        ----------
        customer : Customer
            Customer of the request; the request is already counted as waiting.
        turns : float
            Requests that are dequeued until the request has been.

        Returns
        -------
        float or None
            None if there were too few recent releases for an estimate.
        """
        interval_ms = self.find_interval_ms()
        if interval_ms is None:
            return None
        usage = self._usage_by_customer[customer.name]
        if usage.leases >= customer.concurrency:
            # Only releases of the customer itself make room for it.
            own_share = usage.leases / max(1, self._leases)
            turns = max(turns, usage.waiting / own_share)
        return turns * interval_ms

    def is_queue_full(self):
        """Return whether more requests wait than the shard can serve soon."""
        waiting = sum(usage.waiting for usage in self._usage_by_customer.values())
        return waiting > MAX_WAITING_PER_SLOT * max(1.0, self.capacity)
