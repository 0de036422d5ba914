"""The engine stand-in's work: a queue by priority, prefill, a token at a time."""

import asyncio
import collections
import heapq
import itertools

from attrs import define, field

from peridotcove.clock import MS_PER_S
from peridotcove.prefix_hashes import hash_prefixes, serialize_messages
from peridotcove.standins.completions import CHARS_PER_TOKEN, Completion, count_tokens
from peridotcove.standins.server import Changes

KEPT_STREAM_MS = 30_000
KEPT_REPORTS = 10_000
YIELD_EVERY_TOKENS = 8


@define(eq=False)
class Stream:
    """One request in progress or just done.

    Attributes
    ----------
    id : str
        Id of the request.
    model : str
        Model and adapter.
    answer : Answer
        Its answer.
    max_tokens : int
        Length of the answer.
    priority : int
        Class in the queue; 0 goes first.
    token_ms : float or None
        Time per token in ms; None for the engine's own.
    cached_tokens : int
        Tokens of the prompt found in the cache.
    tokens : list of str
        Tokens made so far.
    state : str
        ``"waiting"``, ``"running"``, ``"done"`` or ``"cancelled"``.
    changes : Changes
        Wakes readers on each token.
    """

    id: str
    model: str
    answer: Completion
    max_tokens: int
    priority: int = 1
    token_ms: float | None = None
    cached_tokens: int = 0
    tokens: list = field(factory=list)
    state: str = "waiting"
    changes: Changes = field(factory=Changes)
    task: object = None

    @property
    def ended(self):
        """Whether no further token comes."""
        return self.state in ("done", "cancelled")

    @property
    def prompt_tokens(self):
        """Tokens of the prompt."""
        return count_tokens(self.answer.prompt)


class BatchScheduler:
    """Requests that run together on one engine.

    Parameters
    ----------
    options : EngineOptions
        Speeds and limits.
    cache : PrefixCache
        The engine's cache.

    Attributes
    ----------
    stream_by_id : dict
        Streams in progress and those kept for a resume.
    running, highest, cancelled, prefilled, cached : int
        Requests that run, the most at once, those cancelled, tokens of prompts and
        those of them found in the cache.
    start_count_by_id : Counter
        How often each request id was started.
    """

    def __init__(self, options, cache):
        self.options = options
        self.cache = cache
        self.stream_by_id = {}
        self.start_count_by_id = collections.Counter()
        self.running = 0
        self.highest = 0
        self.cancelled = 0
        self.prefilled = 0
        self.cached = 0
        self._queue = []
        self._order = itertools.count()
        self._history = collections.deque([(0.0, 0, 0)], maxlen=KEPT_REPORTS)

    @property
    def waiting(self):
        """Requests that wait for a place."""
        return sum(stream.state == "waiting" for _, _, stream in self._queue)

    def submit(self, stream):
        """Enter a request into the queue.

        Parameters
        ----------
        stream : Stream
            A new request.
        """
        self.start_count_by_id[stream.id] += 1
        self.stream_by_id[stream.id] = stream
        heapq.heappush(self._queue, (stream.priority, next(self._order), stream))
        self._fill()

    def cancel(self, stream):
        """End a request early.

        Parameters
        ----------
        stream : Stream
            The request.
        """
        if stream.ended:
            return
        self.cancelled += 1
        was_running = stream.state == "running"
        stream.state = "cancelled"
        if was_running:
            stream.task.cancel()
            self._leave(stream)
        stream.changes.notify()
        self._note()

    def report(self):
        """Return the load as the engine shows it: late by its lag."""
        now = _now_ms()
        while len(self._history) > 1 and self._history[1][0] <= now - self.options.lag:
            self._history.popleft()
        _, running, waiting = self._history[0]
        return running, waiting

    def _fill(self):
        while self._queue and self.running < self.options.capacity:
            _, _, stream = heapq.heappop(self._queue)
            if stream.state != "waiting":
                continue
            stream.state = "running"
            self.running += 1
            self.highest = max(self.highest, self.running)
            stream.task = asyncio.ensure_future(self._run(stream))
        self._note()

    def _leave(self, stream):
        self.running -= 1
        loop = asyncio.get_running_loop()
        loop.call_later(KEPT_STREAM_MS / MS_PER_S, self._forget, stream)
        self._fill()

    def _forget(self, stream):
        if self.stream_by_id.get(stream.id) is stream:
            del self.stream_by_id[stream.id]

    def _note(self):
        self._history.append((_now_ms(), self.running, self.waiting))

    def _hashes(self, stream, text):
        return hash_prefixes(stream.model, text, self.options.block_chars)

    async def _run(self, stream):
        hashes = self._hashes(stream, stream.answer.prompt)
        blocks = self.cache.count_cached(hashes)
        stream.cached_tokens = blocks * self.options.block_chars // CHARS_PER_TOKEN
        self.prefilled += stream.prompt_tokens
        self.cached += stream.cached_tokens
        fresh = stream.prompt_tokens - stream.cached_tokens
        await asyncio.sleep(fresh / self.options.prefill_rate)
        await self._generate(stream)
        self._store(stream)
        stream.state = "done"
        stream.changes.notify()
        self._leave(stream)

    async def _generate(self, stream):
        due = asyncio.get_running_loop().time()
        for index in range(stream.max_tokens):
            if index:
                token_ms = self._token_ms(stream)
                due += token_ms / MS_PER_S
                await _pace(index, due, token_ms)
            stream.tokens.append(stream.answer.token(index))
            stream.changes.notify()

    def _token_ms(self, stream):
        if stream.token_ms is not None:
            return stream.token_ms
        return self.options.token_ms * (1 + self.options.batch_slowdown * self.running)

    def _store(self, stream):
        reply = serialize_messages(
            [{"role": "assistant", "content": "".join(stream.tokens)}]
        )
        hashes = self._hashes(stream, stream.answer.prompt + reply)
        self.cache.store(hashes, _now_ms())


async def _pace(index, due, token_ms):
    wait = due - asyncio.get_running_loop().time()
    if wait > 0:
        await asyncio.sleep(wait)
    elif token_ms or index % YIELD_EVERY_TOKENS == 0:
        await asyncio.sleep(0)


def _now_ms():
    return asyncio.get_running_loop().time() * MS_PER_S
