"""Types of ticketed calls, their actions and their refusals.

A ticketed call is a call that may not be repeated. Its ticket makes sure that it runs
at most once.
"""

from attrs import define, frozen

from peridotcove.ledger import Answer, Refuse
from peridotcove.nodes.ticketed_call_messages import RunTicketed
from peridotcove.verdict import Verdict

MAX_BODY_BYTES = 6 << 20
TICKET_NEEDED = Refuse("ticket-needed", Verdict.NOT_RUN)
CLOSING = Refuse("closing", Verdict.NOT_RUN)
TICKET_IN_USE = Refuse("ticket-in-use", Verdict.MAY_HAVE_RUN)
HOME_UNREACHABLE = Refuse("ticket-home-unreachable", Verdict.MAY_HAVE_RUN)
HOME_OUTSIDE = Refuse("ticket-home-outside", Verdict.MAY_HAVE_RUN)
BODY_TOO_LARGE = Refuse("body-too-large", Verdict.NOT_RUN)
REPEAT_TOO_LARGE = Refuse("body-too-large", Verdict.MAY_HAVE_RUN)

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
    "ticket-home-outside": 409,
    "ticket-home-unreachable": 503,
    "closing": 503,
    "body-too-large": 413,
}


@frozen
class TicketedCall:
    """A call that may not be repeated, as the caller sent it.

    Attributes
    ----------
    ticket, customer : str
        Text of the ticket, empty if there is none, and name of the customer.
    method, service, path : str
        HTTP method, name of the service, and path below the service with its query.
    headers : tuple of tuple
        Names and values of header fields.
    body : bytes
        Complete body.
    """

    ticket: str
    customer: str
    method: str
    service: str
    path: str
    headers: tuple = ()
    body: bytes = b""


@frozen
class StartCall:
    """Action: send the call to an endpoint, then call `TicketedCallCoordinator.finish`.

    Attributes
    ----------
    call : TicketedCall
        The call.
    """

    call: TicketedCall


@frozen
class CallerReply:
    """Action: answer a caller of this node.

    Attributes
    ----------
    call_id : bytes
        Id of the call.
    code : str
        Error code, or empty for an endpoint's answer.
    answer : Answer
        Verdict, status, headers and body.
    ticket : str
        New ticket for a retry, or empty.
    """

    call_id: bytes
    code: str
    answer: Answer
    ticket: str = ""


@define
class PendingCall:
    """A call of a caller of this node that was forwarded to another process.

    Attributes
    ----------
    call : TicketedCall
        The call.
    deadline_ms : int
        End of the wait for an answer, in ms of the clock.
    resend_ms : int
        Time of the next send, in ms of the clock.
    """

    call: TicketedCall
    deadline_ms: int
    resend_ms: int = 0


def make_run_message(call_id, incarnation, call):
    """Return the message that forwards a call to another process.

    Parameters
    ----------
    call_id : bytes
        Unique id of the call.
    incarnation : int
        Start of the other process, wall time in ms.
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


def read_run_message(message):
    """Return the call in a message.

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
