"""Calls to the users' model servers about their caches."""

import json

from tornado.httpclient import HTTPError

from peridotcove.cache_watcher import CacheReader, CacheUpdate
from peridotcove.clock import MS_PER_S
from peridotcove.curl import CurlClient
from peridotcove.exceptions import EndpointFailed
from peridotcove.prefix_hashes import hash_prompt_part
from peridotcove.verdict import Verdict

CONNECT_S = 0.5
ANSWER_S = 1.0
# Calls that wait at once: one for each server of the shards that a node may own.
MAX_CALLS = 256


class ServerCaches(CacheReader):
    """Reads lists and events of servers' caches."""

    def __init__(self):
        self._http = CurlClient(force_instance=True, max_transfers=MAX_CALLS)

    def close(self):
        """Close all connections."""
        self._http.close()

    async def read_list(self, engine):
        """Return the `CacheUpdate` of all that a server keeps.

        Parameters
        ----------
        engine : Engine
            The server.

        Raises
        ------
        EndpointFailed
            If it gave no usable answer.
        """
        page = await self._get(engine, "/kv-list", 0)
        try:
            # An entry is [empty text, ID, tokens, model].
            stored = tuple(
                (hash_prompt_part(model, part_id), tokens)
                for _, part_id, tokens, model in page["held"]
            )
            return CacheUpdate(page["epoch"], page["next"], stored=stored)
        except (KeyError, TypeError, ValueError) as error:
            raise _unreadable(engine, error) from None

    async def read_events(self, engine, since, wait_ms):
        """Return the `CacheUpdate` of the events from a number on.

        Parameters
        ----------
        engine : Engine
            The server.
        since : int
            Number of the first event wanted.
        wait_ms : int
            Longest wait in ms for one.

        Raises
        ------
        EndpointFailed
            If it gave no usable answer.
        """
        page = await self._get(engine, f"/kv-events?since={since}", wait_ms)
        kept = {}
        try:
            # An entry is [number, + or -, empty text, ID, tokens now kept, model].
            for _, sign, _, part_id, tokens, model in page["events"]:
                kept[hash_prompt_part(model, part_id)] = tokens if sign == "+" else 0
            stored = tuple((key, tokens) for key, tokens in kept.items() if tokens)
            removed = tuple(key for key, tokens in kept.items() if not tokens)
            lost = bool(page["lost"])
            return CacheUpdate(page["epoch"], page["next"], lost, stored, removed)
        except (KeyError, TypeError, ValueError) as error:
            raise _unreadable(engine, error) from None

    async def _get(self, engine, path, wait_ms):
        headers = {"X-Expect-Instance": engine.name}
        if wait_ms:
            headers["Wait-Ms"] = str(wait_ms)
        try:
            answer = await self._http.fetch(
                engine.url + path,
                headers=headers,
                connect_timeout=CONNECT_S,
                request_timeout=wait_ms / MS_PER_S + ANSWER_S,
            )
            return json.loads(answer.body)
        except (HTTPError, OSError, ValueError) as error:
            raise _unreadable(engine, error) from None


def _unreadable(engine, error):
    text = f"{engine.name} told nothing of its cache: {error!r}"
    return EndpointFailed("no-news", text, Verdict.NOT_RUN)
