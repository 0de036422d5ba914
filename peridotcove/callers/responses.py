"""How answers look to callers: header fields and error bodies."""

import json
import math

from peridotcove.exceptions import TicketRefused
from peridotcove.verdict import Verdict

VERDICT = "Peridotcove-Verdict"
CONTINUATION = "Peridotcove-Continuation"
TICKET = "Peridotcove-Ticket"
REQUEST_ID = "X-Request-Id"

TYPE_BY_STATUS = {
    400: "invalid_request_error",
    401: "authentication_error",
    404: "invalid_request_error",
    413: "invalid_request_error",
    428: "ticket_required",
    429: "rate_limit_error",
}


def describe_error(error, request_id):
    """Return the JSON body for an error, in the form that clients of chats expect.

    Parameters
    ----------
    error : RequestError
        The error.
    request_id : str
        Id of the request.
    """
    kind = TYPE_BY_STATUS.get(error.status, "server_error")
    fields = {
        "message": error.message,
        "type": kind,
        "code": error.code,
        "verdict": error.verdict.value,
        "request_id": request_id,
    }
    return json.dumps({"error": fields}).encode()


def set_error(handler, error, request_id):
    """Fill a tornado handler with the answer for an error.

    Parameters
    ----------
    handler : tornado.web.RequestHandler
        The handler; nothing may have been written to it.
    error : RequestError
        The error.
    request_id : str
        Id of the request.
    """
    handler.clear()
    handler.set_status(error.status)
    handler.set_header("Content-Type", "application/json")
    handler.set_header(REQUEST_ID, request_id)
    handler.set_header(VERDICT, error.verdict.value)
    if isinstance(error, TicketRefused) and error.ticket:
        handler.set_header(TICKET, error.ticket)
    wait_ms = error.retry_after_ms
    if wait_ms is None and error.verdict is Verdict.NOT_RUN and error.status >= 500:
        wait_ms = 1000
    if wait_ms is not None:
        handler.set_header("Retry-After", str(max(1, math.ceil(wait_ms / 1000))))
    handler.write(describe_error(error, request_id))
