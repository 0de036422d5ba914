"""A stand-in for a model engine: OpenAI-style chats, cache events, load, orders."""

import asyncio
import json
import time

import tornado.iostream
import tornado.web
from attrs import define, evolve, frozen

from peridotcove.clock import MS_PER_S
from peridotcove.standins import engine_faults
from peridotcove.standins.batch_scheduler import BatchScheduler, Stream
from peridotcove.standins.completions import Completion
from peridotcove.standins.prefix_cache import PrefixCache
from peridotcove.standins.server import FaultModeHandler, Handler, StandinServer

BYTES_PER_BLOCK = 1 << 20
DEFAULT_MAX_TOKENS = 32


@frozen
class EngineOptions:
    """Speeds and limits of an engine.

    Attributes
    ----------
    model, model_version : str
        Model and version that it serves at the start; any model when empty.
    capacity : int
        Number of requests that run at once.
    prefill_rate : float
        Prefill speed in prompt tokens per second.
    token_ms : float
        Decode time per token in ms.
    batch_slowdown : float
        Fraction of `token_ms` that each running request adds to a token.
    cache_blocks, block_chars : int
        Size of the cache in blocks, and of a block in characters.
    lag : float
        Delay in ms of load reports and cache events.
    drop : float
        Probability that a cache event is lost.
    checks_fencing : bool
        Whether it refuses orders with an old fencing number.
    weight_bytes, weight_rate : float
        Size of a model in bytes and the weight store's rate in bytes per second.
    cancel_ms : float
        Time in ms from a disconnect of the caller to the cancellation of its request.
    """

    model: str = ""
    model_version: str = "1"
    capacity: int = 32
    prefill_rate: float = 20_000.0
    token_ms: float = 10.0
    batch_slowdown: float = 0.0
    cache_blocks: int = 4_096
    block_chars: int = 256
    lag: float = 0.0
    drop: float = 0.0
    checks_fencing: bool = True
    weight_bytes: float = 0.0
    weight_rate: float = 1e9
    cancel_ms: float = 0.0


@define
class Assignment:
    """Model and role that the last order assigned to the engine.

    Attributes
    ----------
    fence : int
        Fencing number of the last accepted order.
    model, version, role : str
        Model, version and role that it runs.
    adapters : list of str
        Loaded adapters.
    loading : bool
        Whether weights are still being loaded.
    orders : int
        Number of orders accepted.
    """

    model: str
    version: str
    fence: int = 0
    adapters: list = []
    role: str = "mixed"
    loading: bool = False
    orders: int = 0


class EngineStandin(StandinServer):
    """Emulates a model engine.

    Parameters
    ----------
    options : EngineOptions
        Speeds and limits.

    Attributes
    ----------
    cache : PrefixCache
        Its prefix cache.
    scheduler : BatchScheduler
        Its scheduler.
    assignment : Assignment
        Its current assignment.
    requests : int
        Number of chat requests received.
    """

    MODES = engine_faults.MODES

    def __init__(self, options=None):
        super().__init__()
        self.options = options or EngineOptions()
        self.cache = PrefixCache(
            self.options.cache_blocks, self.options.lag, self.options.drop
        )
        self.scheduler = BatchScheduler(self.options, self.cache)
        self.assignment = Assignment(self.options.model, self.options.model_version)
        self.epoch = time.time_ns() // 1_000_000
        self.requests = 0

    def routes(self):
        """Return pairs of a path pattern and a handler class."""
        return [
            (r"/v1/chat/completions", ChatHandler),
            (r"/v1/streams/([^/]+)", ResumeHandler),
            (r"/v1/streams/([^/]+)/cancel", CancelHandler),
            (r"/load", LoadHandler),
            (r"/cache/events", EventsHandler),
            (r"/orders", OrdersHandler),
            (r"/kv/export", ExportHandler),
            (r"/kv/import", ImportHandler),
            (r"/stats", StatsHandler),
            (r"/control", FaultModeHandler),
        ]

    def serves(self, model):
        """Return whether a model is loaded.

        Parameters
        ----------
        model : str
            Model and adapter, ``model:adapter``.
        """
        name, _, adapter = model.partition(":")
        if self.assignment.loading or (self.assignment.model not in ("", name)):
            return False
        known = self.assignment.adapters
        return not adapter or not known or adapter in known

    def stats(self):
        """Return the counts that tests and the demo's table read."""
        scheduler = self.scheduler
        starts = scheduler.start_count_by_id.values()
        return {
            "requests": self.requests,
            "cancelled": scheduler.cancelled,
            "running": scheduler.running,
            "waiting": scheduler.waiting,
            "highest_running": scheduler.max_running,
            "prompt_tokens": scheduler.total_prompt_tokens,
            "cached_tokens": scheduler.total_cached_tokens,
            "cache_blocks": len(self.cache),
            "started_twice": sum(count > 1 for count in starts),
        }


