"""Forwards ticketed calls to the process that holds their ledger, and answers back.

Messages between nodes may be lost, delayed, duplicated or reordered. A call is run only
by the process for which `TicketAuthority.begin` returned `RunHere`. Any other process
that can't find out the outcome answers "may have run".
"""

from peridotcove.ledger import Answer, ForwardTo, Join, RunHere
from peridotcove.nodes.network import OutgoingMessage
from peridotcove.nodes.ticketed_call_messages import (
    HandOverTickets,
    RunTicketed,
    TicketedAnswer,
    TicketsHeld,
    TicketsTaken,
)
from peridotcove.ticket_authority import HOME_GONE
from peridotcove.ticket_codec import digest_call
from peridotcove.ticketed_calls import (
    BODY_TOO_LARGE,
    HOME_OUTSIDE,
    HOME_UNREACHABLE,
    MAX_BODY_BYTES,
    REPEAT_TOO_LARGE,
    STATUS_BY_CODE,
    TICKET_IN_USE,
    TICKET_NEEDED,
    CallerReply,
    PendingCall,
    StartCall,
    make_run_message,
    read_run_message,
)
from peridotcove.verdict import Verdict

RESEND_INTERVAL_MS = 500
MAX_WAITERS_PER_TICKET = 8


class TicketedCallCoordinator:
    """Decides what happens to the ticketed calls of one node.

    It does no input or output: its methods return actions, which a
    `TicketedCallExecutor` performs.

    Parameters
    ----------
    ticket_authority : TicketAuthority
        Decides which process may run the call of a ticket.
    clock : Clock
        Time in ms.
    may_forward : callable
        Called with the names of a node and of a customer; whether the body of a call of
        the customer may be sent to the node.

    Attributes
    ----------
    pending_by_call_id : dict of bytes to PendingCall
        Calls of this node's callers that were forwarded to another process.
    """

    def __init__(
        self, ticket_authority, clock, may_forward=lambda node, customer: True
    ):
        self.ticket_authority = ticket_authority
        self.clock = clock
        self._may_forward = may_forward
        self.pending_by_call_id = {}
        self._waiters_by_ticket = {}
        self._hand_over_by_origin = {}
        self._next_hand_over_ms = 0

    def submit(self, call_id, call, wait_ms):
        """Handle a call of a caller of this node, and return the actions to perform.

        Parameters
        ----------
        call_id : bytes
            Unique id, 8 bytes.
        call : TicketedCall
            The call.
        wait_ms : int
            Longest wait in ms for the answer of another process.

        Returns
        -------
        list of StartCall, CallerReply or Outgoing
        """
        if len(call.body) > MAX_BODY_BYTES:
            refuse = REPEAT_TOO_LARGE if call.ticket else BODY_TOO_LARGE
            return [self._refuse_caller(call_id, refuse, call.customer)]
        if not call.ticket:
            return [self._refuse_caller(call_id, TICKET_NEEDED, call.customer)]
        decision = self._begin_call(call)
        if isinstance(decision, ForwardTo):
            pending = PendingCall(call, self.clock.now() + wait_ms)
            self.pending_by_call_id[call_id] = pending
            return self._forward_call(call_id, pending)
        return self._apply_decision(decision, call, None, call_id)

    def handle_message(self, peer, message):
        """Handle a message of another node, and return the actions to perform.

        Parameters
        ----------
        peer : str
            Name of the node.
        message : object
            A message of `peridotcove.nodes.ticketed_call_messages`.

        Returns
        -------
        list of StartCall, CallerReply or Outgoing
        """
        if isinstance(message, RunTicketed):
            return self._handle_run(peer, message)
        if isinstance(message, TicketedAnswer):
            return self._handle_answer(message)
        if isinstance(message, HandOverTickets):
            return self._handle_hand_over(peer, message)
        if isinstance(message, TicketsTaken):
            origin = (message.node, message.origin_incarnation, message.salt)
            self._hand_over_by_origin.pop(origin, None)
        if isinstance(message, TicketsHeld):
            return self._handle_held(message)
        return []

    def finish(self, call, answer, code=""):
        """Record the outcome of a call that `StartCall` began, and answer its waiters.

        Parameters
        ----------
        call : TicketedCall
            The call.
        answer : Answer
            The endpoint's answer, or only a verdict and a status if there is none.
        code : str
            Error code if the endpoint gave no answer.

        Returns
        -------
        list of CallerReply or Outgoing
        """
        self.ticket_authority.finish(call.ticket, answer)
        waiters = self._waiters_by_ticket.pop(call.ticket, [])
        return [
            self._make_answer(peer, call_id, code, answer, call.customer)
            for peer, call_id in waiters
        ]

    def tick(self):
        """Resend messages and expire calls and tickets; called a few times a second.

        Returns
        -------
        list of CallerReply or Outgoing
        """
        self.ticket_authority.expire()
        now = self.clock.now()
        actions = self._resend_hand_overs(now)
        for call_id, pending in list(self.pending_by_call_id.items()):
            if now >= pending.deadline_ms:
                del self.pending_by_call_id[call_id]
                customer = pending.call.customer
                actions.append(self._refuse_caller(call_id, HOME_UNREACHABLE, customer))
            elif now >= pending.resend_ms:
                actions += self._forward_call(call_id, pending)
        return actions

    def announce_held_ledgers(self, peer):
        """Return messages that announce the ledgers handed over to this node.

        They are sent to a node when a link to it opens.

        Parameters
        ----------
        peer : str
            Name of the node.
        """
        return [
            OutgoingMessage(peer, message)
            for message in self.ticket_authority.make_held_messages()
        ]

    def hand_over(self, successor, incarnation, peers):
        """Hand over all ledgers to one process, and return the messages for that.

        Parameters
        ----------
        successor : str
            Node that takes over the ledgers.
        incarnation : int
            Start of the successor's process, wall time in ms.
        peers : list of str
            Nodes that are informed of the new holder.

        Returns
        -------
        list of Outgoing
        """
        announcements = []
        for message in self.ticket_authority.hand_over(successor, incarnation):
            origin = (message.node, message.origin_incarnation, message.salt)
            self._hand_over_by_origin[origin] = OutgoingMessage(successor, message)
            held = TicketsHeld(*origin, successor, incarnation)
            announcements += [OutgoingMessage(peer, held) for peer in peers]
        return self._resend_hand_overs(self._next_hand_over_ms) + announcements

    def count_pending(self):
        """Return the number of calls and ledgers that a shutdown must wait for."""
        waiting = len(self.pending_by_call_id) + len(self._hand_over_by_origin)
        return waiting + self.ticket_authority.count_running()

    def _begin_call(self, call):
        digest = digest_call(call.method, call.service, call.path, call.body)
        return self.ticket_authority.begin(call.ticket, call.customer, digest)

    def _apply_decision(self, decision, call, peer, call_id):
        waiters = self._waiters_by_ticket.setdefault(call.ticket, [])
        if isinstance(decision, RunHere):
            waiters.append((peer, call_id))
            return [StartCall(call)]
        if isinstance(decision, Join):
            if (peer, call_id) in waiters:
                return []
            if len(waiters) < MAX_WAITERS_PER_TICKET:
                waiters.append((peer, call_id))
                return []
            decision = TICKET_IN_USE
        if not waiters:
            del self._waiters_by_ticket[call.ticket]
        if isinstance(decision, Answer):
            return [self._make_answer(peer, call_id, "", decision, call.customer)]
        return [self._refuse(peer, call_id, decision, call.customer)]

    def _handle_run(self, peer, message):
        if message.incarnation != self.ticket_authority.incarnation:
            return [self._refuse(peer, message.call_id, HOME_GONE, message.customer)]
        call = read_run_message(message)
        decision = self._begin_call(call)
        if not isinstance(decision, ForwardTo):
            return self._apply_decision(decision, call, peer, message.call_id)
        origin = self.ticket_authority.get_origin(call.ticket)
        if origin not in self.ticket_authority.holder_by_origin:
            return [
                self._refuse(peer, message.call_id, HOME_UNREACHABLE, call.customer)
            ]
        held = TicketsHeld(*origin, decision.node, decision.incarnation)
        return [OutgoingMessage(peer, held)]

    def _handle_answer(self, message):
        pending = self.pending_by_call_id.pop(message.call_id, None)
        if pending is None:
            return []
        headers = tuple(tuple(pair) for pair in message.headers)
        verdict = Verdict(message.verdict)
        answer = Answer(verdict, message.status, headers, message.body)
        customer = pending.call.customer
        return [
            self._make_answer(None, message.call_id, message.code, answer, customer)
        ]

    def _handle_hand_over(self, peer, message):
        if not self.ticket_authority.accept_ledger(message):
            return []
        origin = (message.node, message.origin_incarnation, message.salt)
        return [OutgoingMessage(peer, TicketsTaken(*origin))]

    def _handle_held(self, message):
        if not self.ticket_authority.set_holder(message):
            return []
        origin = (message.node, message.origin_incarnation, message.salt)
        actions = []
        for call_id, pending in list(self.pending_by_call_id.items()):
            if self.ticket_authority.get_origin(pending.call.ticket) == origin:
                actions += self._forward_call(call_id, pending)
        return actions

    def _forward_call(self, call_id, pending):
        call = pending.call
        decision = self._begin_call(call)
        if not isinstance(decision, ForwardTo):
            del self.pending_by_call_id[call_id]
            return self._apply_decision(decision, call, None, call_id)
        if not self._may_forward(decision.node, call.customer):
            del self.pending_by_call_id[call_id]
            return [self._refuse_caller(call_id, HOME_OUTSIDE, call.customer)]
        pending.resend_ms = self.clock.now() + RESEND_INTERVAL_MS
        message = make_run_message(call_id, decision.incarnation, call)
        return [OutgoingMessage(decision.node, message)]

    def _resend_hand_overs(self, now):
        if now < self._next_hand_over_ms:
            return []
        self._next_hand_over_ms = self.clock.now() + RESEND_INTERVAL_MS
        return list(self._hand_over_by_origin.values())

    def _refuse_caller(self, call_id, refuse, customer):
        return self._refuse(None, call_id, refuse, customer)

    def _refuse(self, peer, call_id, refuse, customer):
        answer = Answer(refuse.verdict, STATUS_BY_CODE[refuse.code])
        return self._make_answer(peer, call_id, refuse.code, answer, customer)

    def _make_answer(self, peer, call_id, code, answer, customer):
        if peer is None:
            ticket = ""
            if answer.verdict is Verdict.NOT_RUN:
                ticket = self.ticket_authority.mint(customer) or ""
            return CallerReply(call_id, code, answer, ticket)
        headers = [list(pair) for pair in answer.headers]
        verdict = answer.verdict.value
        message = TicketedAnswer(
            call_id, verdict, code, answer.status, headers, answer.body
        )
        return OutgoingMessage(peer, message)
