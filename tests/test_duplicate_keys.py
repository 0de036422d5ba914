"""Tests that duplicate keys in a file are found."""

import json
import unittest

from hypothesis import given
from hypothesis import strategies as st

from peridotcove.duplicate_keys import find_duplicate_keys

values = st.recursive(
    st.none() | st.integers() | st.text("a\"':,{}[]/*\\ "),
    lambda inner: st.lists(inner) | st.dictionaries(st.text('a"{}:,/\\'), inner),
)


class DuplicateKeysTest(unittest.TestCase):
    """Only equal keys of one object are duplicates."""

    def test_finds_each_duplicate(self):
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
    def test_an_encoded_value_has_no_duplicates(self, value):
        for indent in (None, 1):
            text = json.dumps(value, indent=indent)
            self.assertEqual(list(find_duplicate_keys(text, "f")), [])
