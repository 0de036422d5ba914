"""The HTTP server towards the users' clients: decodes requests, encodes answers."""

import asyncio
import json
import math

from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    ResponseStartLine,
    responses,
)
from tornado.iostream import StreamClosedError

from peridotcove.callers.body_writer import BodyWriter
from peridotcove.callers.response_sink import ResponseSink
from peridotcove.clock import MS_PER_S
from peridotcove.exceptions import RequestError, RequestRefused
from peridotcove.forwarding_types import ForwardedRequest
from peridotcove.logs import get_logger
from peridotcove.platform.dialect import (
    DEADLINE,
    REQUEST_ID,
    SYSTEM_FIELDS,
    keep_fields,
)
from peridotcove.prefix_hashes import hash_prompt_parts, hash_shared_parts
from peridotcove.verdict import Verdict

KEY = "Api-Key"
MODEL = "X-Model"
# Parts of the prompt in order, as ID:TOKENS with the id in hexadecimal.
PROMPT_PARTS = "X-Prompt-Prefix"
# Longest time in s for which a client's connection may stay idle; the platform's own
# limit is shorter, and clients close first.
IDLE_S = 75
BUFFER_BYTES = 131_072
# An id that is not hexadecimal is cut to this for the time line.
MAX_ID_BYTES = 32
# Statuses that say what is wrong with a request; a client does not repeat it.
REFUSED_STATUSES = (400, 401, 404)

log = get_logger("callers")


class Ingress(HTTPServerConnectionDelegate):
    """Takes the connections of clients.

    Parameters
    ----------
    desk : HostDesk
        Admits and runs requests.
    """

    def __init__(self, desk):
        self._desk = desk
        self._requests = set()
        self._told_to_close = set()
        self._closing = False

    def start_request(self, server_conn, request_conn):
        """Return what takes the next request of a connection.

        Parameters
        ----------
        server_conn : object
            The connection.
        request_conn : tornado.http1connection.HTTP1Connection
            The request on it.
        """
        request = _Request(self._desk, request_conn, self, server_conn)
        if self._closing or server_conn in self._told_to_close:
            request_conn.stream.close()
        else:
            self._requests.add(request)
        return request

    def on_close(self, server_conn):
        """Take the end of a connection.

        Parameters
        ----------
        server_conn : object
            The connection.
        """
        self._told_to_close.discard(server_conn)

    def end(self, request, server_conn, told_to_close):
        """Take the end of a request.

        Parameters
        ----------
        request : object
            The request.
        server_conn : object
            Its connection.
        told_to_close : bool
            Whether the answer says that the connection takes no further request.
        """
        self._requests.discard(request)
        if told_to_close:
            self._told_to_close.add(server_conn)

    def close_idle(self):
        """Close the connections on which no request has begun, and others later.

        A request that crosses the close has not been read, so that its client knows
        that it did not run.
        """
        self._closing = True
        for request in list(self._requests):
            request.close_if_idle()


