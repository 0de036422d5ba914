"""Decides which process may run a request that may not be repeated, and when.

A ticket is minted by one process and only the holder of that process's ledger may run
it. A ledger is held by the process that minted its tickets, or it was moved to one
successor; it is never copied. When its holder is gone, nobody runs its tickets again.
"""

import secrets

from peridotcove.ledger import Forward, Ledger, Refuse
from peridotcove.nodes.once_messages import HandOverTickets, TicketsHeld
from peridotcove.ticket_codec import InvalidTicket, Ticket, read, sign
from peridotcove.verdict import Verdict

SALT_BYTES = 4
DEFAULT_TICKET_MS = 3_600_000

INVALID = Refuse("ticket-invalid", Verdict.MAY_HAVE_RUN)
OTHER_CUSTOMER = Refuse("ticket-of-other-customer", Verdict.MAY_HAVE_RUN)
GONE = Refuse("ticket-home-gone", Verdict.MAY_HAVE_RUN)


class TicketAuthority:
    """Tickets of this process and of those whose ledger it took over.

    Parameters
    ----------
    node : str
        Name of this node.
    incarnation : int
        Wall time in ms at which this process started.
    secret : bytes
        Shared secret of the nodes.
    clock : Clock
        Time in ms.
    salt : bytes or None
        Random bytes of this process; drawn when None.

    Attributes
    ----------
    ticket_ms : int
        Time in ms for which new tickets are valid.
    ledger_by_origin : dict
        Ledgers held here, by the process that minted their tickets.
    holder_by_origin : dict
        `Forward` to the process that holds a ledger which was moved.
    """

    def __init__(self, node, incarnation, secret, clock, salt=None):
        self.node = node
        self.incarnation = incarnation
        self.clock = clock
        self.ticket_ms = DEFAULT_TICKET_MS
        self.origin = (node, incarnation, salt or secrets.token_bytes(SALT_BYTES))
        self.ledger_by_origin = {self.origin: Ledger(clock)}
        self.holder_by_origin = {}
        self._taken = set()
        self._secret = secret
        self._minted = 0

    def mint(self, customer):
        """Return a new ticket, as text, or None once the ledger was handed over.

        Parameters
        ----------
        customer : str
            Customer it is for.
        """
        ledger = self.ledger_by_origin.get(self.origin)
        if ledger is None:
            return None
        expires = ledger.elapsed() + self.ticket_ms
        ledger.until_ms = max(ledger.until_ms, expires)
        ticket = Ticket(*self.origin, self._minted, expires, customer)
        self._minted += 1
        return sign(ticket, self._secret)

    def begin(self, text, customer, digest):
        """Return what a call with a ticket leads to.

        Parameters
        ----------
        text : str
            The ticket as the caller sent it.
        customer : str
            Customer that calls.
        digest : bytes
            Digest of the call, from `digest_call`.

        Returns
        -------
        RunHere, Join, Answer, Forward or Refuse
            `RunHere` is returned at most once for a ticket, on one process.
        """
        try:
            ticket = read(text, self._secret)
        except InvalidTicket:
            return INVALID
        if ticket.customer != customer:
            return OTHER_CUSTOMER
        ledger = self.ledger_by_origin.get(ticket.origin)
        if ledger is not None:
            return ledger.begin(ticket, digest)
        if ticket.origin in self.holder_by_origin:
            return self.holder_by_origin[ticket.origin]
        if ticket.node == self.node:
            return GONE
        return Forward(ticket.node, ticket.incarnation)

    def finish(self, text, answer):
        """Record what became of a request that `begin` let run.

        Parameters
        ----------
        text : str
            The ticket.
        answer : Answer
            What is told about it.
        """
        ticket = read(text, self._secret)
        ledger = self.ledger_by_origin.get(ticket.origin)
        if ledger is not None:
            ledger.finish(ticket.sequence, answer)

    def origin_of(self, text):
        """Return the process that minted a valid ticket.

        Parameters
        ----------
        text : str
            The ticket.
        """
        return read(text, self._secret).origin

    def expire(self):
        """Forget what is too old to matter."""
        for ledger in self.ledger_by_origin.values():
            ledger.expire()

    def count_running(self):
        """Return the count of requests with tickets in progress here."""
        return sum(ledger.count_running() for ledger in self.ledger_by_origin.values())

    def hand_over(self, successor, incarnation):
        """Give up all ledgers and return the messages that move them.

        From here on this process runs no ticket. The messages may be sent again, but
        only to this one process; if it does not take them, nobody runs the tickets.

        Parameters
        ----------
        successor : str
            Node that is to take them.
        incarnation : int
            Its start, wall time in ms.

        Returns
        -------
        list of HandOverTickets
        """
        moved = []
        for origin, ledger in self.ledger_by_origin.items():
            times = (ledger.elapsed(), ledger.until_ms, ledger.floor)
            moved.append(HandOverTickets(incarnation, *origin, *times, ledger.dump()))
            self.holder_by_origin[origin] = Forward(successor, incarnation)
        self.ledger_by_origin = {}
        return moved

    def take(self, message):
        """Take over a ledger and return whether it is, or was, held here.

        Parameters
        ----------
        message : HandOverTickets
            The ledger; a second copy of it changes nothing.
        """
        if message.incarnation != self.incarnation:
            return False
        origin = (message.node, message.origin_incarnation, message.salt)
        if origin != self.origin and origin not in self._taken:
            times = (message.elapsed_ms, message.until_ms, message.floor)
            ledger = Ledger(self.clock, *times)
            ledger.load(message.entries)
            self.ledger_by_origin[origin] = ledger
            self._taken.add(origin)
        return True

    def learn_holder(self, message):
        """Note who holds the ledger of a process; return whether that is news.

        Parameters
        ----------
        message : TicketsHeld
            The holder.
        """
        origin = (message.node, message.origin_incarnation, message.salt)
        holder = Forward(message.holder, message.incarnation)
        known = self.holder_by_origin.get(origin)
        if holder in (known, Forward(self.node, self.incarnation)):
            return False
        self.holder_by_origin[origin] = holder
        return True

    def held(self):
        """Return a `TicketsHeld` for each ledger that was taken over."""
        return [
            TicketsHeld(*origin, self.node, self.incarnation)
            for origin, ledger in self.ledger_by_origin.items()
            if origin != self.origin and not ledger.is_over()
        ]
