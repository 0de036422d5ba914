"""Mints tickets and decides which process may run the call of a ticket.

Each process has a ledger of the tickets that it minted, and only the holder of this
ledger may run their calls. The holder is the process itself, or one successor to which
the ledger was handed over; a ledger is never copied. If the holder is lost, the calls
of its tickets are never run again.
"""

import secrets

from peridotcove.ledger import ForwardTo, Ledger, Refuse
from peridotcove.nodes.ticketed_call_messages import HandOverTickets, TicketsHeld
from peridotcove.ticket_codec import InvalidTicket, Ticket, decode_ticket, encode_ticket
from peridotcove.verdict import Verdict

SALT_BYTES = 4
DEFAULT_TICKET_LIFETIME_MS = 3_600_000

INVALID = Refuse("ticket-invalid", Verdict.MAY_HAVE_RUN)
OTHER_CUSTOMER = Refuse("ticket-of-other-customer", Verdict.MAY_HAVE_RUN)
HOME_GONE = Refuse("ticket-home-gone", Verdict.MAY_HAVE_RUN)


class TicketAuthority:
    """Mints tickets, and holds the ledgers of this process and those handed over to it.

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
        Random bytes of this process; generated if None.

    Attributes
    ----------
    ticket_ms : int
        Lifetime of new tickets in ms.
    origin : tuple
        Identity of this process: node, incarnation and salt.
    ledger_by_origin : dict of tuple to Ledger
        Ledgers held here, by the process that minted their tickets.
    holder_by_origin : dict of tuple to ForwardTo
        Processes that hold ledgers which were handed over.
    """

    def __init__(self, node, incarnation, secret, clock, salt=None):
        self.node = node
        self.incarnation = incarnation
        self.clock = clock
        self.ticket_ms = DEFAULT_TICKET_LIFETIME_MS
        self.origin = (node, incarnation, salt or secrets.token_bytes(SALT_BYTES))
        self.ledger_by_origin = {self.origin: Ledger(clock)}
        self.holder_by_origin = {}
        self._accepted_origins = set()
        self._secret = secret
        self._minted_count = 0

    def mint(self, customer):
        """Return the text of a new ticket, or None once the ledger was handed over.

        Parameters
        ----------
        customer : str
            Customer that the ticket is minted for.
        """
        ledger = self.ledger_by_origin.get(self.origin)
        if ledger is None:
            return None
        expires = ledger.get_elapsed_ms() + self.ticket_ms
        ledger.until_ms = max(ledger.until_ms, expires)
        ticket = Ticket(*self.origin, self._minted_count, expires, customer)
        self._minted_count += 1
        return encode_ticket(ticket, self._secret)

    def begin(self, text, customer, digest):
        """Return the decision about a call with a ticket; mark the ticket as used.

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
        RunHere, Join, Answer, ForwardTo or Refuse
            `RunHere` is returned at most once for each ticket, over all processes.
        """
        try:
            ticket = decode_ticket(text, self._secret)
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
            return HOME_GONE
        return ForwardTo(ticket.node, ticket.incarnation)

    def finish(self, text, answer):
        """Record the outcome of a call for which `begin` returned `RunHere`.

        Parameters
        ----------
        text : str
            The ticket.
        answer : Answer
            Answer to the call.
        """
        ticket = decode_ticket(text, self._secret)
        ledger = self.ledger_by_origin.get(ticket.origin)
        if ledger is not None:
            ledger.finish(ticket.sequence, answer)

    def get_origin(self, text):
        """Return the origin of a valid ticket: the process that minted it.

        Parameters
        ----------
        text : str
            The ticket.
        """
        return decode_ticket(text, self._secret).origin

    def expire(self):
        """Remove answers and tickets whose retention time is over."""
        for ledger in self.ledger_by_origin.values():
            ledger.expire()

    def count_running(self):
        """Return the number of ticketed calls in progress here."""
        return sum(ledger.count_running() for ledger in self.ledger_by_origin.values())

    def hand_over(self, successor, incarnation):
        """Hand over all ledgers and return the messages that move them.

        After this call the process runs no ticketed call. The messages may be resent,
        but only to the same process; if it does not accept them, the calls of these
        tickets are never run.

        Parameters
        ----------
        successor : str
            Node that takes over the ledgers.
        incarnation : int
            Start of the successor's process, wall time in ms.

        Returns
        -------
        list of HandOverTickets
        """
        moved = []
        for origin, ledger in self.ledger_by_origin.items():
            times = (ledger.get_elapsed_ms(), ledger.until_ms, ledger.floor)
            moved.append(HandOverTickets(incarnation, *origin, *times, ledger.dump()))
            self.holder_by_origin[origin] = ForwardTo(successor, incarnation)
        self.ledger_by_origin = {}
        return moved

    def accept_ledger(self, message):
        """Accept a ledger and return whether this process holds it or has held it.

        Parameters
        ----------
        message : HandOverTickets
            The ledger; a duplicate of an earlier message changes nothing.
        """
        if message.incarnation != self.incarnation:
            return False
        origin = (message.node, message.origin_incarnation, message.salt)
        if origin != self.origin and origin not in self._accepted_origins:
            times = (message.elapsed_ms, message.until_ms, message.floor)
            ledger = Ledger(self.clock, *times)
            ledger.load(message.entries)
            self.ledger_by_origin[origin] = ledger
            self._accepted_origins.add(origin)
        return True

    def set_holder(self, message):
        """Record which process holds a ledger; return whether the holder changed.

        Parameters
        ----------
        message : TicketsHeld
            The ledger and its holder.
        """
        origin = (message.node, message.origin_incarnation, message.salt)
        holder = ForwardTo(message.holder, message.incarnation)
        known = self.holder_by_origin.get(origin)
        if holder in (known, ForwardTo(self.node, self.incarnation)):
            return False
        self.holder_by_origin[origin] = holder
        return True

    def make_held_messages(self):
        """Return a `TicketsHeld` for each ledger handed over to this process."""
        return [
            TicketsHeld(*origin, self.node, self.incarnation)
            for origin, ledger in self.ledger_by_origin.items()
            if origin != self.origin and not ledger.is_expired()
        ]
