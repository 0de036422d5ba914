"""The HTTP handlers towards callers."""

import asyncio
import os

from tornado.iostream import StreamClosedError
from tornado.web import RequestHandler, stream_request_body

from peridotcove.callers.body_writer import BodyWriter
from peridotcove.callers.chat_requests import find_customer, read_chat
from peridotcove.callers.request_body import Intake
from peridotcove.callers.response_sink import ResponseSink
from peridotcove.callers.responses import (
    CONTINUATION,
    REQUEST_ID,
    TICKET,
    VERDICT,
    describe_error,
    set_error,
)
from peridotcove.clock import MS_PER_S
from peridotcove.exceptions import (
    EndpointFailed,
    RequestError,
    RequestRefused,
    TicketRefused,
)
from peridotcove.logs import get_logger
from peridotcove.verdict import Verdict

REQUEST_ID_BYTES = 8

log = get_logger("callers")


@stream_request_body
class Handler(RequestHandler):
    """What all handlers towards callers share.

    Parameters
    ----------
    desk : CallerDesk
        What the handlers work with.
    """

    def initialize(self, desk):
        """Take what the handler works with.

        Parameters
        ----------
        desk : CallerDesk
            What the handlers work with.
        """
        self.desk = desk
        self.request_id = os.urandom(REQUEST_ID_BYTES)
        self.sink = None
        self._span = desk.begin(self.request_id)
        self._intake = Intake(desk.limits)
        self._timer = None

    def prepare(self):
        """Check the head, and give the body its time."""
        body_s = self.desk.limits.body_ms / MS_PER_S
        late = RequestRefused("slow-body", "the body took too long to arrive", 408)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(body_s, self._refuse_early, late)
        try:
            self._intake.check_head(self.request)
        except RequestRefused as error:
            self._refuse_early(error)

    def data_received(self, chunk):
        """Take a part of the body.

        Parameters
        ----------
        chunk : bytes
            The part.
        """
        if self._finished:
            return
        try:
            self._intake.add(chunk)
        except RequestRefused as error:
            self._refuse_early(error)

    def read_body(self):
        """Give the request its whole body.

        Raises
        ------
        RequestRefused
            If it is too large.
        """
        self._stop_timer()
        self.request.body = self._intake.take()

    def on_finish(self):
        """Count the request as ended."""
        self._stop_timer()
        self.desk.end(self._span)

    def _refuse_early(self, error):
        if not self._finished:
            self.refuse(error)
            self.finish()

    def _stop_timer(self):
        if self._timer is not None:
            self._timer.cancel()

    def on_connection_close(self):
        """Cancel the work of a caller that went away."""
        self._stop_timer()
        if self.sink is not None:
            self.sink.close()
        self.desk.end(self._span)

    def refuse(self, error):
        """Answer with an error.

        Parameters
        ----------
        error : RequestError
            The error and its verdict. Where the caller sent a ticket, an earlier send
            may have run, and only the ticket's own process can say that none did.
        """
        shown = self.request.headers.get(TICKET)
        if shown and not isinstance(error, TicketRefused):
            error.verdict = Verdict.MAY_HAVE_RUN
        self.desk.count(self._span, error.code, error.verdict)
        set_error(self, error, self.request_id.hex())

    def write_error(self, status_code, **kwargs):
        """Answer a fault that no handler foresaw.

        Parameters
        ----------
        status_code : int
            HTTP status.
        **kwargs : object
            What tornado knows of the fault.
        """
        if status_code in (404, 405):
            self.refuse(RequestRefused("unknown-path", self._reason, status_code))
        elif status_code < 500:
            self.refuse(RequestRefused("bad-request", self._reason, status_code))
        else:
            text = "a fault in the router"
            verdict = Verdict.MAY_HAVE_RUN
            self.refuse(EndpointFailed("internal", text, verdict, status_code))
        self.finish()


class ModelsHandler(Handler):
    """``GET /v1/models``: the models that are described."""

    def get(self):
        """List the models."""
        models = self.desk.fleet.configuration.model_by_name
        rows = [{"id": name, "object": "model"} for name in sorted(models)]
        self.write({"object": "list", "data": rows})


