"""Ticketed calls under each fault, and under each ordered pair of faults."""

import itertools
import unittest

from peridotcove.ledger import ForwardTo, Ledger, Refuse
from peridotcove.registry import Registry
from peridotcove.ticket_authority import TicketAuthority
from peridotcove.ticket_codec import decode_ticket
from peridotcove.ticketed_call_coordinator import TicketedCallCoordinator
from peridotcove.verdict import Verdict
from tests.test_ticketed_call_coordinator import NODES, SECRET, TicketedCallMachine

DELAY_MS = 4_000
PAUSE_MS = 30_000
TICKET_MS = 60_000

faults = Registry("fault")
# After these faults a caller that resends the call must still get its outcome.
RECOVERABLE = set()
# The same holds after these hand-overs, if they happen before the call runs and the
# process that then holds the ledger is not replaced. The value is the fault that
# replaces this process, or empty if no recoverable fault does: after the second
# hand-over the entry node holds the ledger.
HAND_OVERS = {"minter hands over": "", "successor hands over too": "entry replaced"}


def fault(name, recoverable=False):
    """Return a decorator that registers a fault in a fleet of nodes a, b and c."""
    if recoverable:
        RECOVERABLE.add(name)
    return faults.register(name)


@fault("none", recoverable=True)
def do_nothing(fleet):
    pass


@fault("lost message", recoverable=True)
def lose(fleet):
    fleet.drop(0)


@fault("all messages lost", recoverable=True)
def lose_all(fleet):
    fleet.in_flight.clear()


@fault("doubled message", recoverable=True)
def duplicate(fleet):
    fleet.deliver(0, True)


@fault("messages late past the wait", recoverable=True)
def delay(fleet):
    fleet.delayed += fleet.in_flight
    fleet.in_flight = []
    fleet.pass_time(DELAY_MS)


@fault("messages out of order", recoverable=True)
def reorder(fleet):
    fleet.in_flight.reverse()


@fault("partition of entry and minter", recoverable=True)
def partition_nodes(fleet):
    fleet.partition("a", "b")


@fault("caller resends elsewhere", recoverable=True)
def resend(fleet):
    fleet.submit("c", fleet.ticket, b"x")


@fault("caller resends another body")
def resend_other(fleet):
    fleet.submit("c", fleet.ticket, b"y")


@fault("entry replaced", recoverable=True)
def replace_entry(fleet):
    fleet.restart("b")


@fault("minter replaced")
def replace_minter(fleet):
    fleet.restart("a")


@fault("all nodes replaced")
def replace_all(fleet):
    for name in NODES:
        fleet.restart(name)


@fault("minter paused")
def pause(fleet):
    held = [item for item in fleet.in_flight if item[1] == "a"]
    fleet.in_flight = [item for item in fleet.in_flight if item[1] != "a"]
    node = fleet.node_by_name.pop("a")
    fleet.pass_time(PAUSE_MS)
    fleet.node_by_name["a"] = node
    fleet.in_flight += held


@fault("minter hands over")
def hand_over(fleet):
    fleet.hand_over("a", "c")


@fault("hand-over lost")
def lose_hand_over(fleet):
    fleet.hand_over("a", "c")
    fleet.in_flight.clear()
    fleet.restart("a")


@fault("successor replaced")
def replace_successor(fleet):
    fleet.hand_over("a", "c")
    fleet.deliver(0, True)
    fleet.restart("c")


@fault("successor runs it and is replaced")
def run_at_successor(fleet):
    fleet.hand_over("a", "c")
    fleet.deliver(0, True)
    fleet.submit("c", fleet.ticket, b"x")
    fleet.restart("c")


@fault("successor hands over too")
def hand_over_twice(fleet):
    fleet.hand_over("a", "c")
    fleet.deliver_all()
    fleet.hand_over("c", "b")


@fault("answer of the endpoint lost")
def lose_answer(fleet):
    fleet.finish(0, Verdict.MAY_HAVE_RUN)


@fault("endpoint not reached")
def refuse(fleet):
    fleet.finish(0, Verdict.NOT_RUN)


@fault("ticket expires")
def expire(fleet):
    fleet.pass_time(TICKET_MS)


