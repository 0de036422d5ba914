"""HTTP towards endpoints: tornado's curl client, with back-pressure and cancelling.

What libcurl does by itself and must not do here: it sends a request again when a reused
connection closes without an answer. Every request that may not be repeated therefore
takes a fresh connection.
"""

import asyncio

import pycurl
from attrs import define, field, frozen
from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPRequest
from tornado.httputil import HTTPHeaders

from peridotcove.endpoints.curl import CurlClient
from peridotcove.exceptions import EndpointFailed
from peridotcove.verdict import Verdict

MAX_TRANSFERS = 4_096
CONNECT_MS = 1_000
CONNECTION_AGE_S = 60
CONNECTION_IDLE_S = 20


@frozen
class Reply:
    """Head of an answer, and its body when the answer was not streamed.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tornado.httputil.HTTPHeaders
        Header fields.
    body : bytes
        Whole body, or what had not been given to the sink.
    """

    status: int
    headers: object
    body: bytes = b""


@define(eq=False)
class Transfer:
    """One request in progress.

    Attributes
    ----------
    first_byte_ms, gap_ms : int
        Longest wait in ms for the first byte of the body, and between two reads.
    sink : callable or None
        Takes each read of the body; returns true to pause the transfer.
    fresh : bool
        Whether the request must not use, or leave behind, a shared connection.
    status : int
        HTTP status of the answer; 0 before its head.
    headers : tornado.httputil.HTTPHeaders
        Header fields of the answer.
    """

    first_byte_ms: int
    gap_ms: int
    sink: object = None
    fresh: bool = False
    status: int = 0
    headers: HTTPHeaders = field(factory=HTTPHeaders)
    connected: bool = False
    curl: object = None
    paused: bool = False
    timed_out: bool = False
    cancelled: bool = False
    received: int = 0
    last_ms: int = 0
    _client: object = None

    def take_header(self, line):
        """Take one line of the answer's head.

        Parameters
        ----------
        line : bytes
            The line with its end.
        """
        text = line.decode("latin-1").strip()
        if text.startswith("HTTP/"):
            words = text.split(" ", 2)
            code = words[1] if len(words) > 1 else ""
            self.status = int(code) if code.isdigit() else 0
            self.headers = HTTPHeaders()
        elif text and ":" in text:
            self.headers.parse_line(text)

    def note_connected(self, *addresses):
        """Note that a connection stands and the request is about to be sent.

        Parameters
        ----------
        *addresses : object
            Both ends of the connection.
        """
        self.connected = True
        return pycurl.PREREQFUNC_OK

    def resume(self):
        """Go on with a paused transfer."""
        if self.paused and self.curl is not None:
            self.paused = False
            self.curl.pause(pycurl.PAUSE_CONT)

    def cancel(self):
        """End the transfer and close its connection."""
        self.cancelled = True
        if self.curl is not None:
            loop = asyncio.get_running_loop()
            loop.call_soon(self._client.cancel, self.curl)


class EndpointClient:
    """Sends requests to engines and plain services.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock):
        self._clock = clock
        self._client = CurlClient(force_instance=True, max_transfers=MAX_TRANSFERS)

    def close(self):
        """Close every connection."""
        self._client.close()

    async def fetch(self, method, url, headers, body, transfer):
        """Send one request, once, and return the reply when it has ended.

        Parameters
        ----------
        method : str
            HTTP method in capitals.
        url : str
            Whole URL.
        headers : dict
            Header fields.
        body : bytes or None
            Body of the request.
        transfer : Transfer
            How to run it; filled in while it runs.

        Returns
        -------
        Reply
            The answer, whatever its status.

        Raises
        ------
        EndpointFailed
            If there is no whole answer, with the verdict.
        """
        request = HTTPRequest(
            url,
            method=method,
            headers=headers,
            body=body,
            connect_timeout=CONNECT_MS / 1000,
            request_timeout=0,
            follow_redirects=False,
            decompress_response=False,
            allow_nonstandard_methods=True,
            prepare_curl_callback=lambda curl: self._prepare(curl, transfer),
        )
        transfer.last_ms = self._clock.now()
        watch = asyncio.create_task(self._watch(transfer))
        try:
            response = await self._client.fetch(request, raise_error=False)
        except CurlError as error:
            raise _explain(url, error, transfer) from None
        except asyncio.CancelledError:
            transfer.cancel()
            raise
        finally:
            watch.cancel()
            transfer.curl = None
        return Reply(response.code, transfer.headers, response.body or b"")

    def _prepare(self, curl, transfer):
        transfer.curl = curl
        transfer._client = self._client
        curl.setopt(pycurl.TCP_NODELAY, 1)
        curl.setopt(pycurl.MAXAGE_CONN, CONNECTION_IDLE_S)
        curl.setopt(pycurl.MAXLIFETIME_CONN, CONNECTION_AGE_S)
        if transfer.fresh:
            curl.setopt(pycurl.FRESH_CONNECT, 1)
            curl.setopt(pycurl.FORBID_REUSE, 1)
        curl.setopt(pycurl.HEADERFUNCTION, transfer.take_header)
        curl.setopt(pycurl.PREREQFUNCTION, transfer.note_connected)
        if transfer.sink is not None:
            curl.setopt(pycurl.WRITEFUNCTION, lambda data: self._take(transfer, data))

    def _take(self, transfer, data):
        if transfer.paused:
            return pycurl.WRITEFUNC_PAUSE
        transfer.received += len(data)
        transfer.last_ms = self._clock.now()
        if transfer.sink(data):
            transfer.paused = True
        return len(data)

    async def _watch(self, transfer):
        while True:
            limit = transfer.gap_ms if transfer.received else transfer.first_byte_ms
            left = transfer.last_ms + limit - self._clock.now()
            if transfer.paused:
                left = limit
            elif left <= 0:
                transfer.timed_out = True
                transfer.cancel()
                return
            await asyncio.sleep(left / 1000)


def _explain(url, error, transfer):
    if not transfer.connected:
        message = f"no connection to {url}"
        return EndpointFailed("unreachable", message, Verdict.NOT_RUN)
    if transfer.timed_out:
        message = f"{url} went silent"
        return EndpointFailed("timeout", message, Verdict.MAY_HAVE_RUN, 504)
    message = f"{url} ended its answer early: {error}"
    return EndpointFailed("cut", message, Verdict.MAY_HAVE_RUN)
