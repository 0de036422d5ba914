"""Messages for ticketed calls, which run at most once."""

from attrs import frozen

from peridotcove.nodes.messages import message


@message(30)
@frozen
class RunTicketed:
    """Forwards a ticketed call to the process that holds its ticket.

    Attributes
    ----------
    call_id : bytes
        Unique id of the call, 8 bytes; repeated in the answer.
    incarnation : int
        Start time of the process that the call is for; any other process ignores it.
    ticket, customer : str
        Ticket, and customer that presented it.
    method, service, path : str
        HTTP method, name of the service, and path within the service with query.
    headers : list
        Header fields as pairs of name and value.
    body : bytes
        Complete body.
    """

    call_id: bytes
    incarnation: int
    ticket: str
    customer: str
    method: str
    service: str
    path: str
    headers: list
    body: bytes


@message(31)
@frozen
class TicketedAnswer:
    """Result of a forwarded call.

    Attributes
    ----------
    call_id : bytes
        Id of the call.
    verdict : str
        Value of `peridotcove.verdict.Verdict`.
    code : str
        Code of a refusal; empty if the message carries an endpoint's answer.
    status : int
        HTTP status.
    headers : list
        Header fields as pairs of name and value.
    body : bytes
        Complete body.
    """

    call_id: bytes
    verdict: str
    code: str
    status: int
    headers: list
    body: bytes


@message(32)
@frozen
class HandOverTickets:
    """Transfers the ledger of a leaving node to its new holder.

    From then on, only the receiving process decides whether a ticket may run.

    Attributes
    ----------
    incarnation : int
        Start time of the process that the ledger is for; any other refuses it.
    node, origin_incarnation, salt : str, int, bytes
        Process that issued the tickets.
    elapsed_ms, until_ms : int
        Time in ms since the start of that process: now, and when its last ticket
        expires.
    floor : int
        Tickets with a lower number and without an entry were evicted.
    entries : list
        For each ticket its number, digest, expiry and outcome, and status, headers and
        body of its answer if that is kept.
    """

    incarnation: int
    node: str
    origin_incarnation: int
    salt: bytes
    elapsed_ms: int
    until_ms: int
    floor: int
    entries: list


@message(33)
@frozen
class TicketsTaken:
    """Confirms that a ledger was received.

    Attributes
    ----------
    node, origin_incarnation, salt : str, int, bytes
        Process that issued the tickets.
    """

    node: str
    origin_incarnation: int
    salt: bytes


@message(34)
@frozen
class TicketsHeld:
    """Announces the holder of the ledger of a process that left.

    Attributes
    ----------
    node, origin_incarnation, salt : str, int, bytes
        Process that issued the tickets.
    holder : str
        Node that holds the ledger.
    incarnation : int
        Wall time in ms at which the holder's process started.
    """

    node: str
    origin_incarnation: int
    salt: bytes
    holder: str
    incarnation: int
