"""Tests that a name that stands twice in a file is found."""

import json
import unittest

from hypothesis import given
from hypothesis import strategies as st

from peridotcove.duplicate_keys import find_duplicate_keys

values = st.recursive(
    st.none() | st.integers() | st.text("a\"':,{}[]/*\\ "),
    lambda inner: st.lists(inner) | st.dictionaries(st.text('a"{}:,/\\'), inner),
)


class DuplicatesTest(unittest.TestCase):
    """Only equal names of one object are faults."""

    def test_finds_each(self):
        for text, places in (
            ('{"a": 1, "b": {"a": 2}}', []),
            ('{"a": 1, a: 2}', ["f.a"]),
            ("{'a': [0, {b: 1, /* b: */ 'b': 2}]} // a: 1", ["f.a.1.b"]),
            ('{"e": {"x": {}, "\\u0078": {}}}', ["f.e.x"]),
        ):
            with self.subTest(text=text):
                found = [fault.path for fault in find_duplicate_keys(text, "f")]
                self.assertEqual(found, places)

    @given(values)
    def test_a_decoded_value_has_none(self, value):
        for indent in (None, 1):
            text = json.dumps(value, indent=indent)
            self.assertEqual(list(find_duplicate_keys(text, "f")), [])
