"""HTTP server for callers, and the gateway that its handlers use."""

import ssl

from attrs import define
from tornado.web import Application

from peridotcove.callers.handlers import (
    ChatHandler,
    ModelsHandler,
    ServiceHandler,
    UnknownHandler,
)
from peridotcove.connection_memory.server import BoundedServer
from peridotcove.exceptions import RequestRefused

CHUNK_BYTES = 65_536
# Tornado closes connections with heads over this many times the limit without a
# response; the handlers refuse smaller ones over the limit.
MAX_HEAD_FACTOR = 4
# Practically unlimited: the handlers limit the body, as tornado would close the
# connection without a response.
MAX_BODY_BYTES = 1 << 62


@define(eq=False)
class Span:
    """Progress of one request, to record each of its events once.

    Attributes
    ----------
    request_id : bytes
        Id of the request.
    start_ms : int
        Time in ms at which the request arrived.
    counted : bool
        Whether its outcome is recorded.
    ended : bool
        Whether its end is recorded.
    first_byte_sent : bool
        Whether the first byte of its response is recorded.
    """

    request_id: bytes
    start_ms: int
    counted: bool = False
    ended: bool = False
    first_byte_sent: bool = False


class CallerGateway:
    """Runs the requests of callers and records them in metrics and the timeline.

    Parameters
    ----------
    fleet : FleetView
        The node's view of the fleet.
    chat_router : ChatRouter
        Runs chats.
    service_router : ServiceRouter
        Runs calls to plain services.
    request_counter : RequestCounter
        Counts requests in progress.
    drain : DrainController
        Decides whether new requests are accepted.
    limits : Limits
        Limits of requests from callers.
    clock : Clock
        Source of time.
    metrics : Metrics
        The node's metrics.
    timeline : Timeline
        The node's timeline of events.
    """

    def __init__(
        self,
        fleet,
        chat_router,
        service_router,
        request_counter,
        drain,
        limits,
        clock,
        metrics,
        timeline,
    ):
        self.fleet = fleet
        self.limits = limits
        self.stream_buffer_bytes = limits.stream_buffer_bytes
        self._chat_router = chat_router
        self._service_router = service_router
        self._request_counter = request_counter
        self._drain = drain
        self._clock = clock
        self._metrics = metrics
        self._timeline = timeline

    def begin_request(self, request_id):
        """Record the arrival of a request and return its span.

        Parameters
        ----------
        request_id : bytes
            Id of the request.
        """
        self._request_counter.begin()
        self._metrics.in_progress.inc()
        self._timeline.record("request-arrived", request_id=request_id)
        return Span(request_id, self._clock.now())

    def end_request(self, span):
        """Record the end of a request, once.

        Parameters
        ----------
        span : Span
            Span of the request.
        """
        if span.ended:
            return
        span.ended = True
        self._request_counter.end()
        self._metrics.in_progress.dec()
        self._timeline.record("request-ended", request_id=span.request_id)

    def record_outcome(self, span, outcome, verdict):
        """Record the outcome and verdict of a request, once.

        Parameters
        ----------
        span : Span
            Span of the request.
        outcome : str
            ``"ok"`` or the code of an error.
        verdict : Verdict
            Whether the request may have run.
        """
        if span.counted:
            return
        span.counted = True
        self._metrics.requests.labels("any", outcome).inc()
        self._metrics.verdicts.labels(verdict.value).inc()

    def record_first_byte(self, span):
        """Record that the first byte of a response is about to be sent, once.

        Parameters
        ----------
        span : Span
            Span of the request.
        """
        if not span.first_byte_sent:
            span.first_byte_sent = True
            waited_s = (self._clock.now() - span.start_ms) / 1000
            self._metrics.first_byte.observe(waited_s)
            self._timeline.record("first-byte", request_id=span.request_id)

    def check_accepting(self):
        """Raise `RequestRefused` if the node is shutting down."""
        if not self._drain.admit_request():
            raise RequestRefused("closing", "this node is shutting down", 503, 1000)

    async def run_chat(self, chat, request_id, sink):
        """Run a chat request; see `ChatRouter.run_chat`.

        Parameters
        ----------
        chat : ChatRequest
            The request.
        request_id : bytes
            Id of the request.
        sink : ResponseSink or None
            Receives a streamed response; None for a response in one piece.
        """
        hint = self._chat_router.decode_hint(chat)
        return await self._chat_router.run_chat(chat, request_id, hint, sink)

    def get_leased_engine(self, request_id):
        """Return the engine on which a request holds a lease, or an empty name.

        Parameters
        ----------
        request_id : bytes
            Id of the request.
        """
        return self._chat_router.get_leased_engine(request_id)

    def make_continuation(self, engine, chat):
        """Return the continuation token for the chat's next turn, or an empty string.

        Parameters
        ----------
        engine : str
            Name of the engine that ran this turn.
        chat : ChatRequest
            The request.
        """
        return self._chat_router.encode_hint(engine, chat)

    async def run_call(self, customer, request_id, request, name, path):
        """Run a call to a plain service; see `ServiceRouter.run`.

        Parameters
        ----------
        customer : Customer
            Customer that the call belongs to.
        request_id : bytes
            Id of the request.
        request : HTTPServerRequest
            The request.
        name, path : str
            Name of the service, and path below it.
        """
        return await self._service_router.run(customer, request_id, request, name, path)


def make_server(gateway, limits, tls, group):
    """Return the HTTP server for callers, not yet listening.

    Parameters
    ----------
    gateway : CallerGateway
        Runs the requests and records them.
    limits : Limits
        Limits of requests from callers.
    tls : TlsFiles or None
        Files of the TLS certificate and key; None for plain HTTP.
    group : ConnectionGroup
        Bounds the connections.
    """
    handler_arguments = {"gateway": gateway}
    routes = [
        (r"/v1/chat/completions", ChatHandler, handler_arguments),
        (r"/v1/models", ModelsHandler, handler_arguments),
        (r"/services/([^/]+)(/.*|)", ServiceHandler, handler_arguments),
        (r".*", UnknownHandler, handler_arguments),
    ]
    return BoundedServer(
        Application(routes),
        group,
        ssl_options=_make_ssl_context(tls),
        max_header_size=limits.header_bytes * MAX_HEAD_FACTOR,
        max_body_size=MAX_BODY_BYTES,
        idle_connection_timeout=limits.body_ms / 1000,
        chunk_size=CHUNK_BYTES,
    )


def _make_ssl_context(tls):
    if tls is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(tls.certificate_file, tls.key_file)
    return context
