"""Client that reads the prompt caches of the platform's model servers."""

from tornado.httpclient import HTTPError

from peridotcove.cache_watcher import CacheReader, CacheUpdate
from peridotcove.clock import MS_PER_S
from peridotcove.curl import CurlClient
from peridotcove.engine_notices import NO_NOTICE
from peridotcove.exceptions import EndpointFailed
from peridotcove.json_values import decode_json
from peridotcove.platform.dialect import read_notice
from peridotcove.prefix_hashes import hash_prompt_part
from peridotcove.verdict import Verdict

CONNECT_TIMEOUT_S = 0.5
ANSWER_TIMEOUT_S = 1.0
# Concurrent long polls: one for each server of the shards that a node may own.
MAX_CONCURRENT_CALLS = 256
# Largest number that JSON carries exactly.
MAX_COUNT = 2**53 - 1


class ServerCacheReader(CacheReader):
    """Reads the content and the events of servers' caches over HTTP.

    Parameters
    ----------
    page_bytes : int
        Size of the largest page that is read; a longer one is given up while it
        arrives, since its values take many times its size.
    answer_memory : AnswerMemory or None
        Bounds the pages that arrive, together with other answers.
    on_notice : callable
        Called with the engine and its `Notice`, if an answer has one.
    """

    def __init__(
        self, page_bytes, answer_memory=None, on_notice=lambda engine, notice: None
    ):
        self._on_notice = on_notice
        self._http = CurlClient(
            force_instance=True,
            max_transfers=MAX_CONCURRENT_CALLS,
            max_body_bytes=page_bytes,
            answer_memory=answer_memory,
        )

    def close(self):
        """Close all connections."""
        self._http.close()

    async def read_list(self, engine):
        """Return a `CacheUpdate` with the complete content of a server's cache.

        Parameters
        ----------
        engine : Engine
            Server to call.

        Raises
        ------
        EndpointFailed
            If the server gave no valid answer.
        """
        page = await self._fetch(engine, "/kv-list", 0)
        try:
            # An entry is [empty string, ID, tokens, model].
            stored = tuple(
                (hash_prompt_part(model, part_id), _read_count(tokens))
                for _, part_id, tokens, model in page["held"]
            )
            return CacheUpdate(page["epoch"], _read_count(page["next"]), stored=stored)
        except (KeyError, TypeError, ValueError) as error:
            raise _make_error(engine, error) from None

    async def read_events(self, engine, since, wait_ms):
        """Return a `CacheUpdate` with the cache events from a sequence number on.

        Parameters
        ----------
        engine : Engine
            Server to call.
        since : int
            Sequence number of the first event to return.
        wait_ms : int
            Maximum wait in ms for an event.

        Raises
        ------
        EndpointFailed
            If the server gave no valid answer.
        """
        page = await self._fetch(engine, f"/kv-events?since={since}", wait_ms)
        kept = {}
        try:
            # An entry is [sequence number, + or -, empty string, ID, tokens now cached,
            # model].
            for _, sign, _, part_id, tokens, model in page["events"]:
                key = hash_prompt_part(model, part_id)
                kept[key] = _read_count(tokens) if sign == "+" else 0
            stored = tuple((key, tokens) for key, tokens in kept.items() if tokens)
            removed = tuple(key for key, tokens in kept.items() if not tokens)
            lost = bool(page["lost"])
            following = _read_count(page["next"])
            return CacheUpdate(page["epoch"], following, lost, stored, removed)
        except (KeyError, TypeError, ValueError) as error:
            raise _make_error(engine, error) from None

    async def _fetch(self, engine, path, wait_ms):
        headers = {"X-Expect-Instance": engine.name}
        if wait_ms:
            headers["Wait-Ms"] = str(wait_ms)
        try:
            answer = await self._http.fetch(
                engine.url + path,
                headers=headers,
                connect_timeout=CONNECT_TIMEOUT_S,
                request_timeout=wait_ms / MS_PER_S + ANSWER_TIMEOUT_S,
            )
            self._read_notice(engine, answer)
            return decode_json(answer.body)
        except HTTPError as error:
            if error.response is not None:
                self._read_notice(engine, error.response)
            raise _make_error(engine, error) from None
        except (OSError, ValueError) as error:
            raise _make_error(engine, error) from None

    def _read_notice(self, engine, answer):
        notice = read_notice(answer.code, answer.headers)
        if notice is not NO_NOTICE:
            self._on_notice(engine, notice)


def _read_count(value):
    if type(value) is not int or not 0 <= value <= MAX_COUNT:
        raise ValueError(f"{value!r} is not a count")
    return value


def _make_error(engine, error):
    text = f"the cache of {engine.name} can't be read: {error!r}"
    return EndpointFailed("no-news", text, Verdict.NOT_RUN)
