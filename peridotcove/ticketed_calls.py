"""Calls that may not be repeated, what they lead to and why they are refused."""

from attrs import define, frozen

from peridotcove.ledger import Answer, Refuse
from peridotcove.nodes.once_messages import RunTicketed
from peridotcove.verdict import Verdict

MAX_BODY_BYTES = 6 << 20
MISSING = Refuse("ticket-needed", Verdict.NOT_RUN)
CLOSING = Refuse("closing", Verdict.NOT_RUN)
BUSY = Refuse("ticket-in-use", Verdict.MAY_HAVE_RUN)
UNREACHABLE = Refuse("ticket-home-unreachable", Verdict.MAY_HAVE_RUN)
TOO_LARGE = Refuse("body-too-large", Verdict.NOT_RUN)
TOO_LARGE_NOW = Refuse("body-too-large", Verdict.MAY_HAVE_RUN)

STATUS_BY_CODE = {
    "ticket-needed": 428,
    "ticket-invalid": 400,
    "ticket-of-other-customer": 403,
    "ticket-bound": 422,
    "ticket-expired": 410,
    "ticket-forgotten": 410,
    "ticket-spent": 409,
    "ticket-in-use": 409,
    "answer-not-kept": 409,
    "outcome-unknown": 409,
    "ticket-home-gone": 409,
    "ticket-home-unreachable": 503,
    "closing": 503,
    "body-too-large": 413,
}


@frozen
class TicketedCall:
    """A request that may not be repeated, as a caller made it.

    Attributes
    ----------
    ticket, customer : str
        The ticket, empty if there is none, and the customer.
    method, service, path : str
        The call; the path is below the service and has its query.
    headers : tuple of tuple
        Names and values.
    body : bytes
        Whole body.
    """

    ticket: str
    customer: str
    method: str
    service: str
    path: str
    headers: tuple = ()
    body: bytes = b""


@frozen
class Start:
    """The call is to be sent now; `TicketedCallCoordinator.finish` follows.

    Attributes
    ----------
    call : TicketedCall
        The call.
    """

    call: TicketedCall


@frozen
class Reply:
    """The answer to a caller of this node.

    Attributes
    ----------
    call_id : bytes
        Id of the call.
    code : str
        Reason of a refusal, or empty for an endpoint's answer.
    answer : Answer
        Verdict, status, headers and body.
    ticket : str
        New ticket for another try, or empty.
    """

    call_id: bytes
    code: str
    answer: Answer
    ticket: str = ""


@define
class Pending:
    """A call of this node that another process decides about.

    Attributes
    ----------
    call : TicketedCall
        The call.
    deadline : int
        End of the wait, in ms of the clock.
    resend : int
        Time of the next send, in ms of the clock.
    """

    call: TicketedCall
    deadline: int
    resend: int = 0


def to_message(call_id, incarnation, call):
    """Return the message that moves a call to another process.

    Parameters
    ----------
    call_id : bytes
        Unique id of the call.
    incarnation : int
        The process, by its start.
    call : TicketedCall
        The call.
    """
    return RunTicketed(
        call_id,
        incarnation,
        call.ticket,
        call.customer,
        call.method,
        call.service,
        call.path,
        [list(pair) for pair in call.headers],
        call.body,
    )


def from_message(message):
    """Return the call of a message.

    Parameters
    ----------
    message : RunTicketed
        The message.
    """
    return TicketedCall(
        message.ticket,
        message.customer,
        message.method,
        message.service,
        message.path,
        tuple(tuple(pair) for pair in message.headers),
        message.body,
    )
