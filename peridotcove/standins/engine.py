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
from peridotcove.standins.server import ControlHandler, Handler, Standin

BYTES_PER_BLOCK = 1 << 20
DEFAULT_MAX_TOKENS = 32


@frozen
class EngineOptions:
    """Speeds and limits of an engine.

    Attributes
    ----------
    model, model_version : str
        What it serves at first; any model when empty.
    capacity : int
        Requests that run at once.
    prefill_rate : float
        Tokens of a prompt per second.
    token_ms : float
        Time per token in ms.
    batch_slowdown : float
        Share by which each running request slows a token.
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
        Time in ms from a caller's leaving to the end of its work.
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
    """What the engine was last told to run.

    Attributes
    ----------
    fence : int
        Number of the last order.
    model, version, role : str
        What it runs.
    adapters : list of str
        Adapters that it has loaded.
    loading : bool
        Whether weights are still on their way.
    orders : int
        Orders accepted.
    """

    model: str
    version: str
    fence: int = 0
    adapters: list = []
    role: str = "mixed"
    loading: bool = False
    orders: int = 0


class EngineStandin(Standin):
    """A model engine.

    Parameters
    ----------
    options : EngineOptions
        Speeds and limits.

    Attributes
    ----------
    cache : PrefixCache
        Its prefix cache.
    scheduler : Batch
        Its work.
    orders : Orders
        What it runs.
    requests : int
        Chats received.
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
            (r"/control", ControlHandler),
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
        """Return the counts that tests and tables read."""
        batch = self.scheduler
        starts = batch.start_count_by_id.values()
        return {
            "requests": self.requests,
            "cancelled": batch.cancelled,
            "running": batch.running,
            "waiting": batch.waiting,
            "highest_running": batch.highest,
            "prompt_tokens": batch.prefilled,
            "cached_tokens": batch.cached,
            "cache_blocks": len(self.cache),
            "started_twice": sum(count > 1 for count in starts),
        }


class ChatHandler(Handler):
    """Runs one chat, streamed or not."""

    stream = None

    async def post(self):
        """Run the chat."""
        self.standin.requests += 1
        fault = engine_faults.faults.get(self.standin.faults.take())
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
        await self.answer(body)

    def make_stream(self, body, model):
        """Return the work of a request.

        Parameters
        ----------
        body : dict
            The request.
        model : str
            Model and adapter.
        """
        default_id = f"{time.time_ns():x}"
        limit = body.get("max_completion_tokens", body.get("max_tokens"))
        return Stream(
            id=self.request.headers.get("X-Request-Id", default_id),
            model=model,
            answer=Completion(model, body.get("messages", [])),
            max_tokens=int(limit or DEFAULT_MAX_TOKENS),
            priority=int(body.get("priority", 1)),
            token_ms=body.get("token_ms"),
        )

    async def answer(self, body):
        """Answer a request that was submitted.

        Parameters
        ----------
        body : dict
            The request.
        """
        if body.get("stream"):
            options = body.get("stream_options") or {}
            usage = bool(options.get("include_usage"))
            await send_events(self, self.stream, 0, usage, self.cut)
            return
        while not self.stream.ended:
            await self.stream.changes.next()
        if self.stream.state == "done":
            self.write_json(render_answer(self.stream))

    cut = None

    def on_connection_close(self):
        """Cancel the work of a caller that left."""
        if self.stream is None:
            return
        loop = asyncio.get_running_loop()
        delay_s = self.standin.options.cancel_ms / MS_PER_S
        loop.call_later(delay_s, self.standin.scheduler.cancel, self.stream)