class _Request(HTTPMessageDelegate):
    """One request of a client, from its head to the end of its answer."""

    def __init__(self, desk, connection, ingress, server_conn):
        self._desk = desk
        self._connection = connection
        self._ingress = ingress
        self._server_conn = server_conn
        self._told_to_close = False
        self._start_line = None
        self._headers = None
        self._chunks = []
        self._arrived_ms = desk.clock.now()
        self._task = None
        self._sink = None
        self._forward = None
        self._answered = False

    def headers_received(self, start_line, headers):
        """Take the head of the request."""
        self._start_line = start_line
        self._headers = headers
        self._arrived_ms = self._desk.clock.now()

    def data_received(self, chunk):
        """Take a part of the body."""
        self._chunks.append(chunk)

    def finish(self):
        """Run the request, now that it has been read.

        One that was still in the buffer when its connection was closed does not run:
        its client can't be answered.
        """
        if self._connection.stream.closed():
            self._ingress.end(self, self._server_conn, False)
            return
        self._connection.set_close_callback(self._give_up)
        self._desk.begin()
        self._task = asyncio.create_task(self._run())
        self._task.add_done_callback(self._end)

    def on_connection_close(self):
        """Take the end of the connection before the request was read."""
        self._ingress.end(self, self._server_conn, False)
        self._give_up()

    def close_if_idle(self):
        """Close the connection if not even the head of a request has come."""
        if self._start_line is None:
            self._connection.stream.close()

    def _give_up(self):
        if self._task is not None and not self._answered:
            if self._sink is not None:
                self._sink.close()
            self._task.cancel()

    def _end(self, task):
        self._desk.end()
        self._ingress.end(self, self._server_conn, self._told_to_close)
        if not task.cancelled() and task.exception() is not None:
            log.error("%s: %r", self._name(), task.exception())
            self._cut()

    def _request_id(self):
        name = self._name()
        try:
            return bytes.fromhex(name)
        except ValueError:
            return name.encode()[:MAX_ID_BYTES]

    def _name(self):
        return self._headers.get(REQUEST_ID, "")

    async def _run(self):
        try:
            await self._desk.wait_for_configuration()
            forward = self._forward = self._read()
            sink = self._sink = ResponseSink(self._open, BUFFER_BYTES)
            forwarded = await self._desk.run(forward, sink)
        except RequestError as error:
            self._fail(error)
            return
        except StreamClosedError:
            return
        except asyncio.CancelledError:
            self._desk.record_caller_gone(self._request_id(), self._arrived_ms)
            raise
        self._desk.record_end(
            self._request_id(), self._arrived_ms, forwarded.head.status
        )
        if self._sink.started:
            await self._sink.drain()
            if not self._sink.closed:
                self._answered = True
                self._connection.finish()
            return
        self._desk.record_first_byte(self._arrived_ms)
        self._answer(forwarded.head.status, forwarded.head.headers, forwarded.body)

    def _read(self):
        """Return the request as the product's own.

        Raises
        ------
        RequestRefused
            If it is malformed or not allowed.
        """
        method, target, _ = self._start_line
        headers = self._headers
        path = target.partition("?")[0]
        host = headers.get("Host", "")
        route, customer = self._desk.admit(host, path, headers.get(KEY))
        wait_ms = min(_read_wait(headers, route), route.timeout_ms)
        prefixes, part_ends, key = self._read_parts()
        return ForwardedRequest(
            self._name(),
            self._request_id(),
            route,
            customer,
            method,
            target,
            keep_fields(headers, SYSTEM_FIELDS),
            b"".join(self._chunks),
            self._arrived_ms + wait_ms,
            prefixes,
            part_ends,
            key,
        )

    def _read_parts(self):
        text = self._headers.get(PROMPT_PARTS)
        if not text:
            return (), (), 0
        model = self._headers.get(MODEL, "")
        try:
            pairs = [item.split(":") for item in text.split(",")]
            parts = [(name.strip(), int(size)) for name, size in pairs]
            keys, ends = hash_prompt_parts(model, parts)
        except ValueError:
            log.warning("%s: %s can't be read", self._name(), PROMPT_PARTS)
            return (), (), 0
        return keys, ends, hash_shared_parts(model, parts)

    def _open(self):
        """Write the head of a streamed answer and return the writer of its body."""
        head = self._forward.head
        self._desk.record_first_byte(self._arrived_ms)
        self._write_head(head.status, head.headers)
        stream = self._connection.stream
        return BodyWriter(stream, self._start_line.version == "HTTP/1.1")

    def _write_head(self, status, fields, length=None):
        headers = HTTPHeaders()
        for name, value in fields:
            headers.add(name, value)
        if length is not None:
            headers["Content-Length"] = str(length)
        if self._desk.leaving:
            headers["Connection"] = "close"
            self._told_to_close = True
        reason = responses.get(status, "Unknown")
        line = ResponseStartLine("HTTP/1.1", status, reason)
        self._connection.write_headers(line, headers)

    def _answer(self, status, fields, body):
        self._answered = True
        try:
            self._write_head(status, fields, len(body))
            if body:
                self._connection.write(body)
            self._connection.finish()
        except StreamClosedError:
            log.info("%s: the client is gone", self._name())

    def _fail(self, error):
        self._desk.record_failure(self._request_id(), self._arrived_ms, error)
        if self._sink is not None and self._sink.started:
            self._cut()
            return
        status = _final_status(error)
        fields = [("Content-Type", "application/json")]
        if status == 503:
            wait_ms = error.retry_after_ms or 0
            fields.append(("Retry-After", f"{math.ceil(wait_ms) / MS_PER_S:.3f}"))
        body = {"error": error.code, "message": error.message}
        self._answer(status, fields, json.dumps(body).encode())

    def _cut(self):
        """Close the connection, so that the answer is seen to be incomplete."""
        self._answered = True
        stream = self._connection.detach()
        stream.close()


def _final_status(error):
    """Return the status of a failure; 503 states that the request did not run."""
    if error.verdict is Verdict.NOT_RUN:
        return error.status if error.status in REFUSED_STATUSES else 503
    return error.status if error.status in (502, 504) else 502


def _read_wait(headers, route):
    text = headers.get(DEADLINE)
    if text is None:
        return route.timeout_ms
    try:
        return max(0, int(float(text)))
    except (ValueError, OverflowError):
        text = f"{DEADLINE} is no number"
        raise RequestRefused("bad-deadline", text, 400) from None


def make_server(ingress, limits):
    """Return the HTTP server towards clients, not yet listening.

    Parameters
    ----------
    ingress : Ingress
        Takes the connections.
    limits : Limits
        What the node takes from strangers.
    """
    return HTTPServer(
        ingress,
        max_header_size=limits.header_bytes,
        max_body_size=limits.body_bytes,
        idle_connection_timeout=IDLE_S,
    )
