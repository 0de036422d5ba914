"""HTTP server for the platform's clients: decodes requests and encodes responses."""

import asyncio
import io
import json
import math

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
from peridotcove.connection_memory.memory import FULL
from peridotcove.connection_memory.server import BoundedServer
from peridotcove.exceptions import EndpointFailed, RequestError, RequestRefused
from peridotcove.forwarding_types import ForwardedRequest
from peridotcove.logs import get_logger
from peridotcove.platform.dialect import (
    DEADLINE_HEADER,
    INTERNAL_HEADERS,
    REQUEST_ID_HEADER,
    RESUME_AFTER_HEADER,
    RESUMES_HEADER,
    filter_headers,
)
from peridotcove.prefix_hashes import hash_prompt_parts, hash_shared_parts
from peridotcove.verdict import Verdict

API_KEY_HEADER = "Api-Key"
MODEL_HEADER = "X-Model"
# Parts of the prompt in order, as ID:TOKENS, with hexadecimal ids.
PROMPT_PARTS_HEADER = "X-Prompt-Prefix"
# Idle timeout of a client's connection. The platform's own limit is shorter, so clients
# close first.
IDLE_TIMEOUT_S = 75
STREAM_BUFFER_BYTES = 131_072
# Ids that are not hexadecimal are truncated to this length for the timeline.
MAX_ID_BYTES = 32
# Wait that is asked for if there is no room for a body.
NO_ROOM_RETRY_AFTER_MS = 1_000
# Statuses for faults of the request itself; clients do not retry these.
REJECTION_STATUSES = (400, 401, 404)

log = get_logger("callers")


class Ingress(HTTPServerConnectionDelegate):
    """Handles the connections of clients.

    Parameters
    ----------
    gateway : HostRouteGateway
        Admits and runs requests.
    """

    def __init__(self, gateway):
        self._gateway = gateway
        self._requests = set()
        self._last_request_by_connection = {}
        self._closing_connections = set()
        self._closing = False

    def start_request(self, server_conn, request_conn):
        """Return the delegate of the next request on a connection.

        Parameters
        ----------
        server_conn : object
            Connection of the client.
        request_conn : tornado.http1connection.HTTP1Connection
            Request on the connection.
        """
        request = _Request(self._gateway, request_conn, self, server_conn)
        if self._closing or server_conn in self._closing_connections:
            request_conn.stream.close()
        else:
            self._requests.add(request)
            self._last_request_by_connection[server_conn] = request
        return request

    def on_close(self, server_conn):
        """Handle the end of a connection.

        Parameters
        ----------
        server_conn : object
            Connection that ended.
        """
        self._closing_connections.discard(server_conn)
        # A request whose head did not come has no other end.
        self._requests.discard(self._last_request_by_connection.pop(server_conn, None))

    def handle_request_end(self, request, server_conn, sent_close):
        """Handle the end of a request.

        Parameters
        ----------
        request : object
            Request that ended.
        server_conn : object
            Connection of the request.
        sent_close : bool
            Whether the response had `Connection: close`, so that no further request
            is accepted on the connection.
        """
        self._requests.discard(request)
        if sent_close:
            self._closing_connections.add(server_conn)

    def close_idle(self):
        """Close idle connections now, and others after their request in progress.

        A request that is sent while its connection is being closed is not read, and its
        client can tell that it did not run.
        """
        self._closing = True
        for request in list(self._requests):
            request.close_if_idle()
        self._gateway.limit_running()


