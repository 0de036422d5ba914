"""HTTP request handlers for callers."""

import asyncio
import os

from tornado.iostream import StreamClosedError
from tornado.web import RequestHandler, stream_request_body

from peridotcove.callers.body_writer import BodyWriter
from peridotcove.callers.chat_requests import authenticate_customer, parse_chat_request
from peridotcove.callers.request_body import RequestBodyBuffer
from peridotcove.callers.response_sink import ResponseSink
from peridotcove.callers.responses import (
    CONTINUATION_HEADER,
    REQUEST_ID_HEADER,
    TICKET_HEADER,
    VERDICT_HEADER,
    encode_error,
    write_error_response,
)
from peridotcove.clock import MS_PER_S
from peridotcove.connection_memory.memory import FULL
from peridotcove.exceptions import (
    EndpointFailed,
    RequestError,
    RequestRefused,
    TicketRefused,
)
from peridotcove.logs import get_logger
from peridotcove.verdict import Verdict

REQUEST_ID_BYTES = 8
# Wait that is asked for if there is no room for a body.
NO_ROOM_RETRY_AFTER_MS = 1_000

log = get_logger("callers")


@stream_request_body
class CallerHandler(RequestHandler):
    """Base class of the handlers for callers.

    Parameters
    ----------
    gateway : CallerGateway
        Runs the requests and records them.
    """

    def initialize(self, gateway):
        """Set up the handler of one request; tornado calls it instead of `__init__`.

        Parameters
        ----------
        gateway : CallerGateway
            Runs the requests and records them.
        """
        self.gateway = gateway
        self.request_id = os.urandom(REQUEST_ID_BYTES)
        self.sink = None
        self._span = gateway.begin_request(self.request_id)
        self._body_buffer = RequestBodyBuffer(gateway.limits)
        self._body_timer = None
        self._client = None

    def prepare(self):
        """Check the head of the request and start the timeout of its body."""
        body_s = self.gateway.limits.body_ms / MS_PER_S
        timeout_error = RequestRefused(
            "slow-body", "the body took too long to arrive", 408
        )
        loop = asyncio.get_running_loop()
        self._body_timer = loop.call_later(
            body_s, self._refuse_and_finish, timeout_error
        )
        fields = self.request.headers
        length = fields.get("Content-Length", "0")
        has_body = length != "0" or "Transfer-Encoding" in fields
        self._client = self.request.connection.stream.connection
        self._client.begin_request(has_body, self._refuse_body)
        if self._finished:
            return
        try:
            self._body_buffer.check_head(self.request)
        except RequestRefused as error:
            self._refuse_and_finish(error)

    def data_received(self, chunk):
        """Buffer a part of the body.

        Parameters
        ----------
        chunk : bytes
            The part.
        """
        if self._finished:
            return
        try:
            self._body_buffer.append_chunk(chunk)
        except RequestRefused as error:
            self._refuse_and_finish(error)
            return
        self._client.set_body_bytes(self._body_buffer.held_bytes)

    def _refuse_body(self, reason):
        """Refuse the request before all of it has come."""
        self._body_buffer = RequestBodyBuffer(self.gateway.limits)
        self._refuse_and_finish(_make_refusal(reason))

    def read_body(self):
        """Set the request's body to the buffered one and stop its timeout.

        Raises
        ------
        RequestRefused
            If the body is too large, or there is no room for it.
        """
        self._stop_body_timer()
        self.request.body = self._body_buffer.get_body()
        self._body_buffer = None
        if not self._client.begin_running():
            raise _make_refusal(FULL)

    def finish(self, chunk=None):
        """Finish the response; the body of the request is not needed any more.

        Parameters
        ----------
        chunk : object
            Last part of the response; tornado's handler takes it.
        """
        self._body_buffer = None
        self.request.body = b""
        if self._client is not None:
            self._client.begin_answer()
        return super().finish(chunk)

    def on_finish(self):
        """Record the end of the request."""
        self._stop_body_timer()
        self.gateway.end_request(self._span)

    def _refuse_and_finish(self, error):
        if not self._finished:
            self.refuse(error)
            self.finish()

    def _stop_body_timer(self):
        if self._body_timer is not None:
            self._body_timer.cancel()

    def on_connection_close(self):
        """Cancel the request of a caller that closed its connection."""
        self._stop_body_timer()
        if self.sink is not None:
            self.sink.close()
        self.gateway.end_request(self._span)

    def refuse(self, error):
        """Write an error response.

        Parameters
        ----------
        error : RequestError
            The error and its verdict. If the request carries a ticket, an earlier
            request with the same ticket may have run, and only the holder of the
            ticket's ledger can rule that out; the verdict becomes "may have run" then,
            unless the error is a `TicketRefused`.
        """
        ticket = self.request.headers.get(TICKET_HEADER)
        if ticket and not isinstance(error, TicketRefused):
            error.verdict = Verdict.MAY_HAVE_RUN
        self.gateway.record_outcome(self._span, error.code, error.verdict)
        write_error_response(self, error, self.request_id.hex())

    def write_error(self, status_code, **kwargs):
        """Write the response for an error that no handler caught.

        Parameters
        ----------
        status_code : int
            HTTP status.
        **kwargs : object
            Details of the error from tornado.
        """
        if status_code in (404, 405):
            self.refuse(RequestRefused("unknown-path", self._reason, status_code))
        elif status_code < 500:
            self.refuse(RequestRefused("bad-request", self._reason, status_code))
        else:
            text = "internal error of the router"
            verdict = Verdict.MAY_HAVE_RUN
            self.refuse(EndpointFailed("internal", text, verdict, status_code))
        self.finish()


