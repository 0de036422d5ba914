"""Tests of tickets and ledgers: the decision about each kind of ticket."""

import string
import unittest
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from peridotcove.clock import FakeClock
from peridotcove.ledger import RETENTION_MS, Answer, ForwardTo, Join, Refuse, RunHere
from peridotcove.ticket_authority import TicketAuthority
from peridotcove.ticket_codec import (
    InvalidTicket,
    Ticket,
    decode_ticket,
    digest_call,
    encode_ticket,
)
from peridotcove.verdict import Verdict

SECRET = b"s" * 16
DIGEST = b"d" * 16
RAN = Answer(Verdict.RAN, 201, (("A", "b"),), b"reserved")
TEXTS = st.text(max_size=20)


class TestTicketCodec(unittest.TestCase):
    """Tickets are encoded as signed text, and any change to the text is detected."""

    @given(TEXTS, st.integers(0, 1 << 60), st.binary(max_size=8), TEXTS)
    def test_round_trip(self, node, number, salt, customer):
        ticket = Ticket(node, number, salt, number, number, customer)
        self.assertEqual(decode_ticket(encode_ticket(ticket, SECRET), SECRET), ticket)

    @given(st.integers(0, 10_000), st.characters(codec="utf-8"))
    def test_any_change_is_detected(self, index, letter):
        text = encode_ticket(Ticket("a", 1, b"s", 2, 3, "c"), SECRET)
        index %= len(text)
        changed = text[:index] + letter + text[index + 1 :]
        if changed != text:
            with self.assertRaises(InvalidTicket):
                decode_ticket(changed, SECRET)

    def test_text_of_a_ticket_is_unique(self):
        for customer in ("c", "cc", "ccc"):
            text = encode_ticket(Ticket("a", 1, b"s", 2, 3, customer), SECRET)
            for letter in string.ascii_letters + string.digits + "-_":
                changed = text[:-1] + letter
                if changed != text:
                    with self.subTest(changed), self.assertRaises(InvalidTicket):
                        decode_ticket(changed, SECRET)

    def test_digest_differs_between_calls(self):
        calls = [
            ("POST", "s", "/a", b"x"),
            ("PUT", "s", "/a", b"x"),
            ("POST", "t", "/a", b"x"),
            ("POST", "s", "/ax", b""),
            ("POST", "s/", "a", b"x"),
        ]
        self.assertEqual(len({digest_call(*call) for call in calls}), len(calls))