class ChatHandler(Handler):
    """Runs one chat request, streamed or not."""

    stream = None

    async def post(self):
        """Apply the fault mode, then run the chat."""
        self.standin.requests += 1
        fault = engine_faults.faults.get(self.standin.faults.next_mode())
        if await fault(self):
            return
        body = self.read_json()
        model = str(body.get("model", ""))
        if not self.standin.serves(model):
            message = f"the model {model!r} is not loaded"
            self.write_json({"error": {"message": message, "code": "model"}}, 404)
            return
        self.stream = self.make_stream(body, model)
        self.standin.scheduler.submit(self.stream)
        await self.respond(body)

    def make_stream(self, body, model):
        """Return the `Stream` of a request.

        Parameters
        ----------
        body : dict
            JSON body of the request.
        model : str
            Model and adapter.
        """
        default_id = f"{time.time_ns():x}"
        limit = body.get("max_completion_tokens", body.get("max_tokens"))
        return Stream(
            id=self.request.headers.get("X-Request-Id", default_id),
            model=model,
            completion=Completion(model, body.get("messages", [])),
            max_tokens=int(limit or DEFAULT_MAX_TOKENS),
            priority=int(body.get("priority", 1)),
            token_ms=body.get("token_ms"),
        )

    async def respond(self, body):
        """Write the response of a submitted request.

        Parameters
        ----------
        body : dict
            JSON body of the request.
        """
        if body.get("stream"):
            options = body.get("stream_options") or {}
            usage = bool(options.get("include_usage"))
            await send_events(self, self.stream, 0, usage, self.cut_after)
            return
        while not self.stream.ended:
            await self.stream.changes.wait_for_change()
        if self.stream.state == "done":
            self.write_json(render_answer(self.stream))

    cut_after = None

    def on_connection_close(self):
        """Cancel the request of a caller that disconnected."""
        if self.stream is None:
            return
        loop = asyncio.get_running_loop()
        delay_s = self.standin.options.cancel_ms / MS_PER_S
        loop.call_later(delay_s, self.standin.scheduler.cancel, self.stream)


class ResumeHandler(Handler):
    """Resumes a stream whose connection broke."""

    async def get(self, request_id):
        """Send the data events after the first ``after`` ones.

        Parameters
        ----------
        request_id : str
            Id of the request, with or without ``chatcmpl-``.
        """
        request_id = request_id.removeprefix("chatcmpl-")
        stream = self.standin.scheduler.stream_by_id.get(request_id)
        if stream is None or stream.state == "cancelled":
            self.write_json({"error": {"message": "no such stream"}}, 404)
            return
        usage = bool(self.get_number("usage"))
        await send_events(self, stream, self.get_number("after"), usage)


class CancelHandler(Handler):
    """Cancels a stream."""

    def post(self, request_id):
        """Cancel the stream.

        Parameters
        ----------
        request_id : str
            Id of the request, with or without ``chatcmpl-``.
        """
        request_id = request_id.removeprefix("chatcmpl-")
        stream = self.standin.scheduler.stream_by_id.get(request_id)
        if stream is None:
            self.write_json({"cancelled": False}, 404)
            return
        self.standin.scheduler.cancel(stream)
        self.write_json({"cancelled": stream.state == "cancelled"})


class LoadHandler(Handler):
    """Reports the load as of `lag` ms ago."""

    def get(self):
        """Respond with the counts of running and waiting requests."""
        running, waiting = self.standin.scheduler.read_delayed_load()
        at_ms = time.time_ns() // 1_000_000 - int(self.standin.options.lag)
        self.write_json({"running": running, "waiting": waiting, "at_ms": at_ms})


class EventsHandler(Handler):
    """Publishes changes of the cache, delayed and with gaps."""

    POLL_MS = 20

    async def get(self):
        """Respond with events after ``after``; wait up to ``wait_ms`` for one."""
        cache, loop = self.standin.cache, asyncio.get_running_loop()
        after = self.get_number("after")
        end = loop.time() + self.get_number("wait_ms") / MS_PER_S
        events = cache.list_events(after, loop.time() * MS_PER_S)
        while not events and loop.time() < end:
            await asyncio.sleep(min(self.POLL_MS / MS_PER_S, end - loop.time()))
            events = cache.list_events(after, loop.time() * MS_PER_S)
        first = cache.events[0].seq if cache.events else 0
        listed = [event.to_json() for event in events]
        epoch = self.standin.epoch
        self.write_json({"epoch": epoch, "first": first, "events": listed})


