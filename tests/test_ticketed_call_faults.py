"""Requests that may not be repeated under each fault, and each two faults in order."""

import itertools
import unittest

from peridotcove.ledger import Forward, Ledger, Refuse
from peridotcove.registry import Registry
from peridotcove.ticket_authority import TicketAuthority
from peridotcove.ticket_codec import read
from peridotcove.ticketed_call_coordinator import TicketedCallCoordinator
from peridotcove.verdict import Verdict
from tests.test_ticketed_call_coordinator import NODES, SECRET, OnceMachine

LATE_MS = 4_000
PAUSE_MS = 30_000
TICKET_MS = 60_000

faults = Registry("fault")
# After these the outcome must still be known to a caller who asks again.
RECOVERABLE = set()
# So must it be after these, if they come before the request is run and the process that
# then holds the ledger, the entry in the second case, is not replaced.
HAND_OVERS = {"minter hands over": "", "successor hands over too": "entry replaced"}


def fault(name, recoverable=False):
    """Return a decorator that registers a fault of a fleet of nodes a, b and c."""
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
def double(fleet):
    fleet.deliver(0, True)


@fault("messages late past the wait", recoverable=True)
def delay(fleet):
    fleet.late += fleet.in_flight
    fleet.in_flight = []
    fleet.pass_time(LATE_MS)


@fault("messages out of order", recoverable=True)
def reorder(fleet):
    fleet.in_flight.reverse()


@fault("partition of entry and minter", recoverable=True)
def part(fleet):
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


def play(first, second, machine=OnceMachine):
    """Send a call from b to its minter a, with faults on the way and while it runs."""
    fleet = machine()
    fleet.late = []
    for node in fleet.node_by_name.values():
        node.tickets.ticket_ms = TICKET_MS
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
    fleet.in_flight += fleet.late
    for _ in range(4):
        fleet.deliver_all()
        fleet.pass_time(600)
    earlier = fleet.verdicts.pop(fleet.ticket, set())
    for name in NODES:
        fleet.submit(name, fleet.ticket, b"x")
    for _ in range(20):
        fleet.deliver_all()
        fleet.finish(0, Verdict.RAN)
    assert not fleet.in_flight, "messages without end"
    fleet.teardown()
    fleet.last_verdicts = set(fleet.verdicts[fleet.ticket])
    fleet.verdicts[fleet.ticket] |= earlier
    return fleet


def check(fleet):
    """Check the two promises that hold under every fault."""
    fleet.runs_at_most_once()
    fleet.not_run_means_no_run()


class TakesOverTickets(TicketAuthority):
    """Naive: whoever is asked decides when it does not know the minter's ledger."""

    def begin(self, text, customer, digest):
        decision = super().begin(text, customer, digest)
        if not isinstance(decision, Forward):
            return decision
        ticket = read(text, SECRET)
        self.ledger_by_origin[ticket.origin] = Ledger(self.clock)
        return super().begin(text, customer, digest)


class CopiedTickets(TicketAuthority):
    """Naive: a leaving node goes on deciding after its ledger was sent."""

    def hand_over(self, successor, incarnation):
        ledgers = dict(self.ledger_by_origin)
        moved = super().hand_over(successor, incarnation)
        self.ledger_by_origin = ledgers
        return moved


class AnyTakerTickets(TicketAuthority):
    """Naive: a ledger is taken by whatever process has the successor's name."""

    def take(self, message):
        self._taken.clear()
        incarnation, self.incarnation = self.incarnation, message.incarnation
        taken = super().take(message)
        self.incarnation = incarnation
        return taken


class GuessingDelivery(TicketedCallCoordinator):
    """Naive: a node that can't reach the minter says "not run"."""

    def _refuse(self, peer, call_id, refuse, customer):
        if refuse.code == "ticket-home-unreachable":
            refuse = Refuse(refuse.code, Verdict.NOT_RUN)
        return super()._refuse(peer, call_id, refuse, customer)


NAIVE = (
    {"tickets_class": TakesOverTickets},
    {"tickets_class": CopiedTickets},
    {"tickets_class": AnyTakerTickets},
    {"delivery_class": GuessingDelivery},
)


class TestDeliveryFaults(unittest.TestCase):
    """No fault, alone or with another, runs a request twice or denies that it ran."""

    def test_alone_and_in_pairs(self):
        names = list(faults.by_name)
        for first, second in itertools.product(names, names):
            with self.subTest(first=first, second=second):
                fleet = play(first, second)
                check(fleet)
                handed = second in RECOVERABLE - {HAND_OVERS.get(first, second)}
                if handed or {first, second} <= RECOVERABLE:
                    self.assertEqual(fleet.last_verdicts, {Verdict.RAN})

    def test_naive_variants_fail(self):
        names = list(faults.by_name)
        for naive in NAIVE:
            machine = type("NaiveMachine", (OnceMachine,), naive)
            with self.subTest(naive), self.assertRaises(AssertionError):
                for first, second in itertools.product(names, names):
                    check(play(first, second, machine))
