"""Tests of the demo's caller: it tells whole answers and broken promises apart."""

import json
import unittest

from peridotcove.standins.demo_caller import Caller, Tally, read_answer, read_stream
from peridotcove.standins.demo_report import find_faults, sum_metric
from peridotcove.standins.engine import EngineStandin
from peridotcove.standins.load_balancer import Balancer, Node, Reply

EVENT = b'data: {"choices": [{"delta": {"content": "ab"}}]}\n\n'
END = b"data: [DONE]\n\n"
CUSTOMER = {"name": "dobos", "key": "k", "weight": 1}
PLAN = {
    "model": "m",
    "service": "s",
    "lookup_path": "/l",
    "booking_path": "/b",
    "customers": [CUSTOMER],
}


def make_reply(status, verdict="", ticket="", whole=True, sent=True):
    headers = {"Peridotcove-Verdict": verdict, "Retry-After": "0"}
    if ticket:
        headers["Peridotcove-Ticket"] = ticket
    return Reply("n1", status, headers, b"{}", whole, sent)


class ScriptedBalancer:
    """Answers with prepared replies and notes the tickets that were sent."""

    def __init__(self, replies):
        self.replies = list(replies)
        self.tickets = []

    async def send(self, method, path, headers, value=None):
        self.tickets.append(headers.get("Peridotcove-Ticket"))
        return self.replies.pop(0) if self.replies else make_reply(0, whole=False)


class TestReading(unittest.TestCase):
    """Only whole answers are read."""

    def test_streams(self):
        error = b'data: {"error": {"code": "cut"}}\n\n'
        cases = {
            "whole": (EVENT + EVENT + END, True, "abab"),
            "without end": (EVENT + EVENT, True, None),
            "broken off": (EVENT + END, False, None),
            "error at the end": (EVENT + error + END, True, None),
        }
        for name, (body, whole, expected) in cases.items():
            with self.subTest(name):
                reply = Reply("n1", 200, {}, body, whole)
                self.assertEqual(read_stream(reply), expected)

    def test_answers_in_one_piece(self):
        body = b'{"choices": [{"message": {"content": "ab"}}]}'
        self.assertEqual(read_answer(Reply("n1", 200, {}, body, True)), "ab")
        self.assertIsNone(read_answer(Reply("n1", 200, {}, body[:9], True)))
        self.assertIsNone(read_answer(Reply("n1", 503, {}, body, True)))

    def test_counter_is_summed_over_its_labels(self):
        text = (
            '# TYPE a counter\na_total{way="in"} 2\na_total{way="out"} 3\nb_total 9\n'
        )
        self.assertEqual(sum_metric(text, "a"), 5)

    def test_each_broken_promise_is_named(self):
        cases = [
            ("ran", 1, 0),
            ("may-have-run", 0, 0),
            ("may-have-run", 1, 0),
            ("not-run", 0, 0),
            ("ran", 2, 1),
            ("ran", 0, 1),
            ("not-run", 1, 1),
            ("not-run", 2, 2),
        ]
        for state, runs, faults in cases:
            with self.subTest(state=state, runs=runs):
                tally = Tally(state_by_reference={"r": state})
                found = find_faults(tally, {"r": runs} if runs else {})
                self.assertEqual(len(found), faults)


class TestBooking(unittest.IsolatedAsyncioTestCase):
    """A booking is resent only with the ticket that it has."""

    async def test_cases(self):
        offer = make_reply(428, "not-run", "t1")
        cut = make_reply(0, whole=False)
        ran = make_reply(200, "ran")
        doubt = make_reply(502, "may-have-run")
        refused = make_reply(503, "not-run")
        cases = {
            "usual": ([offer, ran], "ran", [None, "t1"]),
            "cut without a ticket": ([cut, offer, ran], "ran", [None, None, "t1"]),
            "cut with a ticket": ([offer, cut, ran], "ran", [None, "t1", "t1"]),
            "in doubt": ([offer, doubt], "may-have-run", [None, "t1"]),
            "new ticket after not run": (
                [offer, refused, offer, ran],
                "ran",
                [None, "t1", None, "t1"],
            ),
            "never answered": ([offer], "may-have-run", None),
            "never sent": ([], "not-run", None),
        }
        for name, (replies, state, tickets) in cases.items():
            with self.subTest(name):
                balancer = ScriptedBalancer(replies)
                caller = Caller(PLAN, balancer)
                found = await caller._try_booking(caller.customers[0], "r")
                self.assertEqual(found, state)
                if tickets is not None:
                    self.assertEqual(balancer.tickets, tickets)


class TestBalancer(unittest.IsolatedAsyncioTestCase):
    """The balancer asks nodes in turn and passes on what came back."""

    async def asyncSetUp(self):
        self.engine = EngineStandin()
        self.engine.start()
        self.addAsyncCleanup(self.engine.close)
        node = Node("n1", self.engine.url, self.engine.url)
        self.balancer = Balancer([node])
        self.addCleanup(self.balancer.close)

    async def test_replies(self):
        body = {"messages": [{"role": "user", "content": "a"}], "max_tokens": 2}
        path = "/v1/chat/completions"
        for mode, status, whole in (("ok", 200, True), ("nothing", 0, False)):
            with self.subTest(mode):
                self.engine.faults.set(mode)
                reply = await self.balancer.send("POST", path, {}, body)
                self.assertEqual((reply.status, reply.whole), (status, whole))
                self.assertTrue(reply.sent)
        await self.engine.close()
        reply = await self.balancer.send("POST", path, {}, body)
        self.assertEqual((reply.sent, reply.whole), (False, False))

    async def test_body_is_the_answer(self):
        body = {"messages": [{"role": "user", "content": "a"}], "max_tokens": 2}
        reply = await self.balancer.send("POST", "/v1/chat/completions", {}, body)
        self.assertEqual(json.loads(reply.body)["usage"]["completion_tokens"], 2)
        self.assertGreater(reply.first_ms, 0)
