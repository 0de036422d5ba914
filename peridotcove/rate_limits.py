"""Rate limits of customers over all nodes, without shared state.

Each entry node keeps a token bucket for each customer that called recently. It reports
the customer's request rate to the customer's home, a node chosen by rendezvous hashing
over the region's live nodes: once a second, and immediately if the customer sends more
to this entry than an equal part of its rate. If the reported rates exceed the
customer's limit, the home divides the limit among the entries by their reports. A share
expires after some seconds, so that the loss of a home makes the limit less precise but
refuses no request.
"""

from attrs import define, field

from peridotcove.exceptions import RequestRefused

REPORT_INTERVAL_MS = 1_000
URGENT_REPORT_INTERVAL_MS = 100
# A report is not urgent up to this number of requests.
MIN_URGENT_REQUESTS = 2
SHARE_LIFETIME_MS = 3_000
IDLE_TIMEOUT_MS = 10_000
# Capacity of a bucket, in report intervals at an entry's equal part of the rate.
BURST_INTERVALS = 2.0


@define
class TokenBucket:
    """Token bucket of one customer at one entry.

    Attributes
    ----------
    tokens : float
        Requests that may be admitted now.
    refilled_ms : int
        Time of the last refill.
    reported_ms : int
        Time of the last report.
    offered : int
        Requests since the last report, including refused ones.
    share : float or None
        Requests per second that the home allows this entry; None if not limited.
    share_until_ms : int
        Expiry of the share.
    """

    tokens: float
    refilled_ms: int
    reported_ms: int
    offered: int = 0
    share: float | None = None
    share_until_ms: int = 0


class EntryRateLimiter:
    """Limits the request rates of customers at an entry node.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Attributes
    ----------
    entry_count : int
        Number of entry nodes, including this one.
    bucket_by_customer : dict of str to TokenBucket
        Buckets of customers that called recently.
    urgent_customers : set of str
        Customers that are to be reported immediately.
    """

    def __init__(self, clock):
        self._clock = clock
        self.entry_count = 1
        self.bucket_by_customer = {}
        self.urgent_customers = set()

    def admit(self, customer):
        """Count a request, and refuse it above the customer's rate.

        Parameters
        ----------
        customer : Customer
            The customer.

        Raises
        ------
        RequestRefused
            With status 429, if the customer's rate is exceeded.
        """
        now = self._clock.now()
        rate = customer.requests_per_second
        bucket = self.bucket_by_customer.get(customer.name)
        if bucket is None:
            bucket = TokenBucket(self._burst_size(rate), now, now)
            self.bucket_by_customer[customer.name] = bucket
        bucket.offered += 1
        if bucket.offered > max(MIN_URGENT_REQUESTS, self._count_equal_part(rate)):
            self.urgent_customers.add(customer.name)
        if bucket.share is not None and now < bucket.share_until_ms:
            rate = bucket.share
        gained = (now - bucket.refilled_ms) * rate / 1000
        bucket.tokens = min(self._burst_size(rate), bucket.tokens + gained)
        bucket.refilled_ms = now
        if bucket.tokens < 1:
            wait_ms = int((1 - bucket.tokens) / max(rate, 1e-6) * 1000)
            raise RequestRefused(
                "rate", "the customer's rate is exceeded", 429, min(wait_ms, 60_000)
            )
        bucket.tokens -= 1

    def collect_report(self, urgent_only=False):
        """Return the request rates since the last report; remove idle customers.

        Parameters
        ----------
        urgent_only : bool
            Whether to report only the customers in `urgent_customers`.

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
                interval_ms = max(URGENT_REPORT_INTERVAL_MS, now - bucket.reported_ms)
                rate_by_customer[name] = bucket.offered * 1000 / interval_ms
                bucket.offered = 0
            elif now - bucket.refilled_ms > IDLE_TIMEOUT_MS:
                del self.bucket_by_customer[name]
            bucket.reported_ms = now
        self.urgent_customers.clear()
        return rate_by_customer

    def _count_equal_part(self, rate):
        return rate * REPORT_INTERVAL_MS / 1000 / self.entry_count

    def _burst_size(self, rate):
        return max(1.0, BURST_INTERVALS * self._count_equal_part(rate))

    def set_share(self, customer, rate):
        """Set the share of a customer's rate that its home assigned to this entry.

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
            bucket.share_until_ms = self._clock.now() + SHARE_LIFETIME_MS


@define
class CustomerDemand:
    """Request rates that the entries reported for one customer."""

    rate_by_entry: dict = field(factory=dict)
    reported_ms_by_entry: dict = field(factory=dict)


class HomeRateLimiter:
    """Divides customers' rates among the entries, at the customers' home node.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Attributes
    ----------
    demand_by_customer : dict of str to CustomerDemand
        Reports of the last seconds, by customer.
    """

    def __init__(self, clock):
        self._clock = clock
        self.demand_by_customer = {}

    def record_report(self, entry, customer, rate):
        """Record a report and return the entry's share, or None below the limit.

        Parameters
        ----------
        entry : str
            Name of the entry node.
        customer : Customer
            The customer.
        rate : float
            Requests per second that the customer sends to the entry.
        """
        now = self._clock.now()
        demand = self.demand_by_customer.setdefault(customer.name, CustomerDemand())
        demand.rate_by_entry[entry] = rate
        demand.reported_ms_by_entry[entry] = now
        self._drop_stale_reports(demand, now)
        total = sum(demand.rate_by_entry.values())
        if total <= customer.requests_per_second:
            return None
        return divide_max_min(customer.requests_per_second, demand.rate_by_entry)[entry]

    def tick(self):
        """Remove customers that no entry reported recently."""
        now = self._clock.now()
        for name, demand in list(self.demand_by_customer.items()):
            self._drop_stale_reports(demand, now)
            if not demand.rate_by_entry:
                del self.demand_by_customer[name]

    def _drop_stale_reports(self, demand, now):
        for entry, at_ms in list(demand.reported_ms_by_entry.items()):
            if now - at_ms > SHARE_LIFETIME_MS:
                del demand.reported_ms_by_entry[entry]
                del demand.rate_by_entry[entry]


def divide_max_min(rate, demand_by_name):
    """Return the max-min fair division of a rate.

    Parameters
    ----------
    rate : float
        Rate to divide.
    demand_by_name : dict of str to float
        Demand by name.

    Returns
    -------
    dict of str to float
        Share by name: the demand, or an equal part of the rate that is left after all
        lower demands are met.
    """
    share_by_name = {}
    remaining_rate = rate
    waiting = sorted(demand_by_name, key=lambda name: (demand_by_name[name], name))
    for index, name in enumerate(waiting):
        equal_part = remaining_rate / (len(waiting) - index)
        share_by_name[name] = min(demand_by_name[name], equal_part)
        remaining_rate -= share_by_name[name]
    return share_by_name
