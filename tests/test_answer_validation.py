"""Truncated answers and answers of other requests are detected."""

import json
import unittest

from hypothesis import given
from hypothesis import strategies as st

from peridotcove.answer_validation import AnswerStreamValidator, validate_answer
from peridotcove.exceptions import EndpointFailed

ID = "chatcmpl-00ff"
TEXTS = st.lists(st.text(max_size=12) | st.just("data: [DONE]\n\n"), max_size=6)


def render(texts, answer_id=ID, end="\n\n", done=True):
    """Return the data events and the end marker of an answer."""
    events = [
        f"data: {json.dumps({'id': answer_id, 'text': text})}{end}" for text in texts
    ]
    return [
        event.encode()
        for event in [*events, f"data: [DONE]{end}"][: None if done else -1]
    ]


class TestAnswerStreamValidator(unittest.TestCase):
    """Streams that are truncated, split, malformed or of another request."""

    @given(TEXTS, st.sampled_from(["\n\n", "\r\n\r\n"]), st.data())
    def test_truncated_stream_is_resumed(self, texts, end, data):
        events = render(texts, end=end)
        body = b"".join(events)
        cut = data.draw(st.integers(0, len(body)))
        step = data.draw(st.integers(1, 40))
        stream = AnswerStreamValidator(ID)
        passed = b""
        for at in range(0, cut, step):
            passed += stream.feed(body[at : min(cut, at + step)])
        self.assertIsNone(stream.fault)
        self.assertEqual(stream.is_complete, cut == len(body))
        self.assertEqual(
            passed, b"".join(events[: stream.event_count + stream.is_complete])
        )
        if not stream.is_complete:
            stream.discard_partial()
            passed += stream.feed(b"".join(events[stream.event_count :]))
        self.assertTrue(stream.is_complete)
        self.assertEqual(passed, body)
        self.assertEqual(stream.feed(body), b"")

    @given(TEXTS, TEXTS)
    def test_events_of_another_request_are_rejected(self, texts, other_texts):
        stream = AnswerStreamValidator(ID)
        own = b"".join(render(texts, done=False))
        other_events = b"".join(render([*other_texts, "x"], "chatcmpl-00fe"))
        self.assertEqual(stream.feed(own + other_events), own)
        self.assertEqual(stream.fault.code, "mixed-up")
        self.assertEqual(stream.feed(own), b"")
        self.assertFalse(stream.is_complete)

    def test_malformed(self):
        table = [b"\x00\xff<<no>>\n\n", b"{}\n\n", b"x" * (1 << 20) + b"xx"]
        for data in table:
            with self.subTest(data[:10]):
                stream = AnswerStreamValidator(ID)
                self.assertEqual(stream.feed(data), b"")
                self.assertEqual(stream.fault.code, "garbage")

    def test_comments_and_fields_pass(self):
        body = b": ping\n\nevent: x\nid: 1\n" + b"".join(render(["a"]))
        stream = AnswerStreamValidator(ID)
        self.assertEqual(stream.feed(body), body)
        self.assertEqual((stream.event_count, stream.is_complete), (1, True))


class TestValidateAnswer(unittest.TestCase):
    """Answers that are not streamed."""

    def test_table(self):
        whole = json.dumps({"id": ID, "choices": [{}]}).encode()
        validate_answer(whole, ID)
        other = whole.replace(b"00ff", b"00fe")
        table = [(other, "mixed-up"), (b"[]", "garbage"), (b"{}", "garbage")]
        table += [(whole[:size], "garbage") for size in range(len(whole))]
        for body, code in table:
            with self.subTest(body), self.assertRaises(EndpointFailed) as caught:
                validate_answer(body, ID)
            self.assertEqual(caught.exception.code, code)
