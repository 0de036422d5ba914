"""Watches the caches of the engines whose shards this node owns.

A new owner does not know the caches. It reads the full list of each engine once, and
then its events. If events are lost or the engine was restarted, it reads the full list
again.
"""

import asyncio

from attrs import frozen

from peridotcove.background import restarting
from peridotcove.cache_events import CacheEvent
from peridotcove.exceptions import RequestError
from peridotcove.logs import get_logger

# Time for which a node must be the owner before it reads caches: with its first view of
# the fleet, a starting node may believe that it owns all shards.
MIN_OWNERSHIP_MS = 100
# Longest wait of a call for an engine's next event.
EVENT_WAIT_MS = 1_000
# Pauses after a call that failed, and after one that returned. A busy engine has events
# all the time, and each answer costs its owner as much as a lease.
RETRY_MS = 1_000
POLL_PAUSE_MS = 500

log = get_logger("caches")


@frozen
class CacheUpdate:
    """The full list of an engine's cache, or its events since a sequence number.

    Attributes
    ----------
    epoch : object
        Changes when the engine is restarted.
    next : int
        Sequence number of the next event.
    lost : bool
        Whether earlier events since the requested number are missing.
    stored : tuple
        Pairs of part hash and cached tokens.
    removed : tuple of int
        Hashes of parts that were evicted from the cache.
    """

    epoch: object
    next: int
    lost: bool = False
    stored: tuple = ()
    removed: tuple = ()


class CacheReader:
    """Interface of the calls that read the caches of engines."""

    async def read_list(self, engine):
        """Return a `CacheUpdate` with the full list of an engine's cache.

        Parameters
        ----------
        engine : Engine
            The engine.

        Raises
        ------
        RequestError
            If the engine gave no usable answer.
        """
        raise NotImplementedError

    async def read_events(self, engine, since, wait_ms):
        """Return a `CacheUpdate` with the events from a sequence number on.

        Parameters
        ----------
        engine : Engine
            The engine.
        since : int
            Sequence number of the first event to return.
        wait_ms : int
            Longest wait in ms for an event.

        Raises
        ------
        RequestError
            If the engine gave no usable answer.
        """
        raise NotImplementedError


class CacheWatcher:
    """Watches engines' caches and passes on their changes.

    Parameters
    ----------
    reader : CacheReader
        Client that reads the caches.
    apply : callable
        Called with each `CacheEvent`.
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
        """Set the engines to watch; to be called a few times per second.

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
            due = now - self._owned_since_by_key[key] >= MIN_OWNERSHIP_MS
            if due and key not in self._task_by_key:
                task = asyncio.create_task(self._watch_engine(engine))
                self._task_by_key[key] = task

    def close(self):
        """Stop watching all engines."""
        self.set_engines(())

    @restarting
    async def _watch_engine(self, engine):
        epoch = since = None
        while True:
            try:
                if since is None:
                    update = await self._reader.read_list(engine)
                    epoch, since = update.epoch, update.next
                    self._apply_update(engine, update, full=True)
                    continue
                update = await self._reader.read_events(engine, since, EVENT_WAIT_MS)
            except RequestError as error:
                log.info(
                    "cache of engine %s could not be read; retrying: %s",
                    engine.name,
                    error,
                )
                await asyncio.sleep(RETRY_MS / 1000)
                continue
            if update.lost or update.epoch != epoch:
                since = None
                continue
            since = update.next
            if update.stored or update.removed:
                self._apply_update(engine, update, full=False)
            await asyncio.sleep(POLL_PAUSE_MS / 1000)

    def _apply_update(self, engine, update, full):
        wall_ms = self._clock.wall()
        event = CacheEvent(
            engine.name, update.next, wall_ms, update.stored, update.removed, full
        )
        self._apply(event)