@fault("ticket is forgotten")
def forget(fleet):
    fleet.pass_time(700_000)


def run_with_faults(first, second, machine=TicketedCallMachine):
    """Send a call at entry b whose ticket a minted, and return the fleet.

    The first fault happens while the call is forwarded to a, the second while it runs.
    """
    fleet = machine()
    fleet.delayed = []
    for node in fleet.node_by_name.values():
        node.ticket_authority.ticket_ms = TICKET_MS
    fleet.submit("a", "", b"x")
    fleet.ticket = fleet.tickets[0]
    fleet.submit("b", fleet.ticket, b"x")
    faults.get(first)(fleet)
    fleet.deliver_all()
    faults.get(second)(fleet)
    fleet.deliver_all()
    fleet.finish(0, Verdict.RAN)
    fleet.deliver_all()
    fleet.cut.clear()
    fleet.in_flight += fleet.delayed
    for _ in range(4):
        fleet.deliver_all()
        fleet.pass_time(600)
    earlier = fleet.verdicts.pop(fleet.ticket, set())
    for name in NODES:
        fleet.submit(name, fleet.ticket, b"x")
    for _ in range(20):
        fleet.deliver_all()
        fleet.finish(0, Verdict.RAN)
    assert not fleet.in_flight, "the nodes do not stop sending messages"
    fleet.teardown()
    fleet.last_verdicts = set(fleet.verdicts[fleet.ticket])
    fleet.verdicts[fleet.ticket] |= earlier
    return fleet


def check(fleet):
    """Check the two invariants that hold under every fault."""
    fleet.runs_at_most_once()
    fleet.not_run_is_correct()


class DecidingAuthority(TicketAuthority):
    """Naive: a node without the minter's ledger decides about the call itself."""

    def begin(self, text, customer, digest):
        decision = super().begin(text, customer, digest)
        if not isinstance(decision, ForwardTo):
            return decision
        ticket = decode_ticket(text, SECRET)
        self.ledger_by_origin[ticket.origin] = Ledger(self.clock)
        return super().begin(text, customer, digest)


class CopyingAuthority(TicketAuthority):
    """Naive: a leaving node still uses its ledger after handing it over."""

    def hand_over(self, successor, incarnation):
        ledgers = dict(self.ledger_by_origin)
        moved = super().hand_over(successor, incarnation)
        self.ledger_by_origin = ledgers
        return moved


class AnyProcessAuthority(TicketAuthority):
    """Naive: any process with the successor's node name accepts a ledger."""

    def accept_ledger(self, message):
        self._accepted_origins.clear()
        incarnation, self.incarnation = self.incarnation, message.incarnation
        accepted = super().accept_ledger(message)
        self.incarnation = incarnation
        return accepted


class NotRunCoordinator(TicketedCallCoordinator):
    """Naive: a node that can't reach the ticket's minter answers "not run"."""

    def _refuse(self, peer, call_id, refuse, customer):
        if refuse.code == "ticket-home-unreachable":
            refuse = Refuse(refuse.code, Verdict.NOT_RUN)
        return super()._refuse(peer, call_id, refuse, customer)


NAIVE = (
    {"authority_class": DecidingAuthority},
    {"authority_class": CopyingAuthority},
    {"authority_class": AnyProcessAuthority},
    {"coordinator_class": NotRunCoordinator},
)


class TestTicketedCallFaults(unittest.TestCase):
    """No fault or pair of faults makes a call run twice or hides that it ran."""

    def test_single_faults_and_pairs(self):
        names = list(faults.by_name)
        for first, second in itertools.product(names, names):
            with self.subTest(first=first, second=second):
                fleet = run_with_faults(first, second)
                check(fleet)
                handed = second in RECOVERABLE - {HAND_OVERS.get(first, second)}
                if handed or {first, second} <= RECOVERABLE:
                    self.assertEqual(fleet.last_verdicts, {Verdict.RAN})

    def test_naive_variants_fail(self):
        names = list(faults.by_name)
        for naive in NAIVE:
            machine = type("NaiveMachine", (TicketedCallMachine,), naive)
            with self.subTest(naive), self.assertRaises(AssertionError):
                for first, second in itertools.product(names, names):
                    check(run_with_faults(first, second, machine))
