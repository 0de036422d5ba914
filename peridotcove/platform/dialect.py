"""Header fields of requests to the platform's servers and of their answers."""

from attrs import evolve

from peridotcove.engine_notices import (
    NO_NOTICE,
    read_cold_time,
    read_max_refusals,
    read_pause,
)
from peridotcove.forwarding_types import Dialect, ResponseHead
from peridotcove.json_values import decode_json

HOP_BY_HOP_HEADERS = frozenset(
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
# Fields that only this system may send to servers; those of callers are dropped.
INTERNAL_HEADERS = frozenset(
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
REQUEST_ID_HEADER = "X-Request-Id"
DEADLINE_HEADER = "X-Deadline-Ms"
# Signature that a server adds to its answers.
SIGNATURE_HEADER = "X-Server-Stamp"
NOT_RUN_HEADER = "X-Not-Run"
RESUME_AFTER_HEADER = "Last-Event-Id"
# Id of the request that brought the first event of a stream that a client takes up.
RESUMES_HEADER = "Resumes"
# Largest page on which a server tells of itself; its values take many times its size.
MAX_ABOUT_BYTES = 1 << 18
LEAVING_HEADER = "Server-Leaving"
LEAVING_VALUE = "1"
RETRY_AFTER_HEADER = "Retry-After"
# Number of requests that a server can turn away in a second without falling over.
BRITTLE_HEADER = "Server-Brittle"
# Time in ms for which a server stays cold, in answers to health checks.
COLD_HEADER = "X-Cold-Ms"
# Requests running and waiting, slots, and of some servers how long work takes now.
LOAD_HEADER = "X-Server-Load"
LOAD_FIGURES = 4
MAX_LOAD_CHARS = 64
MAX_SLOWNESS = 1_000
FULL_STATUS = 503
MISDIRECTED_STATUS = 421
EXPECTED_ID_HEADER = "X-Expect-Instance"
ID_HEADER = "X-Instance-Id"
# Page of a model server about itself.
REPORT_PATH = "/report"
MAX_PRIORITY = 9


def filter_headers(headers, dropped):
    """Return the end-to-end header fields of a message.

    Parameters
    ----------
    headers : tornado.httputil.HTTPHeaders
        Received header fields.
    dropped : frozenset of str
        Further names to leave out, in lower case.

    Returns
    -------
    tuple of tuple
        Pairs of name and value.
    """
    named = {
        token.strip().lower()
        for value in headers.get_list("Connection")
        for token in value.split(",")
    }
    excluded = HOP_BY_HOP_HEADERS | dropped | named
    return tuple(
        (name, value)
        for name, value in headers.get_all()
        if name.lower() not in excluded
    )


class ServerDialect(Dialect):
    """Encodes requests to the platform's servers and decodes their answers."""

    def write_headers(self, forward, attempt):
        """Return the header fields of one attempt, as pairs of name and value.

        Parameters
        ----------
        forward : ForwardedRequest
            Request to send.
        attempt : Attempt
            Engine of the attempt and the values to send to it.
        """
        added = {
            DEADLINE_HEADER: str(attempt.left_ms),
            EXPECTED_ID_HEADER: attempt.engine.name,
        }
        if forward.customer is not None:
            customer = forward.customer
            added["X-Tenant"] = _encode_text(customer.label or customer.name)
        if forward.route.sticky:
            added["X-Request-Priority"] = str(min(attempt.priority, MAX_PRIORITY))
        if attempt.source is not None:
            added["Kv-Fetch"] = attempt.source.url.removeprefix("http://")
        if attempt.resume_after:
            added[RESUME_AFTER_HEADER] = attempt.resume_after
        kept = [pair for pair in forward.headers if pair[0] not in added]
        return [*kept, *added.items()]

    def make_life_check(self, engine, model):
        """Return path and headers of a question to a server about itself.

        Parameters
        ----------
        engine : Engine
            The server. Another one at its address answers with 421.
        model : Model
            Its service.
        """
        # A model server tells of itself without a slot.
        path = REPORT_PATH if engine.shares_cache else model.health_path
        return path, {EXPECTED_ID_HEADER: engine.name}

    def confirms_life(self, engine, response):
        """Return whether an answer to that question is one of the same incarnation.

        An answer without an id, a start time or a status that only the server with the
        expected id gives is no sign of life.

        Parameters
        ----------
        engine : Engine
            The server that was meant.
        response : EndpointResponse
            Its answer, or that of another server at its address.
        """
        if response.headers.get(ID_HEADER, engine.name) != engine.name:
            return False
        if len(response.body) > MAX_ABOUT_BYTES:
            return False
        born = _read_born(response.body)
        if engine.incarnation and born is not None and born != engine.incarnation:
            return False
        if ID_HEADER in response.headers:
            return response.status != MISDIRECTED_STATUS
        return response.status in (200, FULL_STATUS)

    def read_head(self, forward, status, headers):
        """Return the `ResponseHead` of an answer.

        Parameters
        ----------
        forward : ForwardedRequest
            Request that was sent.
        status : int
            HTTP status.
        headers : tornado.httputil.HTTPHeaders
            Header fields that the server sent.
        """
        kept = filter_headers(headers, frozenset())
        not_run = NOT_RUN_HEADER in headers or status == MISDIRECTED_STATUS
        fault = _find_fault(forward, status, headers)
        # An answer with a fault may be that of another server.
        notice = NO_NOTICE if fault else self.read_notice(status, headers)
        slowness = 0 if fault else read_slowness(headers)
        return ResponseHead(status, kept, not_run, fault, notice, slowness)

    def read_notice(self, status, headers):
        """Return the `Notice` of a server's answer; see `read_notice`.

        Parameters
        ----------
        status : int
            HTTP status.
        headers : tornado.httputil.HTTPHeaders
            Header fields that the server sent.
        """
        return read_notice(status, headers)


def read_notice(status, headers):
    """Return the `Notice` of a server's answer.

    Parameters
    ----------
    status : int
        HTTP status; with 421 another server answered than was meant.
    headers : tornado.httputil.HTTPHeaders
        Header fields that the server sent.
    """
    notice = NO_NOTICE
    if status == FULL_STATUS and RETRY_AFTER_HEADER in headers:
        notice = read_pause(headers[RETRY_AFTER_HEADER])
    if status == FULL_STATUS and {NOT_RUN_HEADER, BRITTLE_HEADER} <= headers.keys():
        brittle = read_max_refusals(headers[BRITTLE_HEADER].strip())
        notice = evolve(
            notice,
            max_refusals=brittle.max_refusals,
            fault=notice.fault or brittle.fault,
        )
    is_leaving = headers.get(LEAVING_HEADER) == LEAVING_VALUE
    if is_leaving and status != MISDIRECTED_STATUS:
        notice = evolve(notice, is_leaving=True)
    if COLD_HEADER in headers and status != MISDIRECTED_STATUS:
        cold = read_cold_time(headers[COLD_HEADER].strip())
        if cold != NO_NOTICE:
            fault = notice.fault or cold.fault
            notice = evolve(notice, cold_ms=cold.cold_ms, fault=fault)
    return notice


def read_slowness(headers):
    """Return how long work takes on a server's machine, in percent of the usual time.

    Returns 0 if the server doesn't say it or if the figure can't be true. A figure that
    is too large to matter is lowered.

    Parameters
    ----------
    headers : tornado.httputil.HTTPHeaders
        Header fields that the server sent.
    """
    figures = headers.get(LOAD_HEADER, "")[:MAX_LOAD_CHARS].split(",")
    if len(figures) < LOAD_FIGURES:
        return 0
    figure = figures[LOAD_FIGURES - 1].strip()
    if not (figure.isascii() and figure.isdigit()):
        return 0
    return min(int(figure), MAX_SLOWNESS)


def _encode_text(text):
    """Return text whose characters are the bytes of its UTF-8 form."""
    return text.encode("utf-8", "surrogatepass").decode("latin-1")


def _read_born(body):
    """Return the start time in what a server says of itself, or None."""
    try:
        born = decode_json(body).get("born")
    except (ValueError, AttributeError):
        return None
    return born if type(born) is int else None


def _find_fault(forward, status, headers):
    answered = headers.get(REQUEST_ID_HEADER, forward.request_id_text)
    if answered != forward.request_id_text:
        return f"the answer belongs to request {answered}"
    if 200 <= status < 300 and SIGNATURE_HEADER not in headers:
        return "the answer has no signature"
    return ""
