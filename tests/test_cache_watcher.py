"""Tests of `peridotcove.cache_watcher`."""

import asyncio
import unittest

from attrs import evolve

from peridotcove.cache_watcher import MIN_OWNERSHIP_MS, CacheUpdate, CacheWatcher
from peridotcove.exceptions import EndpointFailed
from peridotcove.models import Engine
from peridotcove.verdict import Verdict
from tests.virtual import VirtualClock, run

ENGINE = Engine("e", "http://127.0.0.1:1", "z", "m")


class ScriptedReader:
    """Returns scripted updates in order, then blocks; records the calls."""

    def __init__(self, *script):
        self.script = list(script)
        self.calls = []

    async def read_list(self, engine):
        """Return the next scripted update for a call for the list."""
        return await self._next(engine, "list")

    async def read_events(self, engine, since, wait_ms):
        """Return the next scripted update for a call for events."""
        return await self._next(engine, since)

    async def _next(self, engine, what):
        self.calls.append(what)
        if not self.script:
            await asyncio.sleep(1_000)
        update = self.script.pop(0)
        if update is None:
            raise EndpointFailed("no-news", "x", Verdict.NOT_RUN)
        if isinstance(update, Exception):
            raise update
        return update


async def collect_events(reader, ms, engines=(ENGINE,)):
    """Watch engines for some time and return the events."""
    events = []
    watcher = CacheWatcher(reader, events.append, VirtualClock())
    for _ in range(ms // 100):
        watcher.set_engines(engines)
        await asyncio.sleep(0.1)
    watcher.close()
    return events


class CacheWatcherTest(unittest.TestCase):
    """The full list is read first, then events, and the list again after a gap."""

    def test_calls(self):
        first = CacheUpdate(7, 5, stored=((1, 10),))
        cases = [
            # script, calls, events as full and stored
            ((first,), ["list", 5], [(True, 1)]),
            ((first, CacheUpdate(7, 6, False, ((2, 9),))), ["list", 5, 6])
            + ([(True, 1), (False, 1)],),
            ((first, CacheUpdate(7, 9, True), first), ["list", 5, "list", 5])
            + ([(True, 1), (True, 1)],),
            ((first, CacheUpdate(8, 1), first), ["list", 5, "list", 5])
            + ([(True, 1), (True, 1)],),
            ((None, first), ["list", "list", 5], [(True, 1)]),
            ((first, None), ["list", 5, 5], [(True, 1)]),
        ]
        for script, calls, expected in cases:
            with self.subTest(script=script):
                reader = ScriptedReader(*script)
                events = run(collect_events(reader, 4_000))
                self.assertEqual(reader.calls, calls)
                found = [(one.full, len(one.stored)) for one in events]
                self.assertEqual(found, expected)

    def test_unexpected_error_does_not_end_the_watch(self):
        first = CacheUpdate(7, 5, stored=((1, 10),))
        reader = ScriptedReader(first, KeyError("odd"), first)
        with self.assertLogs("peridotcove.background", "ERROR"):
            events = run(collect_events(reader, 4_000))
        self.assertEqual(reader.calls, ["list", 5, "list", 5])
        self.assertEqual(len(events), 2)

    def test_node_that_owns_a_shard_only_briefly_makes_no_call(self):
        reader = ScriptedReader(CacheUpdate(7, 5))
        run(collect_events(reader, MIN_OWNERSHIP_MS - 100))
        self.assertEqual(reader.calls, [])

    def test_restarted_engine_is_read_again(self):
        async def case():
            reader = ScriptedReader()
            watcher = CacheWatcher(reader, lambda event: None, VirtualClock())
            for incarnation in (1, 2):
                engine = evolve(ENGINE, incarnation=incarnation)
                reader.script.append(CacheUpdate(incarnation, 1))
                for _ in range(10):
                    watcher.set_engines([engine])
                    await asyncio.sleep(0.1)
            watcher.close()
            return reader.calls.count("list")

        self.assertEqual(run(case()), 2)
