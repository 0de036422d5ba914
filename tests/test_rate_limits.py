"""Tests of rate limits of customers over all entry nodes."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from peridotcove.clock import FakeClock
from peridotcove.exceptions import RequestRefused
from peridotcove.models import Customer
from peridotcove.rate_limits import (
    REPORT_INTERVAL_MS,
    URGENT_REPORT_INTERVAL_MS,
    EntryRateLimiter,
    HomeRateLimiter,
    divide_max_min,
)

ENTRIES = 9
STEP_MS = 10


def offer(entry, customer):
    """Send a request to an entry and return whether it is admitted."""
    try:
        entry.admit(customer)
    except RequestRefused as error:
        assert error.status == 429 and error.retry_after_ms >= 0
        return False
    return True


def surge(rate, offered_per_second, seconds, home_lost=False):
    """Return the requests admitted in each second over all entries."""
    clock = FakeClock()
    customer = Customer("c", requests_per_second=rate)
    entries = [EntryRateLimiter(clock) for _ in range(ENTRIES)]
    home, admitted, sent = HomeRateLimiter(clock), [0] * seconds, 0
    for entry in entries:
        entry.entry_count = ENTRIES
    while clock.now() < seconds * 1000:
        while sent < offered_per_second * clock.now() / 1000:
            sent += 1
            admitted[clock.now() // 1000] += offer(entries[sent % ENTRIES], customer)
        clock.advance(STEP_MS)
        if clock.now() % URGENT_REPORT_INTERVAL_MS:
            continue
        urgent_only = clock.now() % REPORT_INTERVAL_MS != 0
        for name, entry in enumerate(entries):
            for reported in entry.collect_report(urgent_only).values():
                share = home.record_report(str(name), customer, reported)
                if share is not None and not home_lost:
                    entry.set_share("c", share)
    return admitted


class RateLimitTest(unittest.TestCase):
    """Limits hold over all entries, and no request below a limit is refused."""

    def test_tenfold_surge_is_limited_after_two_reports(self):
        admitted = surge(rate=90, offered_per_second=900, seconds=6)
        self.assertLessEqual(admitted[0], 5 * 90)
        for second in admitted[2:]:
            self.assertLessEqual(second, 1.1 * 90)
            self.assertGreaterEqual(second, 0.8 * 90)

    def test_below_the_rate_nothing_is_refused(self):
        admitted = surge(rate=90, offered_per_second=80, seconds=6)
        self.assertEqual(sum(admitted), 80 * 6)

    def test_each_entry_applies_the_full_rate_if_the_home_is_lost(self):
        admitted = surge(rate=20, offered_per_second=900, seconds=6, home_lost=True)
        for second in admitted[2:]:
            self.assertLessEqual(second, ENTRIES * 20 * 1.1)

    def test_idle_customers_are_removed(self):
        clock = FakeClock()
        entry, home = EntryRateLimiter(clock), HomeRateLimiter(clock)
        for number in range(100):
            customer = Customer(f"c{number}")
            entry.admit(customer)
            home.record_report("n", customer, 1)
        entry.collect_report()
        clock.advance(60_000)
        entry.collect_report()
        home.tick()
        self.assertEqual((entry.bucket_by_customer, home.demand_by_customer), ({}, {}))

    @given(
        st.floats(0.1, 1000),
        st.dictionaries(st.text(max_size=3), st.floats(0, 1000), min_size=1),
    )
    def test_division_is_max_min_fair(self, rate, demand_by_name):
        share_by_name = divide_max_min(rate, demand_by_name)
        self.assertLessEqual(sum(share_by_name.values()), rate * (1 + 1e-9))
        unmet = [n for n in share_by_name if share_by_name[n] < demand_by_name[n]]
        for name in unmet:
            self.assertGreaterEqual(
                share_by_name[name] * (1 + 1e-9), max(share_by_name.values())
            )
        if not unmet:
            self.assertEqual(share_by_name, demand_by_name)
