"""Tests of `peridotcove.json_values`."""

import json
import unittest

from hypothesis import given, strategies

from peridotcove.json_values import MAX_DEPTH, decode_json
from tests.platform.odd_values import ODD_SEQUENCES

values = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(),
    lambda children: (
        strategies.lists(children, max_size=4)
        | strategies.dictionaries(strategies.text(), children, max_size=4)
    ),
)


def nest(depth, opening=b"[", closing=b"]"):
    """Return a JSON text with a number of nested containers."""
    return opening * depth + closing * depth


class DecodeJsonTest(unittest.TestCase):
    """Whatever the bytes are, they give a value or a `ValueError`."""

    @given(values)
    def test_values_are_read_back(self, value):
        self.assertEqual(decode_json(json.dumps(value).encode()), value)

    @given(strategies.binary() | strategies.text('[]{}:,"0eE-\\u').map(str.encode))
    def test_any_bytes_give_a_value_or_a_value_error(self, data):
        try:
            decode_json(data)
        except ValueError:
            return

    # The decoder raises RecursionError, which ended the task that read the store.
    def test_deep_values_are_value_errors(self):
        for data in (
            nest(MAX_DEPTH + 1),
            nest(500),
            nest(100_000),
            b"[" * 4_000,
            nest(100_000, b'{"a":', b"}")[:-1],
            b'{"slots": 1, "more": ' + nest(900) + b"}",
        ):
            with self.subTest(length=len(data)), self.assertRaises(ValueError):
                decode_json(data)

    def test_depth_limit(self):
        decode_json(nest(MAX_DEPTH))
        wide = json.dumps([[[]] * 10] * 100).encode()
        self.assertEqual(len(decode_json(wide)), 100)

    def test_constants_that_json_lacks_are_value_errors(self):
        for name in (b"NaN", b"Infinity", b"[-Infinity]"):
            with self.subTest(name=name), self.assertRaises(ValueError):
                decode_json(name)

    def test_lone_surrogates_are_kept(self):
        self.assertEqual(decode_json(b'"\\ud800"'), "\ud800")

    def test_bytes_that_are_no_utf8_are_value_errors_if_strict(self):
        for sequence in ODD_SEQUENCES:
            with self.subTest(sequence=sequence), self.assertRaises(ValueError):
                decode_json(b'"v' + sequence + b'"', "strict")
        self.assertEqual(decode_json(b'"\\ud800"', "strict"), "\ud800")
