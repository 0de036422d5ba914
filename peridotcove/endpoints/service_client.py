"""HTTP client for plain services that sends non-repeatable calls at most once.

libcurl retries a request by itself if a reused connection closes before the response.
A call that may not be repeated therefore uses a new connection, and a guard stops
libcurl from sending it a second time.
"""

import pycurl
from attrs import frozen
from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPRequest
from tornado.httputil import HTTPHeaders, HTTPInputError

from peridotcove.clock import MS_PER_S
from peridotcove.curl import BODILESS_STATUSES, CurlClient
from peridotcove.exceptions import EndpointFailed, RequestError
from peridotcove.ledger import Answer
from peridotcove.verdict import Verdict

MAX_CONCURRENT_CALLS = 1000
MAX_RESPONSE_BYTES = 4 << 20
CONNECT_TIMEOUT_MS = 2_000

IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"


@frozen
class HttpCall:
    """One HTTP request to a service or an engine.

    Attributes
    ----------
    method : str
        HTTP method in upper case.
    path : str
        Path and query below the base URL, with a leading slash.
    headers : tuple of tuple
        Names and values of the header fields.
    body : bytes
        Complete body.
    idempotency_key : str
        Ticket of a call that may not be repeated, or empty; sent as
        ``Idempotency-Key``.
    """

    method: str
    path: str
    headers: tuple = ()
    body: bytes = b""
    idempotency_key: str = ""


class ServiceClient:
    """HTTP client for plain services, and for requests to engines that are not chats.

    Parameters
    ----------
    connect_ms : int
        Connect timeout in ms.
    answer_memory : AnswerMemory or None
        Bounds the unfinished responses that are held.
    """

    def __init__(self, connect_ms=CONNECT_TIMEOUT_MS, answer_memory=None):
        self._connect_ms = connect_ms
        self._client = CurlClient(
            force_instance=True,
            max_transfers=MAX_CONCURRENT_CALLS,
            max_body_bytes=MAX_RESPONSE_BYTES,
            answer_memory=answer_memory,
            defaults={"decompress_response": False},
        )

    def close(self):
        """Close all connections."""
        self._client.close()

    async def call(self, url, call, timeout_ms, repeatable, before_send=None):
        """Send a call to an endpoint and return the complete response.

        Parameters
        ----------
        url : str
            Base URL of the endpoint.
        call : HttpCall
            The request.
        timeout_ms : int
            Timeout in ms for the complete response.
        repeatable : bool
            Whether the call may run more than once; if not, it uses a new connection.
        before_send : callable or None
            Called right before the request is sent; a `RequestError` that it raises
            stops the call.

        Raises
        ------
        EndpointFailed
            With the verdict "not run" only if nothing was sent.
        RequestError
            Raised by `before_send`.
        """
        guard = _SendGuard(repeatable, before_send)
        try:
            request = self._make_request(url, call, timeout_ms, guard)
            response = await self._client.fetch(request, raise_error=False)
        except CurlError as error:
            raise _make_failure(error, guard) from None
        except (ValueError, LookupError, HTTPInputError) as error:
            text = f"the call is not a valid HTTP request: {error}"
            raise EndpointFailed("bad-call", text, Verdict.NOT_RUN, 400) from None
        _check_complete(response, call.method)
        headers = tuple(response.headers.get_all())
        return Answer(Verdict.RAN, response.code, headers, response.body)

    def _make_request(self, url, call, timeout_ms, guard):
        headers = HTTPHeaders()
        for name, value in call.headers:
            headers.add(name, value)
        if call.idempotency_key:
            headers[IDEMPOTENCY_KEY_HEADER] = call.idempotency_key

        has_body = bool(call.body) or call.method in ("POST", "PUT", "PATCH")
        return HTTPRequest(
            url.rstrip("/") + call.path,
            method=call.method,
            headers=headers,
            body=call.body if has_body else None,
            allow_nonstandard_methods=True,
            decompress_response=False,
            connect_timeout=self._connect_ms / MS_PER_S,
            request_timeout=timeout_ms / MS_PER_S,
            prepare_curl_callback=guard.prepare,
        )


class _SendGuard:
    """Prevents a second send of one call, and records whether it was sent."""

    def __init__(self, repeatable, before_send):
        self.sent = False
        self.error = None
        self._repeatable = repeatable
        self._before_send_hook = before_send

    def prepare(self, curl):
        curl.setopt(pycurl.NOPROXY, "*")
        curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        curl.setopt(pycurl.PREREQFUNCTION, self._handle_connected)
        if not self._repeatable:
            curl.setopt(pycurl.FRESH_CONNECT, 1)
            curl.setopt(pycurl.FORBID_REUSE, 1)

    def _handle_connected(self, *addresses):
        if self.sent and not self._repeatable:
            return pycurl.PREREQFUNC_ABORT
        try:
            if self._before_send_hook is not None:
                self._before_send_hook()
        except RequestError as error:
            self.error = error
            return pycurl.PREREQFUNC_ABORT
        self.sent = True
        return pycurl.PREREQFUNC_OK


def _make_failure(error, guard):
    if not guard.sent:
        text = f"could not connect to the endpoint: {error}"
        return guard.error or EndpointFailed("unreachable", text, Verdict.NOT_RUN, 503)
    code = "timeout" if error.errno == pycurl.E_OPERATION_TIMEDOUT else "cut"
    status = 504 if code == "timeout" else 502
    text = f"no complete response from the endpoint: {error}"
    return EndpointFailed(code, text, Verdict.MAY_HAVE_RUN, status)


def _check_complete(response, method):
    if method == "HEAD" or response.code in BODILESS_STATUSES:
        return
    headers = response.headers
    chunked = "chunked" in headers.get("Transfer-Encoding", "").lower()
    if not chunked and "Content-Length" not in headers:
        text = "the endpoint's response has no Content-Length and no chunks"
        raise EndpointFailed("cut", text, Verdict.MAY_HAVE_RUN)
