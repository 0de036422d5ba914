"""Stateful test of ticketed calls on three nodes under random faults.

A call runs at most once, the verdict "not run" is given only to calls that did not run,
and every call gets exactly one reply.
"""

import collections
import unittest

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from peridotcove.clock import FakeClock
from peridotcove.ledger import Answer
from peridotcove.nodes.messages import decode, encode
from peridotcove.nodes.network import OutgoingMessage
from peridotcove.ticket_authority import TicketAuthority
from peridotcove.ticketed_call_coordinator import TicketedCallCoordinator
from peridotcove.ticketed_calls import StartCall, TicketedCall
from peridotcove.verdict import Verdict

SECRET = b"s" * 16
NODES = ("a", "b", "c")
WAIT_MS = 3_000
INDEX = st.integers(0, 1000)


class TicketedCallMachine(RuleBasedStateMachine):
    """Three nodes, and callers that may resend a call to any of them.

    The network loses, duplicates and reorders messages. Nodes are partitioned, restart
    and hand over their ledgers.
    """

    authority_class = TicketAuthority
    coordinator_class = TicketedCallCoordinator

    def __init__(self):
        super().__init__()
        self.clock = FakeClock()
        self.node_by_name = {}
        self.incarnations = 0
        self.calls = 0
        self.in_flight = []
        self.cut = set()
        self.tickets = []
        self.started = []
        self.starts = collections.Counter()
        self.refused = set()
        self.open_calls = {}
        self.verdicts = collections.defaultdict(set)
        for name in NODES:
            self.start(name)

    def start(self, name):
        self.incarnations += 1
        incarnation, salt = self.incarnations, bytes([self.incarnations % 256]) * 4
        tickets = self.authority_class(name, incarnation, SECRET, self.clock, salt)
        tickets.ticket_ms = 5_000
        self.node_by_name[name] = self.coordinator_class(tickets, self.clock)

    def perform(self, name, actions):
        node = self.node_by_name[name]
        for action in actions:
            if isinstance(action, StartCall):
                self.starts[action.call.ticket] += 1
                self.started.append((name, node, action.call))
            elif isinstance(action, OutgoingMessage):
                self.in_flight.append((name, action.peer, encode(action.message, 1)))
            else:
                self.reply(action)

    def reply(self, reply):
        call, _ = self.open_calls.pop(reply.call_id)  # a second reply raises KeyError
        verdict = reply.answer.verdict
        if call.ticket:
            self.verdicts[call.ticket].add(verdict)
        if reply.answer.body:
            assert reply.answer.body == call.ticket.encode(), "answer of another call"
        if reply.ticket:
            self.tickets.append(reply.ticket)

    @rule(at=st.sampled_from(NODES), pick=INDEX, body=st.sampled_from([b"x", b"y"]))
    def call(self, at, pick, body):
        ticket = self.tickets[pick % len(self.tickets)] if self.tickets else ""
        ticket = "" if pick % 7 == 0 else ticket
        self.submit(at, ticket, body)

    @rule(at=st.sampled_from(NODES))
    def call_last(self, at):
        self.submit(at, self.tickets[-1] if self.tickets else "", b"x")

    def submit(self, at, ticket, body):
        self.calls += 1
        call_id = self.calls.to_bytes(8, "big")
        call = TicketedCall(ticket, "firm", "POST", "stock", "/r", (), body)
        node = self.node_by_name[at]
        self.open_calls[call_id] = (call, node)
        self.perform(at, node.submit(call_id, call, WAIT_MS))

    @rule(pick=INDEX, copy=st.booleans())
    def deliver(self, pick, copy):
        if not self.in_flight:
            return
        index = pick % len(self.in_flight)
        sender, peer, frame = self.in_flight[index]
        if not copy:
            del self.in_flight[index]
        if frozenset((sender, peer)) in self.cut:
            return
        message, _ = decode(frame)
        self.perform(peer, self.node_by_name[peer].handle_message(sender, message))

    @rule()
    def deliver_all(self):
        for _ in range(len(self.in_flight)):
            self.deliver(0, False)

    @rule(pick=INDEX)
    def drop(self, pick):
        if self.in_flight:
            del self.in_flight[pick % len(self.in_flight)]

    @rule(pick=INDEX, verdict=st.sampled_from(Verdict))
    def finish(self, pick, verdict):
        if not self.started:
            return
        name, node, call = self.started.pop(pick % len(self.started))
        if node is not self.node_by_name[name]:
            return
        if verdict is Verdict.NOT_RUN:
            self.refused.add(call.ticket)
        body = call.ticket.encode() if verdict is Verdict.RAN else b""
        self.perform(name, node.finish(call, Answer(verdict, 200, (), body)))

    @rule(ms=st.sampled_from([100, 600, 4_000, 60_000, 700_000]))
    def pass_time(self, ms):
        self.clock.advance(ms)
        for name, node in self.node_by_name.items():
            self.perform(name, node.tick())

    @rule(name=st.sampled_from(NODES))
    def restart(self, name):
        self.start(name)

    @rule(name=st.sampled_from(NODES), to=st.sampled_from(NODES))
    def hand_over(self, name, to):
        if name == to:
            return
        incarnation = self.node_by_name[to].ticket_authority.incarnation
        others = [peer for peer in NODES if peer != name]
        node = self.node_by_name[name]
        self.perform(name, node.hand_over(to, incarnation, others))

    @rule(one=st.sampled_from(NODES), other=st.sampled_from(NODES))
    def partition(self, one, other):
        self.cut ^= {frozenset((one, other))}

    @invariant()
    def runs_at_most_once(self):
        assert all(count <= 1 for count in self.starts.values()), "a call ran twice"

    @invariant()
    def not_run_is_correct(self):
        for ticket, verdicts in self.verdicts.items():
            if Verdict.NOT_RUN in verdicts:
                ran = self.starts[ticket] and ticket not in self.refused
                assert not ran, "the verdict is not-run, but the call ran"

    def teardown(self):
        while self.started:
            self.finish(0, Verdict.RAN)
        self.pass_time(WAIT_MS)
        live = self.node_by_name.values()
        open_calls = [call for call, node in self.open_calls.values() if node in live]
        assert not open_calls, "a call got no reply"


class MayForwardTest(unittest.TestCase):
    """The body of a call goes to the holder of its ticket only where it may."""

    def test_a_call_is_refused_if_its_holder_may_not_get_it(self):
        clock, asked = FakeClock(), []
        minter, other = (
            TicketAuthority(name, number, SECRET, clock)
            for number, name in enumerate(NODES[:2], 1)
        )
        coordinator = TicketedCallCoordinator(
            other, clock, lambda *pair: asked.append(pair)
        )
        call = TicketedCall(minter.mint("firm"), "firm", "POST", "stock", "/r")
        (reply,) = coordinator.submit(b"12345678", call, WAIT_MS)
        self.assertEqual(asked, [("a", "firm")])
        self.assertEqual(reply.code, "ticket-home-outside")
        self.assertEqual(reply.answer.verdict, Verdict.MAY_HAVE_RUN)
        self.assertEqual(coordinator.count_pending(), 0)


class TestTicketedCallCoordinator(unittest.TestCase):
    """The invariants hold; for naive variants see `tests.test_ticketed_call_faults`."""

    def test_machine(self):
        run_state_machine_as_test(TicketedCallMachine)
