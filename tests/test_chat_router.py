"""Tests of the chat router: the verdict of a request covers all its tries."""

import random
import unittest

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from peridotcove.callers.chat_requests import ChatRequest
from peridotcove.chat_router import ChatRouter
from peridotcove.configuration import parse_configuration
from peridotcove.continuation import ContinuationCodec
from peridotcove.endpoint_states import EndpointStates
from peridotcove.endpoints.streaming_client import EndpointResponse
from peridotcove.exceptions import EndpointFailed, RequestError, RequestRefused
from peridotcove.fleet_view import FleetView
from peridotcove.metrics import Metrics
from peridotcove.models import LeaseGrant
from peridotcove.rate_limits import EntryRateLimiter
from peridotcove.retries import MAX_TRIES
from peridotcove.timeline import Timeline
from peridotcove.verdict import Verdict
from tests.test_leases import RAW
from tests.virtual import VirtualClock, run

NOT_RUN, MAYBE_RAN, RAN = Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.RAN
OUTCOMES = ("ok", "unreachable", "cut", "no-lease", "started-cut", "leaving")


class ScriptedEngines:
    """Fake engines that follow a script and count the tries that may have run."""

    def __init__(self, script):
        self.script = list(script)
        self.tries = 0
        self.may_have_run = 0

    def next_is(self, outcome):
        """Return whether an outcome is next in the script."""
        return bool(self.script) and self.script[0] == outcome

    async def run(self, engine, body, name, sink, before_send, may_relay):
        """Run one try."""
        before_send()
        self.tries += 1
        outcome = self.script.pop(0) if self.script else "ok"
        if outcome == "leaving":
            raise RequestRefused("leaving", "x")
        if outcome == "unreachable":
            raise EndpointFailed("unreachable", "x", NOT_RUN)
        self.may_have_run += 1
        if outcome == "started-cut":
            sink.started = True
        if outcome != "ok":
            raise EndpointFailed("cut", "x", MAYBE_RAN)
        return EndpointResponse(200, {}, b"{}")


class ScriptedLeases:
    """Fake lease client that follows the script and records the leases held."""

    def __init__(self, engines):
        self.engines = engines
        self.lease_by_id = {}

    async def request_lease(self, shard, request):
        """Grant a lease, or refuse it if "no-lease" is next in the script."""
        if self.engines.next_is("no-lease"):
            self.engines.script.pop(0)
            raise RequestRefused("overloaded", "x")
        self.lease_by_id[request.request_id] = "e1"
        return LeaseGrant(request.request_id, "e1")

    def release(self, request_id, outcome, cached):
        """Release a lease."""
        del self.lease_by_id[request_id]


class FakeSink:
    """Fake sink that only records whether a part of the answer was sent."""

    started = False


async def route(script, repeatable, budget):
    """Run a chat; return its verdict, the fake engines and the fake leases."""
    clock, fleet, states = (
        VirtualClock(),
        FleetView("r"),
        EndpointStates(VirtualClock()),
    )
    configuration = parse_configuration(RAW)
    fleet.set_configuration(configuration)
    states.set_configuration(configuration)
    states.tick = states.fresh = lambda: True
    engines = ScriptedEngines(script)
    leases = ScriptedLeases(engines)
    router = ChatRouter(
        "n1",
        "a",
        fleet,
        leases,
        states,
        engines,
        EntryRateLimiter(clock),
        ContinuationCodec(b"secret of the tests", clock),
        clock,
        random.Random(1),
        Metrics(),
        Timeline(clock, "n1"),
    )
    router._budget.balance = budget
    customer = evolve(fleet.configuration.customer_by_name["c"])
    chat = ChatRequest(customer, "m", "m", True, repeatable, (), 1, "", b"{}")
    try:
        await router.run_chat(chat, b"12345678", sink=FakeSink())
        return RAN, engines, leases
    except RequestError as error:
        return error.verdict, engines, leases


class ChatRouterTest(unittest.TestCase):
    """The verdict covers all tries, and every lease is released."""

    def test_verdict_covers_all_tries(self):
        cases = [
            # script, repeatable, budget, verdict, tries
            (["ok"], False, 0, RAN, 1),
            (["unreachable"], False, 0, NOT_RUN, 1),
            (["unreachable", "ok"], False, 2, RAN, 2),
            (["cut", "ok"], True, 2, RAN, 2),
            (["cut", "ok"], False, 2, MAYBE_RAN, 1),
            (["cut", "no-lease"], True, 2, MAYBE_RAN, 1),
            (["cut", "unreachable", "unreachable"], True, 5, MAYBE_RAN, 3),
            (["started-cut", "ok"], True, 2, MAYBE_RAN, 1),
            (["no-lease"], True, 2, NOT_RUN, 0),
            (["leaving", "ok"], False, 2, RAN, 2),
            (["leaving"] * 9, False, 9, NOT_RUN, MAX_TRIES),
            (["unreachable"] * 9, True, 9, NOT_RUN, MAX_TRIES),
        ]
        for script, repeatable, budget, verdict, tries in cases:
            with self.subTest(script=script, repeatable=repeatable):
                found, engines, _ = run(route(script, repeatable, budget))
                self.assertEqual((found, engines.tries), (verdict, tries))

    @given(st.lists(st.sampled_from(OUTCOMES), max_size=5), st.booleans())
    def test_not_run_is_correct_and_all_leases_are_released(self, script, repeatable):
        verdict, engines, leases = run(route(script, repeatable, 9))
        if verdict is NOT_RUN:
            self.assertEqual(engines.may_have_run, 0)
        if not repeatable:
            self.assertLessEqual(engines.may_have_run, 1)
        self.assertEqual(leases.lease_by_id, {})
