"""The HTTP server towards callers."""

import ssl

from attrs import define
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from peridotcove.callers.handlers import (
    ChatHandler,
    ModelsHandler,
    ServiceHandler,
    UnknownHandler,
)
from peridotcove.exceptions import RequestRefused

CHUNK_BYTES = 65_536
# Heads up to this many times the limit get an answer; larger ones are cut.
HEAD_FACTOR = 4
# The handlers bound the body; tornado's own bound would close without an answer.
MOST_BODY_BYTES = 1 << 62


@define(eq=False)
class Span:
    """One request between its arrival and its end."""

    request_id: bytes
    start_ms: int
    counted: bool = False
    ended: bool = False
    first: bool = False


class CallerGateway:
    """What the handlers towards callers work with.

    Parameters
    ----------
    fleet : Fleet
        The node's view.
    router : Router
        Runs chats.
    calls : ServiceRouter
        Runs calls of plain services.
    activity : Activity
        Requests in progress.
    drain : Drain
        Says whether new requests are taken.
    limits : Limits
        What the node takes from strangers.
    clock : Clock
        Source of time.
    metrics : Metrics
        The node's metrics.
    timeline : Timeline
        The node's events.
    """

    def __init__(
        self,
        fleet,
        router,
        calls,
        activity,
        drain,
        limits,
        clock,
        metrics,
        timeline,
    ):
        self.fleet = fleet
        self.limits = limits
        self.stream_buffer_bytes = limits.stream_buffer_bytes
        self._router = router
        self._calls = calls
        self._activity = activity
        self._drain = drain
        self._clock = clock
        self._metrics = metrics
        self._timeline = timeline

    def begin(self, request_id):
        """Count a request as in progress and return its span.

        Parameters
        ----------
        request_id : bytes
            Id of the request.
        """
        self._activity.begin()
        self._metrics.in_progress.inc()
        self._timeline.record("request-arrived", request_id=request_id)
        return Span(request_id, self._clock.now())

    def end(self, span):
        """Count a request as ended.

        Parameters
        ----------
        span : Span
            The request; it may have ended already.
        """
        if span.ended:
            return
        span.ended = True
        self._activity.end()
        self._metrics.in_progress.dec()
        self._timeline.record("request-ended", request_id=span.request_id)

    def count(self, span, outcome, verdict):
        """Count a request's outcome and verdict, once.

        Parameters
        ----------
        span : Span
            The request.
        outcome : str
            ``"ok"`` or the code of an error.
        verdict : Verdict
            Whether it may have run.
        """
        if span.counted:
            return
        span.counted = True
        self._metrics.requests.labels("any", outcome).inc()
        self._metrics.verdicts.labels(verdict.value).inc()

    def record_first_byte(self, span):
        """Note that the first byte of an answer goes to the caller.

        Parameters
        ----------
        span : Span
            The request.
        """
        if not span.first:
            span.first = True
            waited = (self._clock.now() - span.start_ms) / 1000
            self._metrics.first_byte.observe(waited)
            self._timeline.record("first-byte", request_id=span.request_id)

    def check_open(self):
        """Refuse new requests once the node closes."""
        if not self._drain.admit_request():
            raise RequestRefused("closing", "this node is going away", 503, 1000)

    async def run_chat(self, chat, request_id, sink):
        """Run a chat; see `ChatRouter.run_chat`.

        Parameters
        ----------
        chat : Chat
            The request.
        request_id : bytes
            Its id.
        sink : Sink or None
            Takes a streamed answer.
        """
        hint = self._router.decode_hint(chat)
        return await self._router.run_chat(chat, request_id, hint, sink)

    def engine_of(self, request_id):
        """Return the engine on which a request holds a lease, or an empty name.

        Parameters
        ----------
        request_id : bytes
            Id of the request.
        """
        return self._router.get_leased_engine(request_id)

    def continue_at(self, engine, chat):
        """Return the token that the caller may send with the chat's next turn.

        Parameters
        ----------
        engine : str
            Engine of this turn.
        chat : Chat
            The request.
        """
        return self._router.encode_hint(engine, chat)

    async def run_call(self, customer, request_id, request, name, path):
        """Run a call of a plain service; see `ServiceRouter.run`.

        Parameters
        ----------
        customer : Customer
            Who calls.
        request_id : bytes
            Id of the request.
        request : HTTPServerRequest
            The request.
        name, path : str
            Service and path below it.
        """
        return await self._calls.run(customer, request_id, request, name, path)


def make_server(desk, limits, tls):
    """Return the HTTP server towards callers, not yet listening.

    Parameters
    ----------
    desk : CallerDesk
        What the handlers work with.
    limits : Limits
        What the node takes from strangers.
    tls : TlsFiles or None
        Certificate; plain HTTP without it.
    """
    work = {"desk": desk}
    routes = [
        (r"/v1/chat/completions", ChatHandler, work),
        (r"/v1/models", ModelsHandler, work),
        (r"/services/([^/]+)(/.*|)", ServiceHandler, work),
        (r".*", UnknownHandler, work),
    ]
    return HTTPServer(
        Application(routes),
        ssl_options=_make_context(tls),
        max_header_size=limits.header_bytes * HEAD_FACTOR,
        max_body_size=MOST_BODY_BYTES,
        idle_connection_timeout=limits.body_ms / 1000,
        chunk_size=CHUNK_BYTES,
    )


def _make_context(tls):
    if tls is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(tls.certificate_file, tls.key_file)
    return context


def listen(server, host, port):
    """Let a server listen and return the port.

    Parameters
    ----------
    server : HTTPServer
        The server.
    host : str
        IP number.
    port : int
        Port; 0 takes one from the system.
    """
    sockets = bind_sockets(port, host)
    server.add_sockets(sockets)
    return sockets[0].getsockname()[1]
