"""Streaming HTTP client with back-pressure and cancellation, on tornado's curl client.

Each request uses a new connection, which costs one round trip. On a reused connection
libcurl retries a request by itself if the connection closes without a response, and an
idle connection may be dead without notice.
"""

import asyncio

import pycurl
from attrs import define, field, frozen
from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPRequest
from tornado.httputil import HTTPHeaders

from peridotcove.curl import BODILESS_STATUSES, INVALID_REPLY, CurlClient
from peridotcove.engine_paths import find_address
from peridotcove.exceptions import EndpointFailed, RequestError
from peridotcove.verdict import Verdict

MAX_CONCURRENT_TRANSFERS = 4_096
CONNECT_TIMEOUT_MS = 1_000
TIMEOUT_CHECK_INTERVAL_MS = 50
# A check that runs later than this shows that the process was not running. That time
# does not count against the endpoints.
LATE_CHECK_MS = 50


@frozen
class EndpointResponse:
    """Head of a response, and its body if the response was not streamed.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tornado.httputil.HTTPHeaders
        Header fields.
    body : bytes
        Whole body, or the part of it that was not passed to the transfer's callback.
    cached_share : float or None
        Share of the prompt that the engine had in its cache, or None if the response
        does not report it.
    """

    status: int
    headers: object
    body: bytes = b""
    cached_share: float | None = None


@define(eq=False)
class Transfer:
    """Parameters and progress of one request.

    Attributes
    ----------
    first_byte_ms, gap_ms, stall_ms : int
        Timeouts in ms for the first byte of the body, between two reads, and for a
        pause of the transfer.
    on_data : callable or None
        Called with the data of each read of the body; returns true to pause the
        transfer. None collects the body in the response.
    before_send : callable or None
        Called right before the request is sent; a `RequestError` that it raises stops
        the request.
    before_send_error : RequestError or None
        Error that the callback above raised.
    status : int
        HTTP status of the response; 0 before its head.
    headers : tornado.httputil.HTTPHeaders
        Header fields of the response.
    head_lines : list of bytes
        Lines of the head, without the empty line at its end.
    connected : bool
        Whether a connection was made and the request may have been sent.
    curl : pycurl.Curl or None
        Handle of the transfer, while it runs.
    paused : bool
        Whether reading is paused.
    timed_out : bool
        Whether the transfer was cancelled by a timeout.
    cancelled : bool
        Whether the transfer was cancelled.
    received_bytes : int
        Bytes of the body that were passed to the callback.
    connect_ms : int
        Connect timeout in ms.
    last_activity_ms : int
        Time in ms of the start, the last read or the last resumption.
    clock : Clock
        Source of time.
    relay : RelayedConnection or None
        Connection through another node; None for one of this node's own.
    on_connected : callable
        Called when this node has made a connection of its own.
    may_relay : callable
        Called with the `Instance` of another node; whether the request may be sent
        through it.
    """

    first_byte_ms: int
    gap_ms: int
    stall_ms: int
    on_data: object = None
    before_send: object = None
    before_send_error: object = None
    status: int = 0
    headers: HTTPHeaders = field(factory=HTTPHeaders)
    head_lines: list = field(factory=list)
    connected: bool = False
    curl: object = None
    paused: bool = False
    timed_out: bool = False
    cancelled: bool = False
    received_bytes: int = 0
    connect_ms: int = CONNECT_TIMEOUT_MS
    last_activity_ms: int = 0
    clock: object = None
    relay: object = None
    on_connected: object = lambda: None
    may_relay: object = lambda instance: True
    _client: object = None

    @property
    def timeout_ms(self):
        """Timeout in ms that applies in the current state."""
        if not self.connected:
            return self.connect_ms
        if self.paused:
            return self.stall_ms
        return self.gap_ms if self.received_bytes else self.first_byte_ms

    @property
    def framing(self):
        """What marks the end of the body: ``length``, ``chunks`` or ``connection``."""
        if "Transfer-Encoding" in self.headers:
            return "chunks"
        if "Content-Length" in self.headers or self.status in BODILESS_STATUSES:
            return "length"
        return "connection"

    def parse_header_line(self, line):
        """Parse one line of the head of the response.

        Parameters
        ----------
        line : bytes
            The line, with its line ending.
        """
        text = line.decode("latin-1").strip()
        if text.startswith("HTTP/"):
            words = text.split(" ", 2)
            code = words[1] if len(words) > 1 else ""
            self.status = int(code) if code.isascii() and code.isdigit() else 0
            self.headers = HTTPHeaders()
            self.head_lines = [line]
        elif text and ":" in text:
            self.headers.parse_line(text)
            self.head_lines.append(line)

    def handle_connected(self, *addresses):
        """Decide whether the request is sent; libcurl calls it on a new connection.

        Parameters
        ----------
        *addresses : object
            Addresses of both ends of the connection.

        Returns
        -------
        int
            ``pycurl.PREREQFUNC_OK`` or ``pycurl.PREREQFUNC_ABORT``.
        """
        if self.cancelled or self.connected:
            return pycurl.PREREQFUNC_ABORT
        if self.relay is None:
            self.on_connected()
        try:
            if self.before_send is not None:
                self.before_send()
        except RequestError as error:
            self.before_send_error = error
            return pycurl.PREREQFUNC_ABORT
        self.connected = True
        return pycurl.PREREQFUNC_OK

    def resume(self):
        """Resume reading if the transfer is paused."""
        if self.paused and self.curl is not None:
            self.paused = False
            self.last_activity_ms = self.clock.now()
            self.curl.pause(pycurl.PAUSE_CONT)

    def restart(self):
        """Reset the progress of a transfer that was not connected."""
        self.cancelled = self.timed_out = False
        self.curl = None

    def cancel(self):
        """Cancel the transfer and close its connection."""
        self.cancelled = True
        if self.curl is not None:
            loop = asyncio.get_running_loop()
            loop.call_soon(self._client.cancel, self.curl)


