"""Header fields and error bodies of responses to callers."""

import json
import math

from peridotcove.exceptions import TicketRefused
from peridotcove.verdict import Verdict

VERDICT_HEADER = "Peridotcove-Verdict"
CONTINUATION_HEADER = "Peridotcove-Continuation"
TICKET_HEADER = "Peridotcove-Ticket"
REQUEST_ID_HEADER = "X-Request-Id"

ERROR_TYPE_BY_STATUS = {
    400: "invalid_request_error",
    401: "authentication_error",
    404: "invalid_request_error",
    413: "invalid_request_error",
    428: "ticket_required",
    429: "rate_limit_error",
}


def encode_error(error, request_id):
    """Return the JSON body of an error response, in the form that chat clients expect.

    Parameters
    ----------
    error : RequestError
        The error.
    request_id : str
        Id of the request.

    Returns
    -------
    bytes
        The JSON object.
    """
    error_type = ERROR_TYPE_BY_STATUS.get(error.status, "server_error")
    fields = {
        "message": error.message,
        "type": error_type,
        "code": error.code,
        "verdict": error.verdict.value,
        "request_id": request_id,
    }
    return json.dumps({"error": fields}).encode()


def write_error_response(handler, error, request_id):
    """Write the response for an error to a tornado handler.

    Parameters
    ----------
    handler : tornado.web.RequestHandler
        The handler; nothing may have been written to it before.
    error : RequestError
        The error.
    request_id : str
        Id of the request.
    """
    handler.clear()
    handler.set_status(error.status)
    handler.set_header("Content-Type", "application/json")
    handler.set_header(REQUEST_ID_HEADER, request_id)
    handler.set_header(VERDICT_HEADER, error.verdict.value)
    if isinstance(error, TicketRefused) and error.ticket:
        handler.set_header(TICKET_HEADER, error.ticket)
    wait_ms = error.retry_after_ms
    if wait_ms is None and error.verdict is Verdict.NOT_RUN and error.status >= 500:
        wait_ms = 1000
    if wait_ms is not None:
        handler.set_header("Retry-After", str(max(1, math.ceil(wait_ms / 1000))))
    handler.write(encode_error(error, request_id))
