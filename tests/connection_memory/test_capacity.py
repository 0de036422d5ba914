"""Tests of `peridotcove.connection_memory.capacity`."""

import tracemalloc
import unittest

from hypothesis import given, strategies

from peridotcove.connection_memory.capacity import (
    BYTES_PER_MB,
    CONNECTION_BYTES,
    DECODED_BYTES_PER_BYTE,
    FILE_DESCRIPTORS,
    plan_capacity,
)
from peridotcove.json_values import decode_json
from peridotcove.settings import Machine

# The weakest machines in use, and the largest body and answer.
WEAKEST = Machine(memory_mb=152, descriptors=4_100)
LARGEST_BYTES = 16 << 20
PAGE_BYTES = 200_000
# Members of a list that take much memory for their size, and text that takes four bytes
# a character because of one.
DENSE_MEMBERS = (
    *(b"[],", b"{},", b'{"":0},', b'{"":{}},', b'{"":{"":0}},', b'{"":[]},', b"[[]],"),
    *(b'"ab",', b"0.5,", b"999,", b'"\\u0100",', '"\u0100",'.encode(), b"null,"),
)
WIDE_TEXT = '"\U0001f370",'.encode()


class CapacityTest(unittest.TestCase):
    """All kinds of connections together fit into the machine."""

    def test_the_largest_body_and_answer_fit_on_the_weakest_machine(self):
        capacity = plan_capacity(WEAKEST, 20_000)
        self.assertGreaterEqual(capacity.body_bytes, LARGEST_BYTES)
        self.assertGreaterEqual(capacity.answer_bytes, LARGEST_BYTES)

    def test_the_systems_limit_of_descriptors_counts(self):
        capacity = plan_capacity(Machine(descriptors=10_000), 1_024)
        self.assertEqual(capacity, plan_capacity(Machine(descriptors=1_024), 9_999))

    @given(strategies.integers(64, 1 << 20), strategies.integers(128, 1 << 16))
    def test_the_sum_fits(self, memory_mb, descriptors):
        capacity = plan_capacity(Machine(memory_mb, descriptors), descriptors)
        sockets = (
            2 * capacity.callers
            + capacity.operators
            + capacity.unknown_peers
            + 2 * capacity.relays
        )
        self.assertLess(sockets, descriptors)
        if descriptors > 2 * FILE_DESCRIPTORS:
            self.assertLess(sockets, descriptors - FILE_DESCRIPTORS)
        self.assertGreater(min(capacity.callers, capacity.operators), 0)
        # Each held byte may exist twice for a moment.
        taken_bytes = 2 * capacity.held_bytes + capacity.callers * CONNECTION_BYTES
        self.assertLess(taken_bytes, memory_mb * BYTES_PER_MB)
        page_bytes = capacity.page_bytes * DECODED_BYTES_PER_BYTE
        self.assertLessEqual(page_bytes, capacity.answer_bytes)
        self.assertGreater(capacity.page_bytes, 0)
        parts = capacity.answer_bytes + capacity.body_bytes
        self.assertLessEqual(parts, capacity.held_bytes)

    # A page of 15 MB took over 400 MB when it was decoded.
    def test_decoding_takes_no_more_than_its_share(self):
        for member in DENSE_MEMBERS:
            for first in (b"", WIDE_TEXT):
                count = PAGE_BYTES // len(member)
                data = b"[" + first + member * count + b"0]"
                with self.subTest(member=member, first=first):
                    tracemalloc.start()
                    value = decode_json(data)
                    _, peak = tracemalloc.get_traced_memory()
                    tracemalloc.stop()
                    self.assertGreater(len(value), count)
                    # The body exists twice beside its text and values.
                    taken_bytes = peak + 2 * len(data)
                    self.assertLess(taken_bytes, DECODED_BYTES_PER_BYTE * len(data))
