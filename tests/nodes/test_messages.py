"""Tests of `peridotcove.nodes.messages`."""

import unittest

import cbor2

from peridotcove.nodes.messages import (
    HEADER_FIELD_COUNT,
    AskLease,
    ReleaseLease,
    decode,
    encode,
)


class TrailingFieldsTest(unittest.TestCase):
    """Nodes of two versions of the program, and fields that only one of them knows."""

    def test_fields_with_their_default_at_the_end_are_omitted(self):
        frame = encode(ReleaseLease(b"12345678", "done"), 1)
        self.assertEqual(len(cbor2.loads(frame)), HEADER_FIELD_COUNT + 2)
        self.assertEqual(decode(frame), (ReleaseLease(b"12345678", "done"), 1))

    def test_a_default_before_another_value_is_kept(self):
        message = ReleaseLease(b"12345678", "done", event_ms=20)
        frame = encode(message, 1)
        self.assertEqual(len(cbor2.loads(frame)), HEADER_FIELD_COUNT + 5)
        self.assertEqual(decode(frame)[0], message)

    def test_lists_of_messages_are_not_shared(self):
        fields = (b"12345678", "s", "c", "", b"", 0, "", 1, 2)
        first, _ = decode(encode(AskLease(*fields), 1))
        first.avoid.append("e1")
        second, _ = decode(encode(AskLease(*fields), 1))
        self.assertEqual(second.avoid, [])

    def test_a_frame_of_a_later_version_is_read(self):
        values = cbor2.loads(
            encode(ReleaseLease(b"12345678", "done", 3, 4, 5, 6, 7), 1)
        )
        frame = cbor2.dumps([*values, "more"])
        self.assertEqual(
            decode(frame)[0], ReleaseLease(b"12345678", "done", 3, 4, 5, 6, 7)
        )
