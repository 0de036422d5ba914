"""The engine stand-in's prefix cache, with delayed and lossy events."""

import collections
import random

from attrs import frozen

MAX_EVENTS = 10_000


@frozen
class CacheEvent:
    """One published change of the cache.

    Attributes
    ----------
    seq : int
        Number of the event; a missing number is a lost event.
    kind : str
        ``"stored"`` or ``"removed"``.
    hashes : tuple of int
        Hashes of the prefixes.
    visible_ms : float
        Time in ms from which readers can see it.
    """

    seq: int
    kind: str
    hashes: tuple
    visible_ms: float

    def to_json(self):
        """Return the event as JSON."""
        hashes = [f"{value:016x}" for value in self.hashes]
        return {"seq": self.seq, "kind": self.kind, "hashes": hashes}


class PrefixCache:
    """LRU cache of prefix blocks.

    Parameters
    ----------
    max_blocks : int
        Maximum number of blocks.
    lag_ms : float
        Delay of events in ms.
    drop : float
        Probability that an event is lost.
    seed : int
        Random seed of the losses.

    Attributes
    ----------
    events : deque of CacheEvent
        Published events, oldest first.
    """

    def __init__(self, max_blocks, lag_ms=0, drop=0.0, seed=0):
        self.max_blocks = max_blocks
        self.lag_ms = lag_ms
        self.drop = drop
        self.events = collections.deque(maxlen=MAX_EVENTS)
        self._held = collections.OrderedDict()
        self._random = random.Random(seed)
        self._seq = 0

    def __len__(self):
        return len(self._held)

    def count_cached(self, hashes):
        """Return the number of leading prefixes that are cached, and mark them as used.

        Parameters
        ----------
        hashes : sequence of int
            Hashes of a chat's prefixes, shortest first.
        """
        count = 0
        while count < len(hashes) and hashes[count] in self._held:
            count += 1
        self._touch(hashes[:count])
        return count

    def filter_held(self, hashes):
        """Return the hashes that are cached.

        Parameters
        ----------
        hashes : iterable of int
            Hashes to look for.
        """
        return [value for value in hashes if value in self._held]

    def store(self, hashes, now_ms):
        """Add prefixes and evict the least recently used ones.

        Parameters
        ----------
        hashes : sequence of int
            Hashes of a chat's prefixes, shortest first.
        now_ms : float
            Time in ms.
        """
        added = [value for value in hashes if value not in self._held]
        for value in added:
            self._held[value] = None
        self._touch(hashes)
        removed = []
        while len(self._held) > self.max_blocks:
            removed.append(self._held.popitem(last=False)[0])
        evicted = set(removed)
        self._publish("stored", [x for x in added if x not in evicted], now_ms)
        self._publish("removed", removed, now_ms)

    def clear(self, now_ms):
        """Remove all blocks.

        Parameters
        ----------
        now_ms : float
            Time in ms.
        """
        removed = list(self._held)
        self._held.clear()
        self._publish("removed", removed, now_ms)

    def list_events(self, after, now_ms):
        """Return the events after a number that are visible now.

        Parameters
        ----------
        after : int
            Number of the last event that the reader has.
        now_ms : float
            Time in ms.
        """
        return [
            event
            for event in self.events
            if event.seq > after and event.visible_ms <= now_ms
        ]

    def _touch(self, hashes):
        for value in reversed(hashes):
            self._held.move_to_end(value)

    def _publish(self, kind, hashes, now_ms):
        if not hashes:
            return
        self._seq += 1
        if self._random.random() < self.drop:
            return
        visible_ms = now_ms + self.lag_ms
        self.events.append(CacheEvent(self._seq, kind, tuple(hashes), visible_ms))
