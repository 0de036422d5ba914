"""Tests of the demo's caller: it detects incomplete answers and violations."""

import json
import unittest

from peridotcove.standins.demo_caller import DemoCaller, Tally, read_answer, read_stream
from peridotcove.standins.demo_report import find_violations, sum_metric
from peridotcove.standins.engine import EngineStandin
from peridotcove.standins.load_balancer import LoadBalancer, Node, Response

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


def make_response(status, verdict="", ticket="", complete=True, connected=True):
    headers = {"Peridotcove-Verdict": verdict, "Retry-After": "0"}
    if ticket:
        headers["Peridotcove-Ticket"] = ticket
    return Response("n1", status, headers, b"{}", complete, connected)


class ScriptedBalancer:
    """Returns prepared responses and records the tickets of the requests."""

    def __init__(self, responses):
        self.responses = list(responses)
        self.tickets = []

    async def send(self, method, path, headers, value=None):
        self.tickets.append(headers.get("Peridotcove-Ticket"))
        return (
            self.responses.pop(0)
            if self.responses
            else make_response(0, complete=False)
        )


class TestResults(unittest.TestCase):
    """Only complete answers are read; violations are reported."""

    def test_only_complete_streams_are_read(self):
        error = b'data: {"error": {"code": "cut"}}\n\n'
        cases = {
            "whole": (EVENT + EVENT + END, True, "abab"),
            "without end event": (EVENT + EVENT, True, None),
            "cut off": (EVENT + END, False, None),
            "error event at the end": (EVENT + error + END, True, None),
        }
        for name, (body, complete, expected) in cases.items():
            with self.subTest(name):
                response = Response("n1", 200, {}, body, complete)
                self.assertEqual(read_stream(response), expected)

    def test_only_complete_answers_are_read(self):
        body = b'{"choices": [{"message": {"content": "ab"}}]}'
        self.assertEqual(read_answer(Response("n1", 200, {}, body, True)), "ab")
        self.assertIsNone(read_answer(Response("n1", 200, {}, body[:9], True)))
        self.assertIsNone(read_answer(Response("n1", 503, {}, body, True)))

    def test_counter_is_summed_over_its_labels(self):
        text = (
            '# TYPE a counter\na_total{way="in"} 2\na_total{way="out"} 3\nb_total 9\n'
        )
        self.assertEqual(sum_metric(text, "a"), 5)

    def test_each_violation_is_reported(self):
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
        for state, runs, violations in cases:
            with self.subTest(state=state, runs=runs):
                tally = Tally(state_by_reference={"r": state})
                found = find_violations(tally, {"r": runs} if runs else {})
                self.assertEqual(len(found), violations)


class TestBooking(unittest.IsolatedAsyncioTestCase):
    """A booking in doubt is retried only with the same ticket."""

    async def test_tickets_and_verdicts_of_retries(self):
        offer = make_response(428, "not-run", "t1")
        cut = make_response(0, complete=False)
        ran = make_response(200, "ran")
        uncertain = make_response(502, "may-have-run")
        refused = make_response(503, "not-run")
        cases = {
            "usual": ([offer, ran], "ran", [None, "t1"]),
            "cut without a ticket": ([cut, offer, ran], "ran", [None, None, "t1"]),
            "cut with a ticket": ([offer, cut, ran], "ran", [None, "t1", "t1"]),
            "may have run": ([offer, uncertain], "may-have-run", [None, "t1"]),
            "new ticket after not run": (
                [offer, refused, offer, ran],
                "ran",
                [None, "t1", None, "t1"],
            ),
            "never answered": ([offer], "may-have-run", None),
            "never sent": ([], "not-run", None),
        }
        for name, (responses, state, tickets) in cases.items():
            with self.subTest(name):
                balancer = ScriptedBalancer(responses)
                caller = DemoCaller(PLAN, balancer)
                found = await caller._book_with_retries(caller.customers[0], "r")
                self.assertEqual(found, state)
                if tickets is not None:
                    self.assertEqual(balancer.tickets, tickets)


class TestBalancer(unittest.IsolatedAsyncioTestCase):
    """The load balancer reports how each request ended."""

    async def asyncSetUp(self):
        self.engine = EngineStandin()
        self.engine.start()
        self.addAsyncCleanup(self.engine.close)
        node = Node("n1", self.engine.url, self.engine.url)
        self.balancer = LoadBalancer([node])
        self.addCleanup(self.balancer.close)

    async def test_complete_and_failed_responses(self):
        body = {"messages": [{"role": "user", "content": "a"}], "max_tokens": 2}
        path = "/v1/chat/completions"
        for mode, status, complete in (("ok", 200, True), ("nothing", 0, False)):
            with self.subTest(mode):
                self.engine.faults.set(mode)
                response = await self.balancer.send("POST", path, {}, body)
                self.assertEqual(
                    (response.status, response.complete), (status, complete)
                )
                self.assertTrue(response.connected)
        await self.engine.close()
        response = await self.balancer.send("POST", path, {}, body)
        self.assertEqual((response.connected, response.complete), (False, False))

    async def test_body_is_that_of_the_engine(self):
        body = {"messages": [{"role": "user", "content": "a"}], "max_tokens": 2}
        response = await self.balancer.send("POST", "/v1/chat/completions", {}, body)
        self.assertEqual(json.loads(response.body)["usage"]["completion_tokens"], 2)
        self.assertGreater(response.first_byte_ms, 0)