class OrdersHandler(Handler):
    """Handles orders to load a model or change the role."""

    def get(self):
        """Respond with the current assignment."""
        self.write_json(self.state())

    def post(self):
        """Apply an order, or refuse one with an old fencing number."""
        body = self.read_json()
        assignment = self.standin.assignment
        fence = int(body.get("fence", 0))
        if self.standin.options.checks_fencing and fence < assignment.fence:
            self.write_json({"fence": assignment.fence}, 409)
            return
        model = body.get("model", assignment.model)
        version = body.get("version", assignment.version)
        if (model, version) != (assignment.model, assignment.version):
            asyncio.ensure_future(self.load_weights())
        self.standin.assignment = evolve(
            assignment,
            fence=fence,
            model=model,
            version=version,
            adapters=list(body.get("adapters", assignment.adapters)),
            role=body.get("role", assignment.role),
            orders=assignment.orders + 1,
        )
        self.write_json(self.state())

    async def load_weights(self):
        """Clear the cache and wait until the weights are loaded."""
        await asyncio.sleep(0)
        self.standin.assignment.loading = True
        loop = asyncio.get_running_loop()
        self.standin.cache.clear(loop.time() * MS_PER_S)
        options = self.standin.options
        await asyncio.sleep(options.weight_bytes / options.weight_rate)
        self.standin.assignment.loading = False

    def state(self):
        """Return the current assignment as JSON."""
        assignment = self.standin.assignment
        names = ("fence", "model", "version", "adapters", "role", "loading", "orders")
        return {name: getattr(assignment, name) for name in names}


class ExportHandler(Handler):
    """Exports KV blocks to another engine."""

    def post(self):
        """Respond with the hashes that are cached, and their size in bytes."""
        hashes = [int(value, 16) for value in self.read_json().get("hashes", [])]
        held = [f"{value:016x}" for value in self.standin.cache.filter_held(hashes)]
        self.write_json({"hashes": held, "bytes": len(held) * BYTES_PER_BLOCK})


class ImportHandler(Handler):
    """Imports KV blocks from another engine."""

    def post(self):
        """Add the hashes to the cache."""
        hashes = [int(value, 16) for value in self.read_json().get("hashes", [])]
        self.standin.cache.store(hashes, asyncio.get_running_loop().time() * MS_PER_S)
        self.write_json({"stored": len(hashes)})


class StatsHandler(Handler):
    """Serves the stand-in's counts."""

    def get(self):
        """Respond with the counts."""
        self.write_json(self.standin.stats())


async def send_events(handler, stream, after, usage, cut_after=None):
    """Send a stream as server-sent events.

    Parameters
    ----------
    handler : Handler
        Handler that writes the response.
    stream : Stream
        The stream.
    after : int
        Number of data events that the reader already has.
    usage : bool
        Whether a last chunk reports the usage.
    cut_after : int or None
        Number of data events after which the connection breaks; None for never.
    """
    handler.set_header("Content-Type", "text/event-stream")
    sent = after
    try:
        while True:
            while sent < len(stream.tokens) and sent != cut_after:
                handler.write(render_event(stream, sent))
                sent += 1
            await handler.flush()
            if sent == cut_after:
                handler.stream = None
                handler.break_connection()
                return
            if sent < len(stream.tokens):
                continue
            if stream.ended:
                break
            await stream.changes.wait_for_change()
        if stream.state == "cancelled":
            handler.break_connection()
            return
        handler.write(render_end(stream, usage))
        await handler.flush()
    except tornado.iostream.StreamClosedError:
        return


def render_event(stream, index):
    """Return one token as a server-sent event.

    Parameters
    ----------
    stream : Stream
        The stream.
    index : int
        Index of the token.
    """
    last = index == stream.max_tokens - 1
    choice = {
        "index": 0,
        "delta": {"content": stream.tokens[index]},
        "finish_reason": "length" if last else None,
    }
    return _encode_event(
        _make_header(stream, "chat.completion.chunk") | {"choices": [choice]}
    )


def render_end(stream, usage):
    """Return the last events of a stream.

    Parameters
    ----------
    stream : Stream
        The stream.
    usage : bool
        Whether a chunk with the usage precedes ``[DONE]``.
    """
    text = b"data: [DONE]\n\n"
    if not usage:
        return text
    header = _make_header(stream, "chat.completion.chunk")
    return _encode_event(header | {"choices": [], "usage": _make_usage(stream)}) + text


def render_answer(stream):
    """Return a response that is not streamed, as JSON.

    Parameters
    ----------
    stream : Stream
        A stream that is done.
    """
    message = {"role": "assistant", "content": "".join(stream.tokens)}
    choice = {"index": 0, "message": message, "finish_reason": "length"}
    header = _make_header(stream, "chat.completion")
    return header | {"choices": [choice], "usage": _make_usage(stream)}


def _make_header(stream, kind):
    return {"id": f"chatcmpl-{stream.id}", "object": kind, "model": stream.model}


def _make_usage(stream):
    return {
        "prompt_tokens": stream.prompt_tokens,
        "completion_tokens": len(stream.tokens),
        "total_tokens": stream.prompt_tokens + len(stream.tokens),
        "prompt_tokens_details": {"cached_tokens": stream.cached_tokens},
    }


def _encode_event(value):
    return b"data: " + json.dumps(value).encode() + b"\n\n"