class TestTicketAuthority(unittest.TestCase):
    """Decisions of one process, and of its successor after a hand-over."""

    def setUp(self):
        self.clock = FakeClock()
        self.tickets = TicketAuthority("a", 1, SECRET, self.clock)
        self.text = self.tickets.mint("c")

    def begin(self, tickets=None, text=None, customer="c", digest=DIGEST):
        tickets = tickets or self.tickets
        return tickets.begin(text or self.text, customer, digest)

    def check(self, decision, code, verdict):
        self.assertEqual(decision, Refuse(code, verdict))

    def test_call_runs_once_then_repeats_get_its_answer(self):
        self.assertEqual(self.begin(), RunHere(0))
        self.assertEqual(self.begin(), Join(0))
        self.tickets.finish(self.text, RAN)
        self.assertEqual(self.begin(), RAN)
        self.tickets.finish(self.text, Answer(Verdict.NOT_RUN, 503))
        self.assertEqual(self.begin(), RAN)

    def test_outcomes_without_answer(self):
        large = Answer(Verdict.RAN, 200, (), b"x" * 70_000)
        long_head = Answer(Verdict.RAN, 200, (("A", "x" * 70_000),))
        table = [
            (long_head, "answer-not-kept", Verdict.RAN),
            (large, "answer-not-kept", Verdict.RAN),
            (Answer(Verdict.MAY_HAVE_RUN, 504), "outcome-unknown", None),
            (Answer(Verdict.NOT_RUN, 503), "ticket-spent", Verdict.NOT_RUN),
        ]
        for answer, code, verdict in table:
            with self.subTest(code):
                text = self.tickets.mint("c")
                self.begin(text=text)
                self.tickets.finish(text, answer)
                expected = verdict or Verdict.MAY_HAVE_RUN
                self.check(self.begin(text=text), code, expected)

    def test_tickets_of_other_fleets_customers_and_calls_are_refused(self):
        unknown = Verdict.MAY_HAVE_RUN
        other_fleet = TicketAuthority("a", 1, b"t" * 16, self.clock).mint("c")
        self.check(self.begin(text=other_fleet), "ticket-invalid", unknown)
        self.check(self.begin(text="\ufffd"), "ticket-invalid", unknown)
        self.check(self.begin(customer="d"), "ticket-of-other-customer", unknown)
        self.begin()
        self.check(self.begin(digest=b"e"), "ticket-bound", unknown)

    def test_tickets_of_other_processes(self):
        same_start = TicketAuthority("a", 1, SECRET, self.clock)
        later = TicketAuthority("a", 2, SECRET, self.clock)
        for tickets in (same_start, later):
            self.check(self.begin(tickets), "ticket-home-gone", Verdict.MAY_HAVE_RUN)
        other = TicketAuthority("b", 1, SECRET, self.clock)
        self.assertEqual(self.begin(other), ForwardTo("a", 1))

    def test_expiry(self):
        used = self.tickets.mint("c")
        self.begin(text=used)
        self.tickets.finish(used, RAN)
        self.clock.advance(self.tickets.ticket_ms)
        self.tickets.expire()
        self.check(self.begin(), "ticket-expired", Verdict.NOT_RUN)
        self.check(self.begin(text=used), "answer-not-kept", Verdict.RAN)
        self.clock.advance(RETENTION_MS)
        self.tickets.expire()
        for text in (self.text, used):
            decision = self.begin(text=text)
            self.check(decision, "ticket-forgotten", Verdict.MAY_HAVE_RUN)
        ledger = self.tickets.ledger_by_origin[self.tickets.origin]
        self.assertFalse(ledger.entry_by_sequence)

    def test_evicted_tickets_are_refused(self):
        texts = [self.text] + [self.tickets.mint("c") for _ in range(4)]
        with mock.patch("peridotcove.ledger.MAX_ENTRIES", 2):
            for text in texts[1:]:
                self.begin(text=text)
            for text in texts[:3]:
                decision = self.begin(text=text)
                self.check(decision, "ticket-forgotten", Verdict.MAY_HAVE_RUN)

    def test_size_of_kept_answers_is_bounded(self):
        texts = [self.tickets.mint("c") for _ in range(5)]
        with mock.patch("peridotcove.ledger.MAX_ANSWERS_BYTES", 24):
            for text in texts:
                self.begin(text=text)
                self.tickets.finish(text, RAN)
        kept = [self.begin(text=text) == RAN for text in texts]
        self.assertEqual(kept, [False, False, False, True, True])

    def test_hand_over(self):
        unused, running = self.tickets.mint("c"), self.tickets.mint("c")
        for text in (self.text, running):
            self.begin(text=text)
        self.tickets.finish(self.text, RAN)
        (moved,) = self.tickets.hand_over("b", 7)
        restarted = TicketAuthority("b", 8, SECRET, self.clock)
        self.assertFalse(restarted.accept_ledger(moved))
        successor = TicketAuthority("b", 7, SECRET, self.clock)
        self.assertTrue(successor.accept_ledger(moved))
        self.assertEqual(self.begin(text=unused), ForwardTo("b", 7))
        self.assertIsNone(self.tickets.mint("c"))
        self.assertEqual(self.begin(successor), RAN)
        self.assertEqual(self.begin(successor, unused), RunHere(1))
        self.assertTrue(successor.accept_ledger(moved))
        self.assertEqual(self.begin(successor, unused), Join(1))
        decision = self.begin(successor, running)
        self.check(decision, "outcome-unknown", Verdict.MAY_HAVE_RUN)
        self.clock.advance(self.tickets.ticket_ms + RETENTION_MS)
        successor.expire()
        self.assertEqual(successor.make_held_messages(), [])

    def test_ledger_that_was_handed_on_is_not_accepted_again(self):
        (moved,) = self.tickets.hand_over("b", 2)
        second = TicketAuthority("b", 2, SECRET, self.clock)
        second.accept_ledger(moved)
        messages = second.hand_over("d", 3)
        third = TicketAuthority("d", 3, SECRET, self.clock)
        for message in messages:
            third.accept_ledger(message)
        self.assertTrue(second.accept_ledger(moved))
        self.assertEqual(self.begin(second), ForwardTo("d", 3))
        self.assertEqual(self.begin(third), RunHere(0))
        other = TicketAuthority("e", 1, SECRET, self.clock)
        for held in third.make_held_messages():
            other.set_holder(held)
        self.assertEqual(self.begin(other), ForwardTo("d", 3))
