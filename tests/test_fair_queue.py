"""Tests of `peridotcove.fair_queue`."""

import unittest
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from peridotcove.fair_queue import TURNS_PER_LOWER_PRIORITY, FairQueue, QueuedRequest
from peridotcove.models import LeaseRequest

NAMES = ("a", "b", "c")
ITEMS = st.lists(st.tuples(st.sampled_from(NAMES), st.integers(0, 2)), max_size=40)


def push(queue, number, customer, priority=1, weight=1.0, expires_ms=1000):
    request_id = number.to_bytes(8, "big")
    request = LeaseRequest(request_id, "n", customer, "m", (), priority=priority)
    queue.push(QueuedRequest(request, number, expires_ms), weight)
    return request_id


def pop(queue, excluded=()):
    return queue.pop(lambda name: name not in excluded)


class TestFairQueue(unittest.TestCase):
    """Shares by weight, order and deadlines."""

    @given(weights=st.tuples(*[st.floats(0.1, 10)] * 3), turns=st.integers(1, 150))
    def test_customers_with_work_get_shares_by_weight(self, weights, turns):
        queue = FairQueue()
        for number in range(450):
            place = number % 3
            push(queue, number, NAMES[place], weight=weights[place])
        taken = Counter(pop(queue).request.customer for _ in range(turns))
        served = [taken[n] / w for n, w in zip(NAMES, weights, strict=True)]
        for mine, my_weight in zip(served, weights, strict=True):
            for other, weight in zip(served, weights, strict=True):
                self.assertLessEqual(mine - other, 1 / my_weight + 1 / weight + 1e-6)

    @given(items=ITEMS, excluded=st.sets(st.sampled_from(NAMES)))
    def test_each_request_is_dequeued_once_in_order_of_its_customer(
        self, items, excluded
    ):
        queue = FairQueue()
        ids = [push(queue, n, name, level) for n, (name, level) in enumerate(items)]
        seen = []
        while (item := pop(queue, excluded)) is not None:
            self.assertNotIn(item.request.customer, excluded)
            seen.append(item.request)
        left = [item.request for item in queue.items()]
        self.assertCountEqual([r.request_id for r in seen + left], ids)
        self.assertTrue(all(request.customer in excluded for request in left))
        for line in {(r.customer, r.priority) for r in seen}:
            mine = [r for r in seen if (r.customer, r.priority) == line]
            self.assertEqual(mine, sorted(mine, key=lambda r: r.request_id))

    def test_lower_priority_is_not_starved(self):
        queue = FairQueue()
        for number in range(100):
            push(queue, number, "a", priority=0)
            push(queue, 100 + number, "b", priority=5)
        levels = [
            pop(queue).request.priority for _ in range(TURNS_PER_LOWER_PRIORITY * 5)
        ]
        self.assertEqual(
            levels[: TURNS_PER_LOWER_PRIORITY - 1], [0] * (TURNS_PER_LOWER_PRIORITY - 1)
        )
        self.assertEqual(Counter(levels)[5], 5)

    @given(items=ITEMS, now=st.integers(0, 80))
    def test_only_expired_requests_are_removed(self, items, now):
        queue = FairQueue()
        for number, (name, level) in enumerate(items):
            push(queue, number, name, level, expires_ms=2 * number)
        expired = queue.expire(now)
        self.assertTrue(all(item.expires_ms <= now for item in expired))
        self.assertTrue(all(item.expires_ms > now for item in queue.items()))
        self.assertEqual(len(expired) + len(queue), len(items))

    def test_turns_until_a_request_are_counted(self):
        queue = FairQueue()
        for number, name in enumerate("aaaabbc"):
            push(queue, number, name, weight=2.0 if name == "b" else 1.0)
        push(queue, 7, "a", priority=0)
        self.assertEqual(queue.count_customer("a", 1), 4)
        self.assertEqual([queue.count_above(level) for level in (0, 1)], [0, 1])
        # Of others no more are dequeued than wait, nor than by their weight.
        counts = [queue.count_until("a", 1, place) for place in (1, 2, 4)]
        self.assertEqual(counts, [1 + 2 + 1, 2 + 2 + 1, 4 + 2 + 1])
        self.assertEqual(queue.count_until("b", 1, 1), 0.5 + 1 + 0.5)

    def test_requests_are_listed_by_customer_in_their_order(self):
        queue = FairQueue()
        ids = [push(queue, n, name) for n, name in enumerate("abab")]
        listed = {
            name: [item.request.request_id for item in items]
            for name, items in queue.list_by_customer()
        }
        self.assertEqual(listed, {"a": ids[::2], "b": ids[1::2]})