class _Request(HTTPMessageDelegate):
    """One request of a client, from its header to the end of the response."""

    def __init__(self, gateway, connection, ingress, server_conn):
        self._gateway = gateway
        self._connection = connection
        self._ingress = ingress
        self._server_conn = server_conn
        self._sent_close = False
        self._start_line = None
        self._headers = None
        self._client = server_conn.stream.connection
        # A buffer of its own holds a body that comes in many small parts in little
        # more memory than its size, and gives it away without a copy.
        self._body = None
        self._arrived_ms = gateway.clock.now()
        self._task = None
        self._sink = None
        self._forwarded_request = None
        self._answered = False

    def headers_received(self, start_line, headers):
        """Handle the header of the request."""
        self._start_line = start_line
        self._headers = headers
        self._arrived_ms = self._gateway.clock.now()
        length = headers.get("Content-Length", "0")
        has_body = length != "0" or "Transfer-Encoding" in headers
        self._client.begin_request(has_body, self._refuse_body)
        if has_body and not self._answered and not self._client.has_room_for(length):
            self._client.give_up(FULL)

    def data_received(self, chunk):
        """Handle a part of the body."""
        if self._answered:
            return
        if self._body is None:
            self._body = io.BytesIO()
        self._body.write(chunk)
        self._client.set_body_bytes(self._body.tell())

    def _refuse_body(self, reason):
        """Refuse the request before all of it has come, and close the connection."""
        self._body = None
        self._sent_close = True
        text = f"this node has no room for the request ({reason})"
        self._write_error(RequestRefused("no-room", text, 503, NO_ROOM_RETRY_AFTER_MS))

    def finish(self):
        """Run the request after all of it was received.

        A request that was still buffered when its connection was closed does not run,
        because the client can't be answered.
        """
        if self._connection.stream.closed():
            self._ingress.handle_request_end(self, self._server_conn, False)
            return
        if not self._client.begin_running():
            self._refuse_body(FULL)
            self._ingress.handle_request_end(self, self._server_conn, True)
            return
        self._connection.set_close_callback(self._cancel)
        self._gateway.begin()
        self._task = asyncio.create_task(self._run())
        self._task.add_done_callback(self._handle_task_end)

    def on_connection_close(self):
        """Handle the end of the connection before the request was received."""
        self._ingress.handle_request_end(self, self._server_conn, False)
        self._cancel()

    def close_if_idle(self):
        """Close the connection if no request header was received on it."""
        if self._start_line is None:
            self._connection.stream.close()

    def _cancel(self):
        if self._task is not None and not self._answered:
            if self._sink is not None:
                self._sink.close()
            self._task.cancel()

    def _handle_task_end(self, task):
        self._gateway.end()
        if self._forwarded_request is not None:
            # What is left of the transfer refers to the request for a while.
            self._forwarded_request.body = b""
            self._forwarded_request = None
        self._ingress.handle_request_end(self, self._server_conn, self._sent_close)
        if not task.cancelled() and task.exception() is not None:
            log.error("%s: %r", self._request_id_text(), task.exception())
            self._abort()

    def _request_id(self):
        name = self._request_id_text()
        try:
            return bytes.fromhex(name)
        except ValueError:
            return name.encode()[:MAX_ID_BYTES]

    def _request_id_text(self):
        return self._headers.get(REQUEST_ID_HEADER, "")

    async def _run(self):
        try:
            self._gateway.check_accepting()
            await self._gateway.wait_for_configuration()
            forwarded_request = self._forwarded_request = self._parse_request()
            sink = self._sink = ResponseSink(
                self._open_body, STREAM_BUFFER_BYTES, self._client.update
            )
            self._client.sink = sink
            forwarded = await self._gateway.run(forwarded_request, sink)
        except RequestError as error:
            self._write_error(error)
            return
        except StreamClosedError:
            return
        except asyncio.CancelledError:
            self._gateway.record_caller_gone(self._request_id(), self._arrived_ms)
            raise
        except Exception:
            log.exception(
                "%s: unexpected error; the request may have run",
                self._request_id_text(),
            )
            text = "the router failed on this request"
            self._write_error(
                EndpointFailed("internal", text, Verdict.MAY_HAVE_RUN, 502)
            )
            return
        self._gateway.record_end(
            self._request_id(), self._arrived_ms, forwarded.head.status
        )
        if self._sink.started:
            await self._sink.drain()
            if not self._sink.closed:
                self._answered = True
                self._connection.finish()
            return
        self._gateway.record_first_byte(self._arrived_ms)
        self._write_response(
            forwarded.head.status, forwarded.head.headers, forwarded.body
        )

    def _parse_request(self):
        """Return the request as a `ForwardedRequest`.

        Raises
        ------
        RequestRefused
            If it is malformed or not allowed.
        """
        method, target, _ = self._start_line
        headers = self._headers
        if method == "HEAD" and self._body is not None:
            text = "a body of a HEAD request can't be passed on"
            raise RequestRefused("bad-method", text, 400)
        path = target.partition("?")[0]
        host = headers.get("Host", "")
        route, customer = self._gateway.admit(host, path, headers.get(API_KEY_HEADER))
        wait_ms = min(_parse_deadline(headers, route), route.timeout_ms)
        prefixes, part_ends, key = self._parse_prompt_parts()
        body, self._body = self._body, None
        return ForwardedRequest(
            self._request_id_text(),
            self._request_id(),
            route,
            customer,
            method,
            target,
            filter_headers(headers, INTERNAL_HEADERS),
            b"" if body is None else body.getvalue(),
            self._arrived_ms + wait_ms,
            prefixes,
            part_ends,
            key,
            resume_after=headers.get(RESUME_AFTER_HEADER, ""),
            resumes_text=headers.get(RESUMES_HEADER, "").strip(),
        )

    def _parse_prompt_parts(self):
        text = self._headers.get(PROMPT_PARTS_HEADER)
        if not text:
            return (), (), 0
        model = self._headers.get(MODEL_HEADER, "")
        try:
            pairs = [item.split(":") for item in text.split(",")]
            parts = [(name.strip(), int(size)) for name, size in pairs]
            keys, ends = hash_prompt_parts(model, parts)
        except ValueError:
            log.warning(
                "%s: header %s can't be parsed and is ignored",
                self._request_id_text(),
                PROMPT_PARTS_HEADER,
            )
            return (), (), 0
        return keys, ends, hash_shared_parts(model, parts)

    def _open_body(self):
        """Write the header of a streamed response and return the writer of its body."""
        head = self._forwarded_request.head
        self._gateway.record_first_byte(self._arrived_ms)
        self._write_head(head.status, head.headers)
        stream = self._connection.stream
        return BodyWriter(stream, self._start_line.version == "HTTP/1.1")

    def _write_head(self, status, fields, length=None):
        headers = HTTPHeaders()
        for name, value in fields:
            headers.add(name, value)
        if length is not None:
            headers["Content-Length"] = str(length)
        if self._gateway.leaving or self._sent_close:
            headers["Connection"] = "close"
            self._sent_close = True
        reason = responses.get(status, "Unknown")
        line = ResponseStartLine("HTTP/1.1", status, reason)
        self._connection.write_headers(line, headers)

    def _write_response(self, status, fields, body):
        self._answered = True
        # The body of the request is not needed while a slow client takes its answer.
        self._body = None
        if self._forwarded_request is not None:
            self._forwarded_request.body = b""
        self._client.begin_answer()
        try:
            self._write_head(status, fields, len(body))
            if body:
                self._connection.write(body)
            self._connection.finish()
        except StreamClosedError:
            log.info(
                "%s: the client closed the connection before the response",
                self._request_id_text(),
            )

    def _write_error(self, error):
        self._gateway.record_failure(self._request_id(), self._arrived_ms, error)
        if self._sink is not None and self._sink.started:
            self._abort()
            return
        status = _select_status(error)
        fields = [("Content-Type", "application/json")]
        if status == 503:
            wait_ms = error.retry_after_ms or 0
            fields.append(("Retry-After", f"{math.ceil(wait_ms) / MS_PER_S:.3f}"))
        body = {"error": error.code, "message": error.message}
        self._write_response(status, fields, json.dumps(body).encode())

    def _abort(self):
        """Close the connection, so that the client sees an incomplete response."""
        self._answered = True
        stream = self._connection.detach()
        stream.close()


def _select_status(error):
    """Return the status of a failure; 503 means that the request did not run."""
    if error.verdict is Verdict.NOT_RUN:
        return error.status if error.status in REJECTION_STATUSES else 503
    return error.status if error.status in (502, 504) else 502


def _parse_deadline(headers, route):
    text = headers.get(DEADLINE_HEADER)
    if text is None:
        return route.timeout_ms
    try:
        return max(0, int(float(text)))
    except (ValueError, OverflowError):
        text = f"{DEADLINE_HEADER} is not a number"
        raise RequestRefused("bad-deadline", text, 400) from None


def make_server(ingress, limits, group):
    """Return the HTTP server for clients, not yet listening.

    Parameters
    ----------
    ingress : Ingress
        Handles the connections.
    limits : Limits
        Limits of the size of requests.
    group : ConnectionGroup
        Bounds the connections.
    """
    return BoundedServer(
        ingress,
        group,
        max_header_size=limits.header_bytes,
        max_body_size=limits.body_bytes,
        idle_connection_timeout=IDLE_TIMEOUT_S,
    )
