"""HTTP towards engines: tornado's curl client, with back-pressure and cancelling.

Every request takes a connection of its own. libcurl would send a request again by
itself when a reused connection closes without an answer, and an idle connection may
have gone silent; both can't happen on a fresh one, at the price of one round trip.
"""

import asyncio

import pycurl
from attrs import define, field, frozen
from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPRequest
from tornado.httputil import HTTPHeaders

from peridotcove.curl import CurlClient
from peridotcove.exceptions import EndpointFailed, RequestError
from peridotcove.verdict import Verdict

MAX_TRANSFERS = 4_096
CONNECT_MS = 1_000
WATCH_MS = 100


@frozen
class EndpointResponse:
    """Head of an answer, and its body when the answer was not streamed.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tornado.httputil.HTTPHeaders
        Header fields.
    body : bytes
        Whole body, or what had not been given to the sink.
    cached_share : float or None
        Share of the prompt that the engine says it had in its cache, if it says so.
    """

    status: int
    headers: object
    body: bytes = b""
    cached_share: float | None = None


@define(eq=False)
class Transfer:
    """One request in progress.

    Attributes
    ----------
    first_byte_ms, gap_ms, stall_ms : int
        Longest wait in ms for the first byte of the body, between two reads, and for
        the sink while it keeps the transfer paused.
    sink : callable or None
        Takes each read of the body; returns true to pause the transfer.
    before_send : callable or None
        Called right before the request is sent; the `RequestError` that it raises stops
        the request.
    status : int
        HTTP status of the answer; 0 before its head.
    headers : tornado.httputil.HTTPHeaders
        Header fields of the answer.
    connect_ms : int
        Longest wait in ms for a connection.
    """

    first_byte_ms: int
    gap_ms: int
    stall_ms: int
    sink: object = None
    before_send: object = None
    refused: object = None
    status: int = 0
    headers: HTTPHeaders = field(factory=HTTPHeaders)
    connected: bool = False
    curl: object = None
    paused: bool = False
    timed_out: bool = False
    cancelled: bool = False
    received: int = 0
    connect_ms: int = CONNECT_MS
    last_ms: int = 0
    clock: object = None
    _client: object = None

    @property
    def limit_ms(self):
        """Longest wait in ms in the present state."""
        if self.paused:
            return self.stall_ms
        return self.gap_ms if self.received else self.first_byte_ms

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
        if self.cancelled or self.connected:
            return pycurl.PREREQFUNC_ABORT
        try:
            if self.before_send is not None:
                self.before_send()
        except RequestError as error:
            self.refused = error
            return pycurl.PREREQFUNC_ABORT
        self.connected = True
        return pycurl.PREREQFUNC_OK

    def resume(self):
        """Go on with a paused transfer."""
        if self.paused and self.curl is not None:
            self.paused = False
            self.last_ms = self.clock.now()
            self.curl.pause(pycurl.PAUSE_CONT)

    def cancel(self):
        """End the transfer and close its connection."""
        self.cancelled = True
        if self.curl is not None:
            loop = asyncio.get_running_loop()
            loop.call_soon(self._client.cancel, self.curl)


class StreamingClient:
    """Sends requests to engines and plain services.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock):
        self._clock = clock
        self._transfers = set()
        self._watching = None
        self._client = CurlClient(force_instance=True, max_transfers=MAX_TRANSFERS)

    def close(self):
        """Close every connection."""
        if self._watching is not None:
            self._watching.cancel()
        self._client.close()

    async def fetch(self, method, url, headers, body, transfer):
        """Send one request, once, and return the reply when it has ended.

        Parameters
        ----------
        method : str
            HTTP method in capitals.
        url : str
            Whole URL.
        headers : dict or tornado.httputil.HTTPHeaders
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
            connect_timeout=transfer.connect_ms / 1000,
            request_timeout=0,
            follow_redirects=False,
            decompress_response=False,
            allow_nonstandard_methods=True,
            prepare_curl_callback=lambda curl: self._prepare(curl, transfer),
        )
        transfer.clock = self._clock
        transfer.last_ms = self._clock.now()
        self._transfers.add(transfer)
        if self._watching is None or self._watching.done():
            self._watching = asyncio.create_task(self._watch())
        try:
            fetching = self._client.fetch(request, raise_error=False)
            # The end of a cancelled transfer is awaited by nobody.
            fetching.add_done_callback(_take_outcome)
            response = await asyncio.shield(fetching)
        except CurlError as error:
            raise _explain(url, error, transfer) from None
        except asyncio.CancelledError:
            transfer.cancel()
            raise
        finally:
            self._transfers.discard(transfer)
            transfer.curl = None
        return EndpointResponse(response.code, transfer.headers, response.body or b"")

    def _prepare(self, curl, transfer):
        transfer.curl = curl
        transfer._client = self._client
        curl.setopt(pycurl.TCP_NODELAY, 1)
        curl.setopt(pycurl.NOPROXY, "*")
        curl.setopt(pycurl.PATH_AS_IS, 1)
        curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
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

    async def _watch(self):
        while self._transfers:
            now = self._clock.now()
            for transfer in list(self._transfers):
                if now - transfer.last_ms > transfer.limit_ms:
                    transfer.timed_out = True
                    transfer.cancel()
            await asyncio.sleep(WATCH_MS / 1000)


def _take_outcome(future):
    if not future.cancelled():
        future.exception()


def _explain(url, error, transfer):
    if not transfer.connected:
        message = f"no connection to {url}"
        unreachable = EndpointFailed("unreachable", message, Verdict.NOT_RUN)
        return transfer.refused or unreachable
    if transfer.timed_out and transfer.paused:
        message = "the caller does not read its answer"
        return EndpointFailed("slow-caller", message, Verdict.MAY_HAVE_RUN, 408)
    if transfer.timed_out:
        message = f"{url} went silent"
        return EndpointFailed("timeout", message, Verdict.MAY_HAVE_RUN, 504)
    message = f"{url} ended its answer early: {error}"
    return EndpointFailed("cut", message, Verdict.MAY_HAVE_RUN)
