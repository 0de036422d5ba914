"""Follows the caches of the engines whose shards this node owns.

An owner that is new knows nothing of them. It reads each engine's list once, and then
its events; where events are lost, or the engine has started anew, the list again.
"""

import asyncio

from attrs import frozen

from peridotcove.cache_events import CacheEvent
from peridotcove.exceptions import RequestError
from peridotcove.logs import get_logger

# Time in ms for which a node has to be the owner before it asks: the first view of a
# node that starts may be that it owns everything.
OWNED_MS = 100
# Wait in ms for an engine's next event.
WAIT_MS = 1_000
# Pause in ms after a call that failed, and after one that brought events.
RETRY_MS = 1_000
PAUSE_MS = 100

log = get_logger("caches")


@frozen
class CacheUpdate:
    """An engine's list, or its events since a number.

    Attributes
    ----------
    epoch : object
        Changes when the engine starts anew.
    next : int
        Number of the next event.
    lost : bool
        Whether events before these are missing.
    stored : tuple
        Pairs of part hash and tokens kept.
    removed : tuple of int
        Part hashes that left the cache.
    """

    epoch: object
    next: int
    lost: bool = False
    stored: tuple = ()
    removed: tuple = ()


class CacheReader:
    """Calls to engines about their caches."""

    async def read_list(self, engine):
        """Return the `CacheUpdate` of all that an engine keeps.

        Parameters
        ----------
        engine : Engine
            The engine.

        Raises
        ------
        RequestError
            If it gave no usable answer.
        """
        raise NotImplementedError

    async def read_events(self, engine, since, wait_ms):
        """Return the `CacheUpdate` of the events from a number on.

        Parameters
        ----------
        engine : Engine
            The engine.
        since : int
            Number of the first event wanted.
        wait_ms : int
            Longest wait in ms for one.

        Raises
        ------
        RequestError
            If it gave no usable answer.
        """
        raise NotImplementedError


class CacheWatcher:
    """Keeps the owner's index true to the engines' caches.

    Parameters
    ----------
    reader : CacheReader
        Calls to engines.
    apply : callable
        Takes each `CacheEvent`.
    clock : Clock
        Source of time.
    """

    def __init__(self, reader, apply, clock):
        self._reader = reader
        self._apply = apply
        self._clock = clock
        self._owned_since_by_key = {}
        self._task_by_key = {}

    def set_engines(self, engines):
        """Set which engines to follow; call it a few times a second.

        Parameters
        ----------
        engines : iterable of Engine
            Engines of the shards that this node owns, with caches that can be read.
        """
        now = self._clock.now()
        engine_by_key = {(one.name, one.incarnation): one for one in engines}
        self._owned_since_by_key = {
            key: self._owned_since_by_key.get(key, now) for key in engine_by_key
        }
        for key in [key for key in self._task_by_key if key not in engine_by_key]:
            self._task_by_key.pop(key).cancel()
        for key, engine in engine_by_key.items():
            due = now - self._owned_since_by_key[key] >= OWNED_MS
            if due and key not in self._task_by_key:
                task = asyncio.create_task(self._watch(engine))
                self._task_by_key[key] = task

    def close(self):
        """Stop following."""
        self.set_engines(())

    async def _watch(self, engine):
        epoch = since = None
        while True:
            try:
                if since is None:
                    news = await self._reader.read_list(engine)
                    epoch, since = news.epoch, news.next
                    self._tell(engine, news, full=True)
                    continue
                news = await self._reader.read_events(engine, since, WAIT_MS)
            except RequestError as error:
                log.info("%s: its cache is not read: %s", engine.name, error)
                await asyncio.sleep(RETRY_MS / 1000)
                continue
            if news.lost or news.epoch != epoch:
                since = None
                continue
            since = news.next
            if news.stored or news.removed:
                self._tell(engine, news, full=False)
            await asyncio.sleep(PAUSE_MS / 1000)

    def _tell(self, engine, news, full):
        wall_ms = self._clock.wall()
        event = CacheEvent(
            engine.name, news.next, wall_ms, news.stored, news.removed, full
        )
        self._apply(event)