class ChatHandler(Handler):
    """``POST /v1/chat/completions``: one turn of a chat."""

    async def post(self):
        """Run one turn of a chat."""
        try:
            self.read_body()
            self.desk.check_open()
            chat = read_chat(self.desk.fleet, self.request.headers, self.request.body)
            if chat.stream:
                await self._stream(chat)
            else:
                await self._answer(chat)
        except RequestError as error:
            self._fail(error)
        except StreamClosedError:
            pass

    async def _answer(self, chat):
        self.sink = _Watch()
        reply, engine = await self.desk.run_chat(chat, self.request_id, None)
        self._set_head(reply, engine, chat)
        self.write(reply.body)

    async def _stream(self, chat):
        sink = self.sink = ResponseSink(self._open, self.desk.stream_buffer_bytes)
        self._chat = chat
        reply, engine = await self.desk.run_chat(chat, self.request_id, sink)
        if not sink.started:
            self._set_head(reply, engine, chat)
            self.write(reply.body)
            return
        await sink.drain()
        self.desk.count(self._span, "ok", Verdict.RAN)
        if not sink.closed:
            await self.finish()

    def _open(self):
        self.desk.record_first_byte(self._span)
        self.set_status(200)
        self.set_header("Content-Type", "text/event-stream")
        self.set_header("Cache-Control", "no-cache")
        self.set_header(REQUEST_ID, self.request_id.hex())
        self.set_header(VERDICT, Verdict.RAN.value)
        self._set_continuation(self.desk.engine_of(self.request_id), self._chat)
        self.flush()
        stream = self.request.connection.stream
        return BodyWriter(stream, self.request.version == "HTTP/1.1")

    def _set_head(self, reply, engine, chat):
        self.desk.record_first_byte(self._span)
        verdict = Verdict.RAN if reply.status == 200 else Verdict.NOT_RUN
        self.desk.count(self._span, "ok" if reply.status == 200 else "engine", verdict)
        self.set_status(reply.status)
        kind = reply.headers.get("Content-Type", "application/json")
        self.set_header("Content-Type", kind)
        self.set_header(REQUEST_ID, self.request_id.hex())
        self.set_header(VERDICT, verdict.value)
        self._set_continuation(engine, chat)

    def _set_continuation(self, engine, chat):
        token = self.desk.continue_at(engine, chat)
        if token:
            self.set_header(CONTINUATION, token)

    def _fail(self, error):
        if self.sink is None or not self.sink.started:
            self.refuse(error)
            return
        self.desk.count(self._span, error.code, error.verdict)
        if not self.sink.closed:
            data = describe_error(error, self.request_id.hex())
            self.sink.write(b"data: " + data + b"\n\n")
        stream = self.request.connection.detach()
        stream.close()


class ServiceHandler(Handler):
    """``/services/NAME/...``: calls of plain services."""

    SUPPORTED_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")

    async def get(self, name, path):
        """Pass a call on to a service.

        Parameters
        ----------
        name : str
            Name of the service.
        path : str
            Path below the service.
        """
        try:
            self.read_body()
            self.desk.check_open()
            customer = find_customer(self.desk.fleet, self.request.headers)
            reply = await self.desk.run_call(
                customer, self.request_id, self.request, name, path
            )
        except RequestError as error:
            self.refuse(error)
            return
        self.desk.count(self._span, "ok", reply.verdict)
        self.set_status(reply.status)
        self.clear_header("Content-Type")
        for field, value in reply.headers:
            self.add_header(field, value)
        self.set_header(REQUEST_ID, self.request_id.hex())
        self.set_header(VERDICT, reply.verdict.value)
        if reply.body and self.request.method != "HEAD":
            self.write(reply.body)

    head = post = put = patch = delete = get


class UnknownHandler(Handler):
    """Any other path."""

    def prepare(self):
        """Refuse the request."""
        error = RequestRefused("unknown-path", "there is no such path", 404)
        self._refuse_early(error)


class _Watch:
    """Stands in for a sink while an answer in one piece is awaited."""

    started = False
    closed = False

    def close(self):
        self.closed = True
