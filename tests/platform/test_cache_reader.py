"""Tests of `peridotcove.platform.cache_reader`."""

import json
import types
import unittest
from unittest import mock

from tornado.httputil import HTTPHeaders

from peridotcove.cache_watcher import CacheUpdate
from peridotcove.engine_notices import Notice
from peridotcove.exceptions import EndpointFailed
from peridotcove.models import Engine
from peridotcove.platform.cache_reader import ServerCacheReader
from peridotcove.prefix_hashes import hash_prompt_part

ENGINE = Engine("e", "http://127.0.0.1:1", "z", "m")
PAGE_BYTES = 1 << 20
DEEP = b"[" * 4_000
NO_COUNTS = (-1, 1.5, "8", None, True, [8], 10**30)


class ServerCacheReaderTest(unittest.IsolatedAsyncioTestCase):
    """Pages of a server's cache become updates; odd ones are failures of the server."""

    async def read(self, call, page, fields=None):
        body = page if isinstance(page, bytes) else json.dumps(page).encode()
        http = mock.Mock()
        answer = types.SimpleNamespace(
            code=200, headers=HTTPHeaders(fields or {}), body=body
        )
        http.fetch = mock.AsyncMock(return_value=answer)
        with mock.patch(
            "peridotcove.platform.cache_reader.CurlClient", return_value=http
        ):
            reader = ServerCacheReader(
                PAGE_BYTES, on_notice=lambda *args: self.notices.append(args)
            )
        if call == "list":
            return await reader.read_list(ENGINE)
        return await reader.read_events(ENGINE, 1, 0)

    def setUp(self):
        self.notices = []

    async def test_answers_of_leaving_servers_are_noticed(self):
        page = {"epoch": 3, "next": 8, "lost": False, "held": [], "events": []}
        for call in ("list", "events"):
            await self.read(call, page, {"Server-Leaving": "1"})
            self.assertEqual(self.notices.pop(), (ENGINE, Notice(is_leaving=True)))
            await self.read(call, page, {"Server-Leaving": "0"})
            self.assertEqual(self.notices, [])

    async def test_pages(self):
        key = hash_prompt_part("m", "a1")
        page = {"epoch": 3, "next": 8, "held": [["", "a1", 40, "m"]]}
        found = await self.read("list", page)
        self.assertEqual(found, CacheUpdate(3, 8, stored=((key, 40),)))
        page = {"epoch": 3, "next": 9, "lost": False}
        page["events"] = [[8, "+", "", "a1", 40, "m"], [8, "-", "", "b1", 0, "m"]]
        found = await self.read("events", page)
        self.assertEqual((found.stored, found.next), (((key, 40),), 9))
        self.assertEqual(found.removed, (hash_prompt_part("m", "b1"),))

    # A count of another type ended the task that follows the cache of the server.
    async def test_counts_that_are_none_are_failures(self):
        for count in NO_COUNTS:
            held = {"epoch": 3, "next": 8, "held": [["", "a", count, "m"]]}
            event = [8, "+", "", "a", count, "m"]
            events = {"epoch": 3, "next": 8, "lost": False, "events": [event]}
            cases = [
                ("list", held),
                ("list", {"epoch": 3, "next": count, "held": []}),
                ("events", events),
                ("events", {"epoch": 3, "next": count, "lost": False, "events": []}),
            ]
            for call, page in cases:
                with self.subTest(page=page), self.assertRaises(EndpointFailed):
                    await self.read(call, page)

    async def test_pages_that_are_none_are_failures(self):
        for page in (DEEP, b"", b"\xff", [], None, {}, {"held": 7}, {"events": [[]]}):
            for call in ("list", "events"):
                with self.subTest(page=page), self.assertRaises(EndpointFailed):
                    await self.read(call, page)
