"""Tests of servers that send bytes without end, in a head or a body.

Such bytes are no answer. A node must close the connection after a bounded number of
them, and its caller must not take what came for an answer.
"""

import asyncio
import unittest

from peridotcove.clock import Clock
from peridotcove.curl import MAX_BODY_BYTES
from peridotcove.endpoints.streaming_client import StreamingClient, Transfer
from peridotcove.event_splitter import MAX_EVENT_BYTES, EventSplitter
from peridotcove.exceptions import EndpointFailed, PlatformDown
from peridotcove.models import Engine
from peridotcove.platform.cache_reader import ServerCacheReader
from peridotcove.platform.store import StoreClient

CHUNK = 65_536
PAGE_BYTES = 1 << 20
# No head is this long, and a node has this much memory to spare.
MAX_SENT_BYTES = 8 << 20
TIMEOUT_MS = 60_000
OK_HEAD = b"HTTP/1.1 200 OK\r\n"
FLOODS = {
    "header lines": (OK_HEAD, b"X-Filler: " + b"x" * 1_000 + b"\r\n"),
    "one header line": (OK_HEAD + b"X-Filler: ", b"x" * CHUNK),
    "a status line": (b"HTTP/1.1 200 ", b"x" * CHUNK),
    "no HTTP": (b"", b"\0" * CHUNK),
    "interim heads": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
}


class FloodingServer:
    """Answers each request with a start and then a pattern until the caller closes."""

    def __init__(self, start, pattern):
        self.sent_bytes = 0
        self.closed = asyncio.Event()
        self._start, self._pattern = start, pattern

    async def listen(self):
        self._server = await asyncio.start_server(self._flood, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        return f"http://127.0.0.1:{port}/"

    async def _flood(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self._start)
            while True:
                writer.write(self._pattern)
                await writer.drain()
                self.sent_bytes += len(self._pattern)
        except ConnectionError:
            writer.close()
            self.closed.set()

    def close(self):
        self._server.close()


class EndlessHeadTest(unittest.IsolatedAsyncioTestCase):
    """A head without end ends the request, long before its timeout."""

    async def test_the_connection_is_closed_after_a_bounded_number_of_bytes(self):
        client = StreamingClient(Clock())
        self.addCleanup(client.close)
        for name, flood in FLOODS.items():
            with self.subTest(name):
                server = FloodingServer(*flood)
                url = await server.listen()
                self.addCleanup(server.close)
                received = []
                transfer = Transfer(TIMEOUT_MS, TIMEOUT_MS, TIMEOUT_MS, received.append)
                with self.assertRaises(EndpointFailed):
                    async with asyncio.timeout(20):
                        await client.fetch("GET", url, {}, None, transfer)
                async with asyncio.timeout(20):
                    await server.closed.wait()
                self.assertLess(server.sent_bytes, MAX_SENT_BYTES)
                self.assertEqual(received, [])


class EndlessBodyTest(unittest.IsolatedAsyncioTestCase):
    """Calls that hold a whole body in memory fail, and close the connection."""

    HEADS = {
        "no length": OK_HEAD + b"\r\n",
        "length": OK_HEAD + b"Content-Length: 999999999999\r\n\r\n",
    }

    async def flood(self, head):
        server = FloodingServer(head, b"x" * CHUNK)
        url = await server.listen()
        self.addCleanup(server.close)
        return server, url

    async def check_closed(self, server, limit):
        async with asyncio.timeout(20):
            await server.closed.wait()
        # The system's buffers take some more.
        self.assertLess(server.sent_bytes, limit + MAX_SENT_BYTES)

    # A list of 15 MB took a node past its memory when it was decoded, again and again.
    async def test_lists_of_caches(self):
        for name, head in self.HEADS.items():
            with self.subTest(name):
                server, url = await self.flood(head)
                reader = ServerCacheReader(PAGE_BYTES)
                with self.assertRaises(EndpointFailed):
                    await reader.read_list(Engine("e", url.rstrip("/"), "z", "m"))
                await self.check_closed(server, PAGE_BYTES)
                reader.close()

    async def test_the_store(self):
        for name, head in self.HEADS.items():
            with self.subTest(name):
                server, url = await self.flood(head)
                store = StoreClient(url.removeprefix("http://").rstrip("/"))
                with self.assertRaises(PlatformDown):
                    await store.update(0)
                await self.check_closed(server, MAX_BODY_BYTES)
                store.close()

    async def test_events_without_end(self):
        splitter = EventSplitter()
        with self.assertRaises(ValueError):
            for _ in range(MAX_EVENT_BYTES // CHUNK + 1):
                self.assertEqual(splitter.feed(b"x" * CHUNK), b"")