class ModelsHandler(CallerHandler):
    """``GET /v1/models``: the models of the configuration."""

    def get(self):
        """Write the list of models."""
        models = self.gateway.fleet.configuration.model_by_name
        entries = [{"id": name, "object": "model"} for name in sorted(models)]
        self.write({"object": "list", "data": entries})


class ChatHandler(CallerHandler):
    """``POST /v1/chat/completions``: one turn of a chat."""

    async def post(self):
        """Run the chat request at an engine and write the response."""
        try:
            self.read_body()
            self.gateway.check_accepting()
            chat = parse_chat_request(
                self.gateway.fleet, self.request.headers, self.request.body
            )
            if chat.stream:
                await self._send_streamed_response(chat)
            else:
                await self._send_whole_response(chat)
        except RequestError as error:
            self._handle_error(error)
        except StreamClosedError:
            pass

    async def _send_whole_response(self, chat):
        self.sink = _NullSink()
        response, engine = await self.gateway.run_chat(chat, self.request_id, None)
        self._set_response_head(response, engine, chat)
        self.write(response.body)

    async def _send_streamed_response(self, chat):
        sink = self.sink = ResponseSink(
            self._open_response,
            self.gateway.stream_buffer_bytes,
            self._client.update,
        )
        self._client.sink = sink
        self._chat = chat
        response, engine = await self.gateway.run_chat(chat, self.request_id, sink)
        if not sink.started:
            self._set_response_head(response, engine, chat)
            self.write(response.body)
            return
        await sink.drain()
        self.gateway.record_outcome(self._span, "ok", Verdict.RAN)
        if not sink.closed:
            await self.finish()

    def _open_response(self):
        self.gateway.record_first_byte(self._span)
        self.set_status(200)
        self.set_header("Content-Type", "text/event-stream")
        self.set_header("Cache-Control", "no-cache")
        self.set_header(REQUEST_ID_HEADER, self.request_id.hex())
        self.set_header(VERDICT_HEADER, Verdict.RAN.value)
        self._set_continuation(
            self.gateway.get_leased_engine(self.request_id), self._chat
        )
        self.flush()
        stream = self.request.connection.stream
        return BodyWriter(stream, self.request.version == "HTTP/1.1")

    def _set_response_head(self, response, engine, chat):
        self.gateway.record_first_byte(self._span)
        verdict = Verdict.RAN if response.status == 200 else Verdict.NOT_RUN
        self.gateway.record_outcome(
            self._span, "ok" if response.status == 200 else "engine", verdict
        )
        self.set_status(response.status)
        content_type = response.headers.get("Content-Type", "application/json")
        self.set_header("Content-Type", content_type)
        self.set_header(REQUEST_ID_HEADER, self.request_id.hex())
        self.set_header(VERDICT_HEADER, verdict.value)
        self._set_continuation(engine, chat)

    def _set_continuation(self, engine, chat):
        token = self.gateway.make_continuation(engine, chat)
        if token:
            self.set_header(CONTINUATION_HEADER, token)

    def _handle_error(self, error):
        if self.sink is None or not self.sink.started:
            self.refuse(error)
            return
        self.gateway.record_outcome(self._span, error.code, error.verdict)
        if not self.sink.closed:
            data = encode_error(error, self.request_id.hex())
            self.sink.write(b"data: " + data + b"\n\n")
        stream = self.request.connection.detach()
        stream.close()


class ServiceHandler(CallerHandler):
    """``/services/NAME/...``: calls to plain services."""

    SUPPORTED_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")

    async def get(self, name, path):
        """Forward a call to a service and write the response.

        Parameters
        ----------
        name : str
            Name of the service.
        path : str
            Path below the service, with a leading slash, or empty.
        """
        try:
            self.read_body()
            self.gateway.check_accepting()
            customer = authenticate_customer(self.gateway.fleet, self.request.headers)
            response = await self.gateway.run_call(
                customer, self.request_id, self.request, name, path
            )
        except RequestError as error:
            self.refuse(error)
            return
        self.gateway.record_outcome(self._span, "ok", response.verdict)
        self.set_status(response.status)
        self.clear_header("Content-Type")
        for field, value in response.headers:
            self.add_header(field, value)
        self.set_header(REQUEST_ID_HEADER, self.request_id.hex())
        self.set_header(VERDICT_HEADER, response.verdict.value)
        if response.body and self.request.method != "HEAD":
            self.write(response.body)

    head = post = put = patch = delete = get


class UnknownHandler(CallerHandler):
    """Refuses requests with any other path."""

    def prepare(self):
        """Refuse the request with status 404."""
        error = RequestRefused("unknown-path", "unknown path", 404)
        self._refuse_and_finish(error)


def _make_refusal(reason):
    text = f"this node has no room for the request ({reason})"
    return RequestRefused("no-room", text, 503, NO_ROOM_RETRY_AFTER_MS)


class _NullSink:
    """Takes the place of a sink during a request whose response is not streamed."""

    started = False
    closed = False

    def close(self):
        self.closed = True
