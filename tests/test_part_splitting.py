"""Tests that a configuration is split into parts and merged again."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from peridotcove.exceptions import InvalidSettings
from peridotcove.part_splitting import (
    MAX_PART_BYTES,
    format_compact_json,
    join_parts,
    split_into_parts,
)

names = st.text("abcdef", min_size=1, max_size=6)
members = st.dictionaries(names, st.fixed_dictionaries({"text": st.text(max_size=20)}))
PART_BYTES = 200


class PartSplittingTest(unittest.TestCase):
    """The parts make up the whole, are small and rarely change."""

    @given(members, members)
    def test_union_is_the_whole(self, customers, engines):
        raw = {"customers": customers, "engines": engines, "bounds": {"queue_ms": 1}}
        whole = join_parts(split_into_parts(raw, PART_BYTES), 4)
        kept = {kind: value for kind, value in raw.items() if value}
        self.assertEqual(whole, {**kept, "revision": 4})

    @given(members)
    def test_parts_stay_small(self, customers):
        for name, part in split_into_parts(
            {"customers": customers}, PART_BYTES
        ).items():
            single = len(part.get("customers", {})) <= 1
            fits = len(format_compact_json(part).encode()) <= PART_BYTES + len(
                '{"customers":{}}'
            )
            self.assertTrue(single or fits, name)

    @given(members, names)
    def test_a_change_changes_one_part(self, customers, name):
        customers[name] = {"text": "x"}
        before = split_into_parts({"customers": customers}, PART_BYTES)
        changed = {**customers, name: {"text": "y"}}
        after = split_into_parts({"customers": changed}, PART_BYTES)
        self.assertEqual(before.keys(), after.keys())
        self.assertEqual(sum(before[part] != after[part] for part in before), 1)

    def test_invalid_parts_are_refused(self):
        big = {"customers": {"c1": {"text": "x" * MAX_PART_BYTES}}}
        twice = {"a": {"engines": {"e1": {}}}, "b": {"engines": {"e1": {}}}}
        for call in (
            lambda: split_into_parts(big),
            lambda: join_parts(twice, 1),
            lambda: join_parts({"a": []}, 1),
            lambda: join_parts({"a": {"customer": {}}}, 1),
            lambda: join_parts({"a": {"bounds": {}}, "b": {"bounds": {}}}, 1),
        ):
            with self.assertRaises(InvalidSettings):
                call()
