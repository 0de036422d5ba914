"""Messages between nodes about requests that may not be repeated."""

from attrs import frozen

from peridotcove.nodes.messages import message


@message(30)
@frozen
class RunTicketed:
    """The single copy of a request moves to the process that decides about it.

    Attributes
    ----------
    call_id : bytes
        Unique id of the call, 8 bytes; the answer carries it.
    incarnation : int
        Process that it is meant for, by its start; any other does nothing.
    ticket, customer : str
        The ticket and the customer that showed it.
    method, service, path : str
        The call; the path is below the service and has its query.
    headers : list
        Pairs of name and value.
    body : bytes
        Whole body.
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
    """What the deciding process says about a request.

    Attributes
    ----------
    call_id : bytes
        Id of the call.
    verdict : str
        Value of `peridotcove.verdict.Verdict`.
    code : str
        Reason of a refusal, or empty when an endpoint's answer follows.
    status : int
        HTTP status.
    headers : list
        Pairs of name and value.
    body : bytes
        Whole body.
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
    """A leaving node's ledger moves to one process, which alone decides from then on.

    Attributes
    ----------
    incarnation : int
        Process that it is meant for, by its start; any other refuses it.
    node, origin_incarnation, salt : str, int, bytes
        Process that minted the tickets.
    elapsed_ms, until_ms : int
        Time in ms since that process started: now, and at the end of its last ticket.
    floor : int
        Tickets below this number without an entry were forgotten.
    entries : list
        For each ticket its number, digest, end and outcome, and if its answer is kept
        then its status, headers and body.
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
    """The process that a ledger was handed to has it.

    Attributes
    ----------
    node, origin_incarnation, salt : str, int, bytes
        Process that minted the tickets.
    """

    node: str
    origin_incarnation: int
    salt: bytes


@message(34)
@frozen
class TicketsHeld:
    """Who decides about the tickets of a process that left.

    Attributes
    ----------
    node, origin_incarnation, salt : str, int, bytes
        Process that minted the tickets.
    holder : str
        Node that decides now.
    incarnation : int
        Its start, wall time in ms.
    """

    node: str
    origin_incarnation: int
    salt: bytes
    holder: str
    incarnation: int


@message(35)
@frozen
class AskLeaving:
    """A node that was paused asks which endpoints are leaving.

    Attributes
    ----------
    asked_ms : int
        Time in ms of the asking node's clock.
    """

    asked_ms: int


@message(36)
@frozen
class EndpointsLeaving:
    """A node tells which engines and endpoints are leaving.

    Attributes
    ----------
    names : list
        Their names.
    asked_ms : int
        From the question that this answers, or -1 if nobody asked.
    """

    names: list
    asked_ms: int = -1
