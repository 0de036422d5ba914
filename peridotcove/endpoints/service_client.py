"""Calls to plain services, over connections that are used once where it matters.

libcurl sends a request again by itself when a reused connection closes before an
answer. A call that may not be repeated therefore gets a connection of its own, and a
gate before the wire that lets it pass once.
"""

import pycurl
from attrs import frozen
from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPRequest
from tornado.httputil import HTTPHeaders, HTTPInputError

from peridotcove.clock import MS_PER_S
from peridotcove.curl import CurlClient
from peridotcove.exceptions import EndpointFailed, RequestError
from peridotcove.ledger import Answer
from peridotcove.verdict import Verdict

MAX_CALLS = 1000
MAX_ANSWER_BYTES = 4 << 20
CONNECT_MS = 2_000

BODILESS_STATUS = (204, 304)
KEY_HEADER = "Idempotency-Key"


@frozen
class HttpCall:
    """One call of a service.

    Attributes
    ----------
    method : str
        HTTP method in capitals.
    path : str
        Path and query below the service, with a leading slash.
    headers : tuple of tuple
        Names and values to pass on.
    body : bytes
        Whole body.
    key : str
        Ticket of a call that may not be repeated, or empty.
    """

    method: str
    path: str
    headers: tuple = ()
    body: bytes = b""
    key: str = ""


class ServiceClient:
    """HTTP client for endpoints of plain services.

    Parameters
    ----------
    connect_ms : int
        Longest wait in ms for a connection.
    """

    def __init__(self, connect_ms=CONNECT_MS):
        self._connect_ms = connect_ms
        self._client = CurlClient(
            force_instance=True,
            max_transfers=MAX_CALLS,
            defaults={"decompress_response": False},
        )
        self._client.max_body_size = MAX_ANSWER_BYTES

    def close(self):
        """Close all connections."""
        self._client.close()

    async def call(self, url, call, timeout_ms, repeatable, before_send=None):
        """Return the endpoint's whole answer.

        Parameters
        ----------
        url : str
            Base URL of the endpoint.
        call : Call
            What to send.
        timeout_ms : int
            Longest wait in ms for the whole answer.
        repeatable : bool
            Whether the call may run more than once.
        before_send : callable or None
            Called just before anything is sent; an exception that it raises stops the
            call.

        Raises
        ------
        EndpointFailed
            With the verdict "not run" only if nothing was sent.
        RequestError
            What `before_send` raised.
        """
        gate = _Gate(repeatable, before_send)
        try:
            request = self._make_request(url, call, timeout_ms, gate)
            response = await self._client.fetch(request, raise_error=False)
        except CurlError as error:
            raise _explain(error, gate) from None
        except (ValueError, LookupError, HTTPInputError) as error:
            text = f"the call can't be put into HTTP: {error}"
            raise EndpointFailed("bad-call", text, Verdict.NOT_RUN, 400) from None
        _check_whole(response, call.method)
        headers = tuple(response.headers.get_all())
        return Answer(Verdict.RAN, response.code, headers, response.body)

    def _make_request(self, url, call, timeout_ms, gate):
        headers = HTTPHeaders()
        for name, value in call.headers:
            headers.add(name, value)
        if call.key:
            headers[KEY_HEADER] = call.key

        has_body = bool(call.body) or call.method in ("POST", "PUT", "PATCH")
        return HTTPRequest(
            url.rstrip("/") + call.path,
            method=call.method,
            headers=headers,
            body=call.body if has_body else None,
            allow_nonstandard_methods=True,
            follow_redirects=False,
            decompress_response=False,
            connect_timeout=self._connect_ms / MS_PER_S,
            request_timeout=timeout_ms / MS_PER_S,
            prepare_curl_callback=gate.prepare,
        )


class _Gate:
    """Lets one call pass to the wire, and knows whether it did."""

    def __init__(self, repeatable, before_send):
        self.sent = False
        self.error = None
        self._repeatable = repeatable
        self._check = before_send

    def prepare(self, curl):
        curl.setopt(pycurl.NOPROXY, "*")
        curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        curl.setopt(pycurl.PREREQFUNCTION, self._before_send)
        if not self._repeatable:
            curl.setopt(pycurl.FRESH_CONNECT, 1)
            curl.setopt(pycurl.FORBID_REUSE, 1)

    def _before_send(self, *addresses):
        if self.sent and not self._repeatable:
            return pycurl.PREREQFUNC_ABORT
        try:
            if self._check is not None:
                self._check()
        except RequestError as error:
            self.error = error
            return pycurl.PREREQFUNC_ABORT
        self.sent = True
        return pycurl.PREREQFUNC_OK


def _explain(error, gate):
    if not gate.sent:
        text = f"no connection to the endpoint: {error}"
        return gate.error or EndpointFailed("unreachable", text, Verdict.NOT_RUN, 503)
    code = "timeout" if error.errno == pycurl.E_OPERATION_TIMEDOUT else "cut"
    status = 504 if code == "timeout" else 502
    text = f"no whole answer from the endpoint: {error}"
    return EndpointFailed(code, text, Verdict.MAY_HAVE_RUN, status)


def _check_whole(response, method):
    if method == "HEAD" or response.code in BODILESS_STATUS:
        return
    headers = response.headers
    chunked = "chunked" in headers.get("Transfer-Encoding", "").lower()
    if not chunked and "Content-Length" not in headers:
        text = "the end of the endpoint's answer can't be told"
        raise EndpointFailed("cut", text, Verdict.MAY_HAVE_RUN)