class StreamingClient:
    """Sends requests to engines and other endpoints, and streams the responses.

    Parameters
    ----------
    clock : Clock
        Source of time.
    relays : RelayClient or None
        Connects to endpoints that this node can't reach; None to connect to all of them
        directly.
    answer_memory : AnswerMemory or None
        Bounds the answers that are held because they are not streamed.
    """

    def __init__(self, clock, relays=None, answer_memory=None):
        self._clock = clock
        self._relays = relays
        self._transfers = set()
        self._timeout_task = None
        self._client = CurlClient(
            force_instance=True,
            max_transfers=MAX_CONCURRENT_TRANSFERS,
            answer_memory=answer_memory,
        )

    def close(self):
        """Close every connection."""
        if self._timeout_task is not None:
            self._timeout_task.cancel()
        self._client.close()

    async def fetch(self, method, url, headers, body, transfer):
        """Send a request, without retries, and return its complete response.

        Parameters
        ----------
        method : str
            HTTP method in upper case.
        url : str
            Absolute URL. What follows its host is sent byte for byte; characters stand
            for bytes as in latin-1.
        headers : dict or tornado.httputil.HTTPHeaders
            Header fields.
        body : bytes or None
            Body of the request.
        transfer : Transfer
            Timeouts and callbacks of the request; updated while it runs.

        Returns
        -------
        EndpointResponse
            The response, with any status.

        Raises
        ------
        EndpointFailed
            If there is no complete response, with the verdict.
        RequestError
            Raised by ``transfer.before_send``.
        """
        origin, target = _split_target(url)
        # tornado takes no body with GET, which here is set as the method afterwards.
        carrier = "POST" if method == "GET" and body is not None else method
        request = HTTPRequest(
            origin,
            method=carrier,
            headers=headers,
            body=body,
            # Both timeouts are checked by this client, since libcurl's also run while
            # the process does not.
            connect_timeout=0,
            request_timeout=0,
            decompress_response=False,
            allow_nonstandard_methods=True,
            prepare_curl_callback=lambda curl: self._prepare(
                curl, transfer, method, target
            ),
        )
        request.parse_header_line = transfer.parse_header_line
        if self._relays is None:
            return await self._run(request, url, transfer)
        address = find_address(url)
        transfer.on_connected = lambda: self._relays.record_connected(address)
        try:
            response = await self._run_with_fallback(request, url, transfer, address)
            await _check_relayed_end(url, transfer)
            return response
        finally:
            if transfer.relay is not None:
                self._relays.release(transfer.relay)

    async def _run_with_fallback(self, request, url, transfer, address):
        """Send a request directly, or through a peer if that fails or is known to fail.

        A peer that can't connect to the endpoint either shows that the fault is not
        here.
        """
        if self._relays.needs_relay(address):
            return await self._run_through_peer(request, url, transfer, address)
        try:
            return await self._run(request, url, transfer)
        except EndpointFailed as error:
            is_given_up = transfer.cancelled and not transfer.timed_out
            if error.code != "unreachable" or is_given_up:
                raise
            unreachable = error
        self._relays.record_unreached(address)
        try:
            transfer.relay = await self._relays.connect(address, transfer.may_relay)
        except EndpointFailed as error:
            if error.code == "no-relay" and self._relays.needs_relay(address):
                raise
            raise unreachable from None
        transfer.restart()
        return await self._run(request, url, transfer)

    async def _run_through_peer(self, request, url, transfer, address):
        """Send a request through a peer, or directly if no peer can help.

        After a crash of several endpoints, all nodes may take themselves for cut off.
        """
        try:
            transfer.relay = await self._relays.connect(address, transfer.may_relay)
        except EndpointFailed as error:
            if error.code != "no-relay":
                raise
            no_relay = error
        else:
            return await self._run(request, url, transfer)
        try:
            return await self._run(request, url, transfer)
        except EndpointFailed as error:
            raise no_relay if error.code == "unreachable" else error from None

    async def _run(self, request, url, transfer):
        transfer.clock = self._clock
        transfer.last_activity_ms = self._clock.now()
        self._transfers.add(transfer)
        if self._timeout_task is None or self._timeout_task.done():
            self._timeout_task = asyncio.create_task(self._cancel_timed_out())
        try:
            fetching = self._client.fetch(request, raise_error=False)
            # Nothing awaits the future of a cancelled transfer: this marks its
            # exception as retrieved.
            fetching.add_done_callback(_discard_outcome)
            response = await asyncio.shield(fetching)
        except CurlError as error:
            raise _make_failure(url, error, transfer) from None
        except asyncio.CancelledError:
            transfer.cancel()
            raise
        finally:
            self._transfers.discard(transfer)
            transfer.curl = None
        return EndpointResponse(response.code, transfer.headers, response.body or b"")

    def _prepare(self, curl, transfer, method, target):
        transfer.curl = curl
        transfer._client = self._client
        curl.setopt(pycurl.TCP_NODELAY, 1)
        curl.setopt(pycurl.NOPROXY, "*")
        # libcurl normalizes the escapes of the URL's own path.
        curl.setopt(pycurl.REQUEST_TARGET, target)
        if method == "GET":
            curl.setopt(pycurl.CUSTOMREQUEST, method)
        curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        curl.setopt(pycurl.FRESH_CONNECT, 1)
        curl.setopt(pycurl.FORBID_REUSE, 1)
        curl.setopt(pycurl.PREREQFUNCTION, transfer.handle_connected)
        _use_socket(curl, transfer.relay.sock if transfer.relay else None)
        if transfer.on_data is not None:
            curl.setopt(
                pycurl.WRITEFUNCTION, lambda data: self._handle_data(transfer, data)
            )

    def _handle_data(self, transfer, data):
        if transfer.paused:
            return pycurl.WRITEFUNC_PAUSE
        transfer.received_bytes += len(data)
        transfer.last_activity_ms = self._clock.now()
        if transfer.on_data(data):
            transfer.paused = True
        return len(data)

    async def _cancel_timed_out(self):
        checked_ms = self._clock.now()
        while self._transfers:
            now = self._clock.now()
            late_ms = now - checked_ms - TIMEOUT_CHECK_INTERVAL_MS
            checked_ms = now
            for transfer in list(self._transfers):
                if late_ms > LATE_CHECK_MS:
                    transfer.last_activity_ms = min(
                        now, transfer.last_activity_ms + late_ms
                    )
                if now - transfer.last_activity_ms > transfer.timeout_ms:
                    transfer.timed_out = True
                    transfer.cancel()
            await asyncio.sleep(TIMEOUT_CHECK_INTERVAL_MS / 1000)


