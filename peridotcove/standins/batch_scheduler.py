"""The engine stand-in's scheduler: priority queue, prefill and token-wise decode."""

import asyncio
import collections
import heapq
import itertools

from attrs import define, field

from peridotcove.clock import MS_PER_S
from peridotcove.prefix_hashes import hash_prefixes, serialize_messages
from peridotcove.standins.completions import CHARS_PER_TOKEN, Completion, count_tokens
from peridotcove.standins.server import ChangeNotifier

STREAM_RETENTION_MS = 30_000
MAX_LOAD_REPORTS = 10_000
YIELD_EVERY_TOKENS = 8


@define(eq=False)
class Stream:
    """One request that waits, runs, or ended recently.

    Attributes
    ----------
    id : str
        Id of the request.
    model : str
        Model and adapter.
    completion : Completion
        Text that it generates.
    max_tokens : int
        Length of the completion.
    priority : int
        Priority class in the queue; 0 is scheduled first.
    token_ms : float or None
        Time per token in ms; None for the engine's default.
    cached_tokens : int
        Tokens of the prompt found in the cache.
    tokens : list of str
        Tokens generated so far.
    state : str
        ``"waiting"``, ``"running"``, ``"done"`` or ``"cancelled"``.
    changes : ChangeNotifier
        Wakes readers after each token and at the end.
    """

    id: str
    model: str
    completion: Completion
    max_tokens: int
    priority: int = 1
    token_ms: float | None = None
    cached_tokens: int = 0
    tokens: list = field(factory=list)
    state: str = "waiting"
    changes: ChangeNotifier = field(factory=ChangeNotifier)
    task: object = None

    @property
    def ended(self):
        """Whether generation is over."""
        return self.state in ("done", "cancelled")

    @property
    def prompt_tokens(self):
        """Number of tokens of the prompt."""
        return count_tokens(self.completion.prompt)


class BatchScheduler:
    """Schedules the requests of one engine, which run as one batch.

    Parameters
    ----------
    options : EngineOptions
        Speeds and limits.
    cache : PrefixCache
        The engine's prefix cache.

    Attributes
    ----------
    stream_by_id : dict
        Streams in progress and ended ones that can still be resumed.
    running, max_running, cancelled : int
        Requests that run now, the most that ran at once, and requests cancelled.
    total_prompt_tokens, total_cached_tokens : int
        Prompt tokens of all requests, and those of them found in the cache.
    start_count_by_id : Counter
        Number of times that each request id was started.
    """

    def __init__(self, options, cache):
        self.options = options
        self.cache = cache
        self.stream_by_id = {}
        self.start_count_by_id = collections.Counter()
        self.running = 0
        self.max_running = 0
        self.cancelled = 0
        self.total_prompt_tokens = 0
        self.total_cached_tokens = 0
        self._queue = []
        self._sequence = itertools.count()
        self._load_history = collections.deque([(0.0, 0, 0)], maxlen=MAX_LOAD_REPORTS)

    @property
    def waiting(self):
        """Number of requests that wait for capacity."""
        return sum(stream.state == "waiting" for _, _, stream in self._queue)

    def submit(self, stream):
        """Add a request to the queue.

        Parameters
        ----------
        stream : Stream
            A new request.
        """
        self.start_count_by_id[stream.id] += 1
        self.stream_by_id[stream.id] = stream
        heapq.heappush(self._queue, (stream.priority, next(self._sequence), stream))
        self._start_waiting()

    def cancel(self, stream):
        """Cancel a request; has no effect on one that ended.

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
            self._release_slot(stream)
        stream.changes.notify()
        self._record_load()

    def read_delayed_load(self):
        """Return the running and waiting counts as of `lag` ms ago."""
        now = _now_ms()
        while (
            len(self._load_history) > 1
            and self._load_history[1][0] <= now - self.options.lag
        ):
            self._load_history.popleft()
        _, running, waiting = self._load_history[0]
        return running, waiting

    def _start_waiting(self):
        while self._queue and self.running < self.options.capacity:
            _, _, stream = heapq.heappop(self._queue)
            if stream.state != "waiting":
                continue
            stream.state = "running"
            self.running += 1
            self.max_running = max(self.max_running, self.running)
            stream.task = asyncio.ensure_future(self._run(stream))
        self._record_load()

    def _release_slot(self, stream):
        self.running -= 1
        loop = asyncio.get_running_loop()
        loop.call_later(STREAM_RETENTION_MS / MS_PER_S, self._drop_stream, stream)
        self._start_waiting()

    def _drop_stream(self, stream):
        if self.stream_by_id.get(stream.id) is stream:
            del self.stream_by_id[stream.id]

    def _record_load(self):
        self._load_history.append((_now_ms(), self.running, self.waiting))

    def _hash_prefixes(self, stream, text):
        return hash_prefixes(stream.model, text, self.options.block_chars)

    async def _run(self, stream):
        hashes = self._hash_prefixes(stream, stream.completion.prompt)
        blocks = self.cache.count_cached(hashes)
        stream.cached_tokens = blocks * self.options.block_chars // CHARS_PER_TOKEN
        self.total_prompt_tokens += stream.prompt_tokens
        self.total_cached_tokens += stream.cached_tokens
        uncached_tokens = stream.prompt_tokens - stream.cached_tokens
        await asyncio.sleep(uncached_tokens / self.options.prefill_rate)
        await self._decode(stream)
        self._store_in_cache(stream)
        stream.state = "done"
        stream.changes.notify()
        self._release_slot(stream)

    async def _decode(self, stream):
        due_s = asyncio.get_running_loop().time()
        for index in range(stream.max_tokens):
            if index:
                token_ms = self._token_ms(stream)
                due_s += token_ms / MS_PER_S
                await _wait_until_due(index, due_s, token_ms)
            stream.tokens.append(stream.completion.token(index))
            stream.changes.notify()

    def _token_ms(self, stream):
        if stream.token_ms is not None:
            return stream.token_ms
        return self.options.token_ms * (1 + self.options.batch_slowdown * self.running)

    def _store_in_cache(self, stream):
        answer_text = serialize_messages(
            [{"role": "assistant", "content": "".join(stream.tokens)}]
        )
        hashes = self._hash_prefixes(stream, stream.completion.prompt + answer_text)
        self.cache.store(hashes, _now_ms())


async def _wait_until_due(index, due_s, token_ms):
    wait = due_s - asyncio.get_running_loop().time()
    if wait > 0:
        await asyncio.sleep(wait)
    elif token_ms or index % YIELD_EVERY_TOKENS == 0:
        await asyncio.sleep(0)


def _now_ms():
    return asyncio.get_running_loop().time() * MS_PER_S