class ResumeHandler(Handler):
    """Continues a stream whose connection broke."""

    async def get(self, request_id):
        """Send the data events after the ``after``-th.

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
    """Reports the load, late by the lag."""

    def get(self):
        """Answer with the counts of requests that run and wait."""
        running, waiting = self.standin.scheduler.report()
        at_ms = time.time_ns() // 1_000_000 - int(self.standin.options.lag)
        self.write_json({"running": running, "waiting": waiting, "at_ms": at_ms})


class EventsHandler(Handler):
    """Publishes changes of the cache, late and with gaps."""

    POLL_MS = 20

    async def get(self):
        """Answer with events after ``after``, at the latest after ``wait_ms``."""
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
    """Takes orders to load a model or change the role."""

    def get(self):
        """Answer with what it runs."""
        self.write_json(self.state())

    def post(self):
        """Follow an order, or refuse one with an old fencing number."""
        body = self.read_json()
        orders = self.standin.assignment
        fence = int(body.get("fence", 0))
        if self.standin.options.checks_fencing and fence < orders.fence:
            self.write_json({"fence": orders.fence}, 409)
            return
        model = body.get("model", orders.model)
        version = body.get("version", orders.version)
        if (model, version) != (orders.model, orders.version):
            asyncio.ensure_future(self.load())
        self.standin.assignment = evolve(
            orders,
            fence=fence,
            model=model,
            version=version,
            adapters=list(body.get("adapters", orders.adapters)),
            role=body.get("role", orders.role),
            orders=orders.orders + 1,
        )
        self.write_json(self.state())

    async def load(self):
        """Wait for the weights; the cache of the old model is lost."""
        await asyncio.sleep(0)
        self.standin.assignment.loading = True
        loop = asyncio.get_running_loop()
        self.standin.cache.clear(loop.time() * MS_PER_S)
        options = self.standin.options
        await asyncio.sleep(options.weight_bytes / options.weight_rate)
        self.standin.assignment.loading = False

    def state(self):
        """Return what it runs as JSON."""
        orders = self.standin.assignment
        names = ("fence", "model", "version", "adapters", "role", "loading", "orders")
        return {name: getattr(orders, name) for name in names}


class ExportHandler(Handler):
    """Says which KV blocks it can hand over."""

    def post(self):
        """Answer with the hashes held, and their size in bytes."""
        hashes = [int(value, 16) for value in self.read_json().get("hashes", [])]
        held = [f"{value:016x}" for value in self.standin.cache.filter_held(hashes)]
        self.write_json({"hashes": held, "bytes": len(held) * BYTES_PER_BLOCK})


class ImportHandler(Handler):
    """Takes over KV blocks."""

    def post(self):
        """Store the hashes."""
        hashes = [int(value, 16) for value in self.read_json().get("hashes", [])]
        self.standin.cache.store(hashes, asyncio.get_running_loop().time() * MS_PER_S)
        self.write_json({"stored": len(hashes)})


class StatsHandler(Handler):
    """Answers with the stand-in's counts."""

    def get(self):
        """Answer with the counts."""
        self.write_json(self.standin.stats())


async def send_events(handler, stream, after, usage, cut=None):
    """Send a stream as server-sent events.

    Parameters
    ----------
    handler : Handler
        Handler whose answer it is.
    stream : Stream
        The stream.
    after : int
        Data events that the reader already has.
    usage : bool
        Whether a last chunk tells the usage.
    cut : int or None
        Data events after which the connection breaks; None for a whole answer.
    """
    handler.set_header("Content-Type", "text/event-stream")
    sent = after
    try:
        while True:
            while sent < len(stream.tokens) and sent != cut:
                handler.write(render_event(stream, sent))
                sent += 1
            await handler.flush()
            if sent == cut:
                handler.stream = None
                handler.break_connection()
                return
            if sent < len(stream.tokens):
                continue
            if stream.ended:
                break
            await stream.changes.next()
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
        Place of the token.
    """
    last = index == stream.max_tokens - 1
    choice = {
        "index": 0,
        "delta": {"content": stream.tokens[index]},
        "finish_reason": "length" if last else None,
    }
    return _event(_head(stream, "chat.completion.chunk") | {"choices": [choice]})


def render_end(stream, usage):
    """Return the end of a stream.

    Parameters
    ----------
    stream : Stream
        The stream.
    usage : bool
        Whether a chunk with the usage comes first.
    """
    text = b"data: [DONE]\n\n"
    if not usage:
        return text
    head = _head(stream, "chat.completion.chunk")
    return _event(head | {"choices": [], "usage": _usage(stream)}) + text


def render_answer(stream):
    """Return a whole answer as JSON.

    Parameters
    ----------
    stream : Stream
        A stream that is done.
    """
    message = {"role": "assistant", "content": "".join(stream.tokens)}
    choice = {"index": 0, "message": message, "finish_reason": "length"}
    head = _head(stream, "chat.completion")
    return head | {"choices": [choice], "usage": _usage(stream)}


def _head(stream, kind):
    return {"id": f"chatcmpl-{stream.id}", "object": kind, "model": stream.model}


def _usage(stream):
    return {
        "prompt_tokens": stream.prompt_tokens,
        "completion_tokens": len(stream.tokens),
        "total_tokens": stream.prompt_tokens + len(stream.tokens),
        "prompt_tokens_details": {"cached_tokens": stream.cached_tokens},
    }


def _event(value):
    return b"data: " + json.dumps(value).encode() + b"\n\n"
