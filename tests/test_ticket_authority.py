"""Tickets and ledgers: what each kind of ticket leads to."""

import string
import unittest
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from peridotcove.clock import FakeClock
from peridotcove.ledger import KEEP_MS, Answer, Forward, Join, Refuse, RunHere
from peridotcove.ticket_authority import TicketAuthority
from peridotcove.ticket_codec import InvalidTicket, Ticket, digest_call, read, sign
from peridotcove.verdict import Verdict

SECRET = b"s" * 16
DIGEST = b"d" * 16
RAN = Answer(Verdict.RAN, 201, (("A", "b"),), b"reserved")
TEXTS = st.text(max_size=20)


class TestTicketCodec(unittest.TestCase):
    """Signed text of tickets."""

    @given(TEXTS, st.integers(0, 1 << 60), st.binary(max_size=8), TEXTS)
    def test_round_trip(self, node, number, salt, customer):
        ticket = Ticket(node, number, salt, number, number, customer)
        self.assertEqual(read(sign(ticket, SECRET), SECRET), ticket)

    @given(st.integers(0, 10_000), st.characters(codec="utf-8"))
    def test_any_change_is_found(self, place, letter):
        text = sign(Ticket("a", 1, b"s", 2, 3, "c"), SECRET)
        place %= len(text)
        changed = text[:place] + letter + text[place + 1 :]
        if changed != text:
            with self.assertRaises(InvalidTicket):
                read(changed, SECRET)

    def test_one_spelling(self):
        for customer in ("c", "cc", "ccc"):
            text = sign(Ticket("a", 1, b"s", 2, 3, customer), SECRET)
            for letter in string.ascii_letters + string.digits + "-_":
                changed = text[:-1] + letter
                if changed != text:
                    with self.subTest(changed), self.assertRaises(InvalidTicket):
                        read(changed, SECRET)

    def test_digest_tells_calls_apart(self):
        calls = [
            ("POST", "s", "/a", b"x"),
            ("PUT", "s", "/a", b"x"),
            ("POST", "t", "/a", b"x"),
            ("POST", "s", "/ax", b""),
            ("POST", "s/", "a", b"x"),
        ]
        self.assertEqual(len({digest_call(*call) for call in calls}), len(calls))


class TestTickets(unittest.TestCase):
    """Decisions of one process, and of the one that takes over from it."""

    def setUp(self):
        self.clock = FakeClock()
        self.tickets = TicketAuthority("a", 1, SECRET, self.clock)
        self.text = self.tickets.mint("c")

    def begin(self, tickets=None, text=None, customer="c", digest=DIGEST):
        tickets = tickets or self.tickets
        return tickets.begin(text or self.text, customer, digest)

    def check(self, decision, code, verdict):
        self.assertEqual(decision, Refuse(code, verdict))

    def test_runs_once_then_joins_then_answers(self):
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

    def test_tickets_that_do_not_fit(self):
        unknown = Verdict.MAY_HAVE_RUN
        other_fleet = TicketAuthority("a", 1, b"t" * 16, self.clock).mint("c")
        self.check(self.begin(text=other_fleet), "ticket-invalid", unknown)
        self.check(self.begin(text="\ufffd"), "ticket-invalid", unknown)
        self.check(self.begin(customer="d"), "ticket-of-other-customer", unknown)
        self.begin()
        self.check(self.begin(digest=b"e"), "ticket-bound", unknown)

    def test_other_processes(self):
        same_start = TicketAuthority("a", 1, SECRET, self.clock)
        later = TicketAuthority("a", 2, SECRET, self.clock)
        for tickets in (same_start, later):
            self.check(self.begin(tickets), "ticket-home-gone", Verdict.MAY_HAVE_RUN)
        other = TicketAuthority("b", 1, SECRET, self.clock)
        self.assertEqual(self.begin(other), Forward("a", 1))

    def test_expiry(self):
        used = self.tickets.mint("c")
        self.begin(text=used)
        self.tickets.finish(used, RAN)
        self.clock.advance(self.tickets.ticket_ms)
        self.tickets.expire()
        self.check(self.begin(), "ticket-expired", Verdict.NOT_RUN)
        self.check(self.begin(text=used), "answer-not-kept", Verdict.RAN)
        self.clock.advance(KEEP_MS)
        self.tickets.expire()
        for text in (self.text, used):
            decision = self.begin(text=text)
            self.check(decision, "ticket-forgotten", Verdict.MAY_HAVE_RUN)
        ledger = self.tickets.ledger_by_origin[self.tickets.origin]
        self.assertFalse(ledger.entry_by_sequence)

    def test_full_ledger_forgets_safely(self):
        texts = [self.text] + [self.tickets.mint("c") for _ in range(4)]
        with mock.patch("peridotcove.ledger.MAX_ENTRIES", 2):
            for text in texts[1:]:
                self.begin(text=text)
            for text in texts[:3]:
                decision = self.begin(text=text)
                self.check(decision, "ticket-forgotten", Verdict.MAY_HAVE_RUN)

    def test_answers_are_bounded(self):
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
        self.assertFalse(restarted.take(moved))
        successor = TicketAuthority("b", 7, SECRET, self.clock)
        self.assertTrue(successor.take(moved))
        self.assertEqual(self.begin(text=unused), Forward("b", 7))
        self.assertIsNone(self.tickets.mint("c"))
        self.assertEqual(self.begin(successor), RAN)
        self.assertEqual(self.begin(successor, unused), RunHere(1))
        self.assertTrue(successor.take(moved))
        self.assertEqual(self.begin(successor, unused), Join(1))
        decision = self.begin(successor, running)
        self.check(decision, "outcome-unknown", Verdict.MAY_HAVE_RUN)
        self.clock.advance(self.tickets.ticket_ms + KEEP_MS)
        successor.expire()
        self.assertEqual(successor.held(), [])

    def test_taken_ledger_moves_on_and_never_comes_back(self):
        (moved,) = self.tickets.hand_over("b", 2)
        second = TicketAuthority("b", 2, SECRET, self.clock)
        second.take(moved)
        messages = second.hand_over("d", 3)
        third = TicketAuthority("d", 3, SECRET, self.clock)
        for message in messages:
            third.take(message)
        self.assertTrue(second.take(moved))
        self.assertEqual(self.begin(second), Forward("d", 3))
        self.assertEqual(self.begin(third), RunHere(0))
        other = TicketAuthority("e", 1, SECRET, self.clock)
        for held in third.held():
            other.learn_holder(held)
        self.assertEqual(self.begin(other), Forward("d", 3))
