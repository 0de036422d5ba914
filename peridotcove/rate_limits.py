"""Rates of customers over all nodes, without shared state.

Each entry node holds a token bucket for each customer that called lately. Once a
second, and at once when a customer asks more of it than an equal part of its rate, it
reports what was asked to the customer's home, a node chosen by rendezvous over the
region's live nodes. A home that sees more than the customer's rate divides the rate
among the entries by what each reported; a share holds for some seconds and then lapses,
so that a lost home costs precision and no request.
"""

from attrs import define, field

from peridotcove.exceptions import RequestRefused

REPORT_INTERVAL_MS = 1_000
URGENT_REPORT_INTERVAL_MS = 100
LEAST_URGENT = 2
SHARE_MS = 3_000
IDLE_MS = 10_000
BURST_PARTS = 2.0


@define
class Bucket:
    """What one entry lets through for one customer."""

    tokens: float
    at_ms: int
    reported_ms: int
    offered: int = 0
    share: float | None = None
    share_until_ms: int = 0


class EntryRateLimiter:
    """Admits requests at an entry node.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Attributes
    ----------
    entries : int
        Nodes that callers reach, this one included.
    bucket_by_customer : dict
        Customers that called lately.
    urgent_customers : set of str
        Customers to be reported at once.
    """

    def __init__(self, clock):
        self._clock = clock
        self.entries = 1
        self.bucket_by_customer = {}
        self.urgent_customers = set()

    def admit(self, customer):
        """Count a request, and refuse it above the customer's rate.

        Parameters
        ----------
        customer : Customer
            Who pays.

        Raises
        ------
        RequestRefused
            With status 429; the request did not run.
        """
        now = self._clock.now()
        rate = customer.requests_per_second
        bucket = self.bucket_by_customer.get(customer.name)
        if bucket is None:
            bucket = Bucket(self._burst(rate), now, now)
            self.bucket_by_customer[customer.name] = bucket
        bucket.offered += 1
        if bucket.offered > max(LEAST_URGENT, self._part(rate)):
            self.urgent_customers.add(customer.name)
        if bucket.share is not None and now < bucket.share_until_ms:
            rate = bucket.share
        gained = (now - bucket.at_ms) * rate / 1000
        bucket.tokens = min(self._burst(rate), bucket.tokens + gained)
        bucket.at_ms = now
        if bucket.tokens < 1:
            wait_ms = int((1 - bucket.tokens) / max(rate, 1e-6) * 1000)
            raise RequestRefused(
                "rate", "this customer's rate is used up", 429, min(wait_ms, 60_000)
            )
        bucket.tokens -= 1

    def report(self, urgent_only=False):
        """Return what was asked since the last report; forget idle customers.

        Parameters
        ----------
        urgent_only : bool
            Whether to leave out customers that can wait for the next report.

        Returns
        -------
        dict of str to float
            Requests per second by customer name.
        """
        now = self._clock.now()
        names = self.urgent_customers if urgent_only else self.bucket_by_customer
        rate_by_customer = {}
        for name in list(names):
            bucket = self.bucket_by_customer.get(name)
            if bucket is None:
                continue
            if bucket.offered:
                spent = max(URGENT_REPORT_INTERVAL_MS, now - bucket.reported_ms)
                rate_by_customer[name] = bucket.offered * 1000 / spent
                bucket.offered = 0
            elif now - bucket.at_ms > IDLE_MS:
                del self.bucket_by_customer[name]
            bucket.reported_ms = now
        self.urgent_customers.clear()
        return rate_by_customer

    def _part(self, rate):
        return rate * REPORT_INTERVAL_MS / 1000 / self.entries

    def _burst(self, rate):
        return max(1.0, BURST_PARTS * self._part(rate))

    def set_share(self, customer, rate):
        """Take the share that the customer's home gives this entry.

        Parameters
        ----------
        customer : str
            Name of the customer.
        rate : float
            Requests per second.
        """
        bucket = self.bucket_by_customer.get(customer)
        if bucket is not None:
            bucket.share = rate
            bucket.share_until_ms = self._clock.now() + SHARE_MS


@define
class Demand:
    """What the entries reported for one customer."""

    rate_by_entry: dict = field(factory=dict)
    at_by_entry: dict = field(factory=dict)


class HomeRateLimiter:
    """Divides customers' rates at their home node.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock):
        self._clock = clock
        self.demand_by_customer = {}

    def record_report(self, entry, customer, rate):
        """Take a report and return the entry's share, or None below the limit.

        Parameters
        ----------
        entry : str
            Name of the entry node.
        customer : Customer
            Who pays.
        rate : float
            Requests per second that reach the entry.
        """
        now = self._clock.now()
        demand = self.demand_by_customer.setdefault(customer.name, Demand())
        demand.rate_by_entry[entry] = rate
        demand.at_by_entry[entry] = now
        self._forget(demand, now)
        total = sum(demand.rate_by_entry.values())
        if total <= customer.requests_per_second:
            return None
        return divide(customer.requests_per_second, demand.rate_by_entry)[entry]

    def tick(self):
        """Forget customers that no entry reports."""
        now = self._clock.now()
        for name, demand in list(self.demand_by_customer.items()):
            self._forget(demand, now)
            if not demand.rate_by_entry:
                del self.demand_by_customer[name]

    def _forget(self, demand, now):
        for entry, at_ms in list(demand.at_by_entry.items()):
            if now - at_ms > SHARE_MS:
                del demand.at_by_entry[entry]
                del demand.rate_by_entry[entry]


def divide(rate, demand_by_name):
    """Return the max-min fair division of a rate.

    Parameters
    ----------
    rate : float
        What there is to divide.
    demand_by_name : dict of str to float
        What each asks for.

    Returns
    -------
    dict of str to float
        What each gets: its demand, or an equal part of what the others leave.
    """
    share_by_name = {}
    left = rate
    waiting = sorted(demand_by_name, key=lambda name: (demand_by_name[name], name))
    for index, name in enumerate(waiting):
        part = left / (len(waiting) - index)
        share_by_name[name] = min(demand_by_name[name], part)
        left -= share_by_name[name]
    return share_by_name
