"""Tests of `peridotcove.continuation`."""

import base64
import unittest

from hypothesis import given
from hypothesis import strategies as st

from peridotcove.clock import FakeClock
from peridotcove.continuation import (
    MAX_TOKEN_CHARS,
    TOKEN_LIFETIME_MS,
    ContinuationCodec,
)

KEYS = st.integers(0, 2**64 - 1)


class TestContinuation(unittest.TestCase):
    """Invalid tokens are ignored."""

    def setUp(self):
        self.clock = FakeClock()
        self.codec = ContinuationCodec(b"a secret of the nodes", self.clock)

    @given(engine=st.text(max_size=200), key=KEYS, blocks=st.integers(0, 10**6))
    def test_round_trip_is_bounded(self, engine, key, blocks):
        engine = engine.encode("utf-8", "replace").decode()
        token = self.codec.encode(engine, key, blocks)
        self.assertLessEqual(len(token), MAX_TOKEN_CHARS)
        found = self.codec.decode(token, key)
        if token:
            self.assertEqual((found.engine, found.chat_key), (engine, key))
            self.assertIsNone(self.codec.decode(token, key ^ 1))
        else:
            self.assertGreater(len(engine.encode()), 128)

    @given(token=st.text() | st.binary(max_size=80).map(base64.urlsafe_b64encode))
    def test_arbitrary_text_is_rejected(self, token):
        text = token.decode() if isinstance(token, bytes) else token
        self.assertIsNone(self.codec.decode(text, 1))

    @given(index=st.integers(0, 10**4), bit=st.integers(0, 7))
    def test_changed_bit_is_detected(self, index, bit):
        data = bytearray(base64.urlsafe_b64decode(self.codec.encode("e", 7, 3)))
        data[index % len(data)] ^= 1 << bit
        self.assertIsNone(
            self.codec.decode(base64.urlsafe_b64encode(bytes(data)).decode(), 7)
        )

    def test_expired_tokens_and_those_of_other_fleets_are_rejected(self):
        token = self.codec.encode("e", 7, 3)
        other = ContinuationCodec(b"a secret of some others", self.clock)
        self.assertIsNone(other.decode(token, 7))
        self.clock.advance(TOKEN_LIFETIME_MS)
        self.assertIsNotNone(self.codec.decode(token, 7))
        self.clock.advance(1)
        self.assertIsNone(self.codec.decode(token, 7))
