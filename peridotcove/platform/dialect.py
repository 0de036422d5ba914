"""Header fields of requests to servers and of their answers."""

from peridotcove.forwarding_types import Dialect, ResponseHead

CONNECTION_FIELDS = frozenset(
    (
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
# Fields by which the system speaks to servers; a caller's own are never passed on.
SYSTEM_FIELDS = frozenset(
    (
        "api-key",
        "kv-fetch",
        "kv-from",
        "x-deadline-ms",
        "x-expect-instance",
        "x-expect-version",
        "x-hold",
        "x-kv-backup",
        "x-pin-ms",
        "x-request-priority",
        "x-server-stamp",
        "x-tenant",
    )
)
REQUEST_ID = "X-Request-Id"
DEADLINE = "X-Deadline-Ms"
# A server's signature on its answers.
STAMP = "X-Server-Stamp"
NOT_RUN = "X-Not-Run"
RESUME_AFTER = "Last-Event-Id"
MISDIRECTED = 421
MAX_PRIORITY = 9


def keep_fields(headers, dropped):
    """Return the header fields that concern more than one connection.

    Parameters
    ----------
    headers : tornado.httputil.HTTPHeaders
        Header fields as they came.
    dropped : frozenset of str
        Further names in lower case that are left out.

    Returns
    -------
    tuple of tuple
        Names and values.
    """
    named = {
        token.strip().lower()
        for value in headers.get_list("Connection")
        for token in value.split(",")
    }
    out = CONNECTION_FIELDS | dropped | named
    return tuple(
        (name, value) for name, value in headers.get_all() if name.lower() not in out
    )


class ServerDialect(Dialect):
    """How requests to the users' servers and their answers are written."""

    def write_headers(self, forward, attempt):
        """Return the header fields of one try, as pairs of name and value.

        Parameters
        ----------
        forward : Forward
            The request.
        attempt : Attempt
            The engine and what the try is to tell it.
        """
        own = {
            DEADLINE: str(attempt.left_ms),
            "X-Expect-Instance": attempt.engine.name,
        }
        if forward.customer is not None:
            own["X-Tenant"] = forward.customer.name
        if forward.route.sticky:
            own["X-Request-Priority"] = str(min(attempt.priority, MAX_PRIORITY))
        if attempt.source is not None:
            own["Kv-Fetch"] = attempt.source.url.removeprefix("http://")
        if attempt.resume_after:
            own[RESUME_AFTER] = attempt.resume_after
        kept = [pair for pair in forward.headers if pair[0] not in own]
        return [*kept, *own.items()]

    def read_head(self, forward, status, headers):
        """Return the `ResponseHead` of an answer.

        Parameters
        ----------
        forward : Forward
            The request.
        status : int
            HTTP status.
        headers : tornado.httputil.HTTPHeaders
            Header fields as the server sent them.
        """
        kept = keep_fields(headers, frozenset())
        not_run = NOT_RUN in headers or status == MISDIRECTED
        return ResponseHead(
            status, kept, not_run, _find_fault(forward, status, headers)
        )


def _find_fault(forward, status, headers):
    answered = headers.get(REQUEST_ID, forward.request_id_text)
    if answered != forward.request_id_text:
        return f"the answer is that of request {answered}"
    if 200 <= status < 300 and STAMP not in headers:
        return "the answer has no signature"
    return ""