def _split_target(url):
    """Return the URL of a host, and as bytes what follows it."""
    scheme, _, rest = url.partition("://")
    host, slash, target = rest.partition("/")
    return f"{scheme}://{host}/", (slash + target or "/").encode("latin-1")


def _use_socket(curl, sock):
    """Let a handle use a connected socket, or open one of its own as usual."""
    if sock is None:
        curl.setopt(pycurl.OPENSOCKETFUNCTION, None)
        curl.setopt(pycurl.SOCKOPTFUNCTION, None)
        return
    # libcurl uses and closes a duplicate of the socket.
    curl.setopt(pycurl.OPENSOCKETFUNCTION, lambda purpose, address: sock)
    curl.setopt(
        pycurl.SOCKOPTFUNCTION, lambda fd, purpose: pycurl.SOCKOPT_ALREADY_CONNECTED
    )


async def _check_relayed_end(url, transfer):
    """Raise an error if it is uncertain that an answer without a length is whole."""
    if transfer.relay is None or transfer.framing != "connection":
        return
    if not await transfer.relay.wait_for_end():
        text = f"the relayed answer of {url} ended without a sign of the endpoint"
        raise EndpointFailed("cut", text, Verdict.MAY_HAVE_RUN)


def _discard_outcome(future):
    if not future.cancelled():
        future.exception()


def _make_failure(url, error, transfer):
    if not transfer.connected:
        message = f"could not connect to {url}"
        unreachable = EndpointFailed("unreachable", message, Verdict.NOT_RUN)
        return transfer.before_send_error or unreachable
    if transfer.timed_out and transfer.paused:
        message = "the caller stopped reading the response"
        return EndpointFailed("slow-caller", message, Verdict.MAY_HAVE_RUN, 408)
    if transfer.timed_out:
        message = f"{url} sent no data within the timeout"
        return EndpointFailed("timeout", message, Verdict.MAY_HAVE_RUN, 504)
    message = f"no complete response from {url}: {error}"
    if error.errno == INVALID_REPLY:
        return EndpointFailed("malformed", message, Verdict.MAY_HAVE_RUN)
    return EndpointFailed("cut", message, Verdict.MAY_HAVE_RUN)
