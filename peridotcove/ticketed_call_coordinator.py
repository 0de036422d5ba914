"""Moves requests with tickets to the process that decides, and answers back.

Whatever is lost, late, doubled or out of order between the nodes, a request is run
only by the process that `TicketAuthority.begin` told so; every other process
answers "may have run" when it can't find out.
"""

from peridotcove.ledger import Answer, Forward, Join, RunHere
from peridotcove.nodes.network import Outgoing
from peridotcove.nodes.once_messages import (
    HandOverTickets,
    RunTicketed,
    TicketedAnswer,
    TicketsHeld,
    TicketsTaken,
)
from peridotcove.ticket_authority import GONE
from peridotcove.ticket_codec import digest_call
from peridotcove.ticketed_calls import (
    BUSY,
    MAX_BODY_BYTES,
    MISSING,
    STATUS_BY_CODE,
    TOO_LARGE,
    TOO_LARGE_NOW,
    UNREACHABLE,
    Pending,
    Reply,
    Start,
    from_message,
    to_message,
)
from peridotcove.verdict import Verdict

RESEND_MS = 500
MAX_WAITERS = 8


class TicketedCallCoordinator:
    """Requests with tickets at one node.

    Parameters
    ----------
    tickets : Tickets
        Who may run what.
    clock : Clock
        Time in ms.

    Attributes
    ----------
    pending_by_call_id : dict
        Calls of this node that wait for another process.
    """

    def __init__(self, tickets, clock):
        self.tickets = tickets
        self.clock = clock
        self.pending_by_call_id = {}
        self._waiters_by_ticket = {}
        self._hand_overs = {}
        self._next_hand_over = 0

    def submit(self, call_id, call, wait_ms):
        """Return what a caller's call leads to.

        Parameters
        ----------
        call_id : bytes
            Unique id, 8 bytes.
        call : TicketedCall
            The call.
        wait_ms : int
            Longest wait in ms for another process.

        Returns
        -------
        list of Start, Reply or Outgoing
        """
        if len(call.body) > MAX_BODY_BYTES:
            refuse = TOO_LARGE_NOW if call.ticket else TOO_LARGE
            return [self._refusal(call_id, refuse, call.customer)]
        if not call.ticket:
            return [self._refusal(call_id, MISSING, call.customer)]
        decision = self._begin(call)
        if isinstance(decision, Forward):
            pending = Pending(call, self.clock.now() + wait_ms)
            self.pending_by_call_id[call_id] = pending
            return self._forward(call_id, pending)
        return self._decide(decision, call, None, call_id)

    def handle_message(self, peer, message):
        """Return what a message of another node leads to.

        Parameters
        ----------
        peer : str
            Name of the node.
        message : object
            A message of `peridotcove.nodes.once_messages`.

        Returns
        -------
        list of Start, Reply or Outgoing
        """
        if isinstance(message, RunTicketed):
            return self._on_run(peer, message)
        if isinstance(message, TicketedAnswer):
            return self._on_answer(message)
        if isinstance(message, HandOverTickets):
            return self._on_hand_over(peer, message)
        if isinstance(message, TicketsTaken):
            origin = (message.node, message.origin_incarnation, message.salt)
            self._hand_overs.pop(origin, None)
        if isinstance(message, TicketsHeld):
            return self._on_held(message)
        return []

    def finish(self, call, answer, code=""):
        """Record the end of a call that `Start` began, and answer all who wait.

        Parameters
        ----------
        call : TicketedCall
            The call.
        answer : Answer
            The endpoint's answer, or the verdict without one.
        code : str
            Reason if the endpoint gave no answer.

        Returns
        -------
        list of Reply or Outgoing
        """
        self.tickets.finish(call.ticket, answer)
        waiters = self._waiters_by_ticket.pop(call.ticket, [])
        return [
            self._answer(peer, call_id, code, answer, call.customer)
            for peer, call_id in waiters
        ]

    def tick(self):
        """Return what the passing of time leads to; call it a few times a second.

        Returns
        -------
        list of Reply or Outgoing
        """
        self.tickets.expire()
        now = self.clock.now()
        actions = self._resend_hand_overs(now)
        for call_id, pending in list(self.pending_by_call_id.items()):
            if now >= pending.deadline:
                del self.pending_by_call_id[call_id]
                customer = pending.call.customer
                actions.append(self._refusal(call_id, UNREACHABLE, customer))
            elif now >= pending.resend:
                actions += self._forward(call_id, pending)
        return actions

    def announce_held_ledgers(self, peer):
        """Return the messages for a node to which a link has opened.

        Parameters
        ----------
        peer : str
            Name of the node.
        """
        return [Outgoing(peer, message) for message in self.tickets.held()]

    def hand_over(self, successor, incarnation, peers):
        """Move all ledgers to one process, and return the messages for that.

        Parameters
        ----------
        successor : str
            Node that is to take them.
        incarnation : int
            Its start, wall time in ms.
        peers : list of str
            Nodes to be told.

        Returns
        -------
        list of Outgoing
        """
        news = []
        for message in self.tickets.hand_over(successor, incarnation):
            origin = (message.node, message.origin_incarnation, message.salt)
            self._hand_overs[origin] = Outgoing(successor, message)
            held = TicketsHeld(*origin, successor, incarnation)
            news += [Outgoing(peer, held) for peer in peers]
        return self._resend_hand_overs(self._next_hand_over) + news

    def count_pending(self):
        """Return the count of calls and ledgers that a shutdown has to wait for."""
        waiting = len(self.pending_by_call_id) + len(self._hand_overs)
        return waiting + self.tickets.count_running()

    def _begin(self, call):
        digest = digest_call(call.method, call.service, call.path, call.body)
        return self.tickets.begin(call.ticket, call.customer, digest)

    def _decide(self, decision, call, peer, call_id):
        waiters = self._waiters_by_ticket.setdefault(call.ticket, [])
        if isinstance(decision, RunHere):
            waiters.append((peer, call_id))
            return [Start(call)]
        if isinstance(decision, Join):
            if (peer, call_id) in waiters:
                return []
            if len(waiters) < MAX_WAITERS:
                waiters.append((peer, call_id))
                return []
            decision = BUSY
        if not waiters:
            del self._waiters_by_ticket[call.ticket]
        if isinstance(decision, Answer):
            return [self._answer(peer, call_id, "", decision, call.customer)]
        return [self._refuse(peer, call_id, decision, call.customer)]

    def _on_run(self, peer, message):
        if message.incarnation != self.tickets.incarnation:
            return [self._refuse(peer, message.call_id, GONE, message.customer)]
        call = from_message(message)
        decision = self._begin(call)
        if not isinstance(decision, Forward):
            return self._decide(decision, call, peer, message.call_id)
        origin = self.tickets.origin_of(call.ticket)
        if origin not in self.tickets.holder_by_origin:
            return [self._refuse(peer, message.call_id, UNREACHABLE, call.customer)]
        held = TicketsHeld(*origin, decision.node, decision.incarnation)
        return [Outgoing(peer, held)]

    def _on_answer(self, message):
        pending = self.pending_by_call_id.pop(message.call_id, None)
        if pending is None:
            return []
        headers = tuple(tuple(pair) for pair in message.headers)
        verdict = Verdict(message.verdict)
        answer = Answer(verdict, message.status, headers, message.body)
        customer = pending.call.customer
        return [self._answer(None, message.call_id, message.code, answer, customer)]

    def _on_hand_over(self, peer, message):
        if not self.tickets.take(message):
            return []
        origin = (message.node, message.origin_incarnation, message.salt)
        return [Outgoing(peer, TicketsTaken(*origin))]

    def _on_held(self, message):
        if not self.tickets.learn_holder(message):
            return []
        origin = (message.node, message.origin_incarnation, message.salt)
        actions = []
        for call_id, pending in list(self.pending_by_call_id.items()):
            if self.tickets.origin_of(pending.call.ticket) == origin:
                actions += self._forward(call_id, pending)
        return actions

    def _forward(self, call_id, pending):
        call = pending.call
        decision = self._begin(call)
        if not isinstance(decision, Forward):
            del self.pending_by_call_id[call_id]
            return self._decide(decision, call, None, call_id)
        pending.resend = self.clock.now() + RESEND_MS
        message = to_message(call_id, decision.incarnation, call)
        return [Outgoing(decision.node, message)]

    def _resend_hand_overs(self, now):
        if now < self._next_hand_over:
            return []
        self._next_hand_over = self.clock.now() + RESEND_MS
        return list(self._hand_overs.values())

    def _refusal(self, call_id, refuse, customer):
        return self._refuse(None, call_id, refuse, customer)

    def _refuse(self, peer, call_id, refuse, customer):
        answer = Answer(refuse.verdict, STATUS_BY_CODE[refuse.code])
        return self._answer(peer, call_id, refuse.code, answer, customer)

    def _answer(self, peer, call_id, code, answer, customer):
        if peer is None:
            ticket = ""
            if answer.verdict is Verdict.NOT_RUN:
                ticket = self.tickets.mint(customer) or ""
            return Reply(call_id, code, answer, ticket)
        headers = [list(pair) for pair in answer.headers]
        verdict = answer.verdict.value
        message = TicketedAnswer(
            call_id, verdict, code, answer.status, headers, answer.body
        )
        return Outgoing(peer, message)
