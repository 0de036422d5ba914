"""Tests of `peridotcove.answer_copies`."""

import contextlib
import unittest

from hypothesis import given, strategies

from peridotcove.answer_copies import PartialHead, find_copy

HEAD = [
    b"HTTP/1.1 200 OK\r\n",
    b"X-Request-Id: 7f\r\n",
    b"Server-Load: 1,0,8\r\n",
    b"Content-Type: text/plain\r\n",
]
LATER_HEAD = [HEAD[0], HEAD[1], b"Server-Load: 12,3,8\r\n", HEAD[3]]


def ends_with_begin_of_copy(body):
    """Return whether a body ends like the begin of another copy of the answer."""
    return any(body.endswith(HEAD[0][:length]) for length in range(1, len(HEAD[0]) + 1))


bodies = strategies.binary(max_size=40).filter(
    lambda body: not ends_with_begin_of_copy(body)
)
heads = strategies.sampled_from((HEAD, LATER_HEAD))


def join(head, body):
    return b"".join(head) + b"\r\n" + body


def is_uncertain(body):
    """Return whether a body can't be told from one with the begin of a copy."""
    try:
        find_copy(body, HEAD)
    except PartialHead:
        return True
    except ValueError as error:
        return "another one" in str(error)
    return False


class CountedBytes(bytes):
    """Bytes that count how many of them were copied by slices."""

    copied = 0

    def __getitem__(self, key):
        found = super().__getitem__(key)
        if isinstance(key, slice):
            self.copied += len(found)
        return found


class FindCopyTest(unittest.TestCase):
    """Only a second copy of the answer is taken off its body."""

    @given(bodies)
    def test_body_alone_has_no_copy(self, body):
        self.assertIsNone(find_copy(body, HEAD))

    # A copy that follows an answer without a length looked like a part of its body.
    @given(bodies, heads)
    def test_whole_copy_is_found(self, body, head):
        self.assertEqual(find_copy(body + join(head, body), HEAD), len(body))

    # The body of an answer that ended like this passed as whole without its end.
    @given(bodies, heads, strategies.data())
    def test_begin_of_a_copy_is_uncertain_wherever_it_ends(self, body, head, data):
        copy = join(head, body)
        begin = copy[: data.draw(strategies.integers(1, len(copy) - 1))]
        with self.assertRaises(ValueError):
            find_copy(body + begin, HEAD)

    def test_body_that_ends_like_a_copy_is_not_taken_for_whole(self):
        for body in (b"body", b"", b"a body with HTTP/1.1 in it, "):
            copy = join(HEAD, body)
            lengths = [
                length
                for length in range(1, len(copy))
                if not is_uncertain(body + copy[:length])
            ]
            with self.subTest(body=body):
                self.assertEqual(lengths, [])

    @given(bodies, bodies)
    def test_copy_with_another_body_is_an_error(self, body, other):
        sent = body + join(HEAD, other)
        if body == other:
            self.assertEqual(find_copy(sent, HEAD), len(body))
            return
        with self.assertRaises(ValueError):
            find_copy(sent, HEAD)

    def test_text_about_http_is_a_body(self):
        for body in (
            HEAD[0] + b"is a status line",
            b"see HTTP/1.1 404 Not Found\r\n",
            HEAD[0] + HEAD[1] + b"More: 1\r\n\r\nok",
            HEAD[0] * 3 + b".",
        ):
            with self.subTest(body=body):
                self.assertIsNone(find_copy(body, HEAD))

    # An answer of 4 MB of status lines held the loop of a node for 30 s.
    def test_cost_is_linear_where_many_places_begin_like_a_copy(self):
        for lines in range(1, len(HEAD) + 1):
            for text in (b"", b".", b"\r", b"\r\n."):
                repeated = (b"".join(HEAD[:lines]) + text) * 2_000
                body = CountedBytes(b"body" + repeated)
                with self.subTest(lines=lines, text=text):
                    with contextlib.suppress(ValueError):
                        find_copy(body, HEAD)
                    self.assertLess(body.copied, 2 * len(body))
