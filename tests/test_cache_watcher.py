"""Tests of `peridotcove.cache_watcher`: what an owner learns of engines' caches."""

import asyncio
import unittest

from attrs import evolve

from peridotcove.cache_watcher import OWNED_MS, CacheUpdate, CacheWatcher
from peridotcove.exceptions import EndpointFailed
from peridotcove.models import Engine
from peridotcove.verdict import Verdict
from tests.virtual import VirtualClock, run

ENGINE = Engine("e", "http://127.0.0.1:1", "z", "m")


class ScriptedReader:
    """Gives news in turn and then waits for ever; keeps the calls."""

    def __init__(self, *script):
        self.script = list(script)
        self.calls = []

    async def read_list(self, engine):
        """Answer a call for the list."""
        return await self._next(engine, "list")

    async def read_events(self, engine, since, wait_ms):
        """Answer a call for events."""
        return await self._next(engine, since)

    async def _next(self, engine, what):
        self.calls.append(what)
        if not self.script:
            await asyncio.sleep(1_000)
        news = self.script.pop(0)
        if news is None:
            raise EndpointFailed("no-news", "x", Verdict.NOT_RUN)
        return news


async def follow(reader, ms, engines=(ENGINE,)):
    """Follow engines for a while and return the events."""
    events = []
    watch = CacheWatcher(reader, events.append, VirtualClock())
    for _ in range(ms // 100):
        watch.set_engines(engines)
        await asyncio.sleep(0.1)
    watch.close()
    return events


class CacheWatchTest(unittest.TestCase):
    """A list first, then events, and the list again where these have a gap."""

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
                events = run(follow(reader, 4_000))
                self.assertEqual(reader.calls, calls)
                found = [(one.full, len(one.stored)) for one in events]
                self.assertEqual(found, expected)

    def test_a_node_that_owns_only_at_first_asks_nothing(self):
        reader = ScriptedReader(CacheUpdate(7, 5))
        run(follow(reader, OWNED_MS - 100))
        self.assertEqual(reader.calls, [])

    def test_an_engine_started_anew_is_read_anew(self):
        async def case():
            reader = ScriptedReader()
            watch = CacheWatcher(reader, lambda event: None, VirtualClock())
            for incarnation in (1, 2):
                engine = evolve(ENGINE, incarnation=incarnation)
                reader.script.append(CacheUpdate(incarnation, 1))
                for _ in range(10):
                    watch.set_engines([engine])
                    await asyncio.sleep(0.1)
            watch.close()
            return reader.calls.count("list")

        self.assertEqual(run(case()), 2)
