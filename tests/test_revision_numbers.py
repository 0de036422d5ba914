"""Tests of `peridotcove.revision_numbers`."""

import unittest

from hypothesis import given, strategies

from peridotcove.revision_numbers import (
    COUNT_LIMIT,
    EPOCH_LIMIT,
    get_count,
    get_epoch,
    make_revision_number,
)

versions = strategies.integers(0, 1 << 40)
epochs = strategies.integers(0, EPOCH_LIMIT - 1)
counts = strategies.integers(0, COUNT_LIMIT - 1)
parts = strategies.tuples(versions, epochs, counts)


class RevisionNumberTest(unittest.TestCase):
    """Numbers order like version, epoch and count; plain counts stay as they are."""

    @given(parts, parts)
    def test_numbers_order_by_version_then_epoch_then_count(self, one, other):
        numbers = make_revision_number(*one), make_revision_number(*other)
        self.assertEqual(numbers[0] < numbers[1], one < other)

    @given(versions, epochs, counts)
    def test_parts_are_read_back(self, version, epoch, count):
        revision = make_revision_number(version, epoch, count)
        self.assertEqual((get_epoch(revision), get_count(revision)), (epoch, count))

    # A store that writes 400 times a second passes 10**10 within a year, and then no
    # node got a configuration.
    def test_counts_up_to_the_largest_exact_json_number_have_room(self):
        for count in (0, 1, 10**10 - 1, 10**10, 2**53 - 1):
            for version, epoch in ((0, 0), (2**53 - 1, EPOCH_LIMIT - 1)):
                with self.subTest(count=count, version=version):
                    revision = make_revision_number(version, epoch, count)
                    self.assertEqual(get_count(revision), count)
                    self.assertEqual(get_epoch(revision), epoch)
                    following = make_revision_number(version, epoch, count + 1)
                    self.assertGreater(following, revision)

    def test_a_plain_count_has_no_epoch(self):
        self.assertEqual(make_revision_number(0, 0, 17), 17)
        self.assertEqual((get_epoch(17), get_count(17)), (0, 17))

    def test_parts_out_of_range_are_errors(self):
        for version, epoch, count in (
            (-1, 0, 0),
            (0, -1, 0),
            (0, EPOCH_LIMIT, 0),
            (0, 0, -1),
            (0, 0, COUNT_LIMIT),
        ):
            with self.subTest(epoch=epoch, count=count), self.assertRaises(ValueError):
                make_revision_number(version, epoch, count)
