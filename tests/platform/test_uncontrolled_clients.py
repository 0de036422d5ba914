"""Tests of clients that nobody controls, against a node in a process of its own.

In a trial such clients ended a process: many bodies of legal size that stopped short of
their end, and many long answers that nobody read, took more memory than the machine
had. Whatever they send, the process lives, stays within the limits that its settings
state, and answers an ordinary request while they are still there.
"""

import asyncio
import pathlib
import tempfile
import unittest

from tests import crowds
from tests.platform import fakes
from tests.platform.clients import Client
from tests.platform.fakes import ServerStandin, StoreStandin
from tests.soak.processes import FRONT_PORT, NODES_PORT, READY_PORT, NodeProcess

# Time after which a node counts as hanging.
WAIT_S = 60
BOUNDS = {"grace_s": 4, "ratio": 0.2, "extra": 30, "cold_excess": 1.0, "cold_slack": 0}
# Memory of the weakest machines in use.
RAM_MB = 152
MAX_FDS = 4_100
SLOTS = 500
LONG_ANSWER = b"x" * (4 << 20)
LONG_WAIT = "X-Deadline-Ms: 15000"


async def answer_long(seen, writer):
    """Answer with a long body of a given length."""
    writer.write(fakes.make_head(seen, 200, len(LONG_ANSWER)) + LONG_ANSWER)
    await writer.drain()


async def answer_early(seen, writer):
    """Answer at once, whatever came."""
    writer.write(fakes.make_head(seen, 200, 2) + b"ok")
    await writer.drain()


async def answer_by_path(seen, writer):
    """Answer by the path: long, as a stream, or with what came."""
    if "/long" in seen.target:
        await answer_long(seen, writer)
    elif "/stream" in seen.target:
        await answer_stream(seen, writer)
    elif "/early" in seen.target:
        await answer_early(seen, writer)
    else:
        await fakes.echo_body(seen, writer)


async def answer_stream(seen, writer):
    """Send events without end."""
    fields = {"Transfer_Encoding": "chunked", "Content_Type": "text/event-stream"}
    writer.write(fakes.make_head(seen, 200, **fields))
    number = 0
    while not writer.is_closing():
        events = b""
        for _ in range(100):
            number += 1
            events += fakes.make_event(number, "x" * 1_000)
        writer.write(fakes.make_chunk(events))
        await writer.drain()


class UncontrolledClientsCase(unittest.IsolatedAsyncioTestCase):
    """Starts a node process, a store and two servers; base class of the tests."""

    RAM_MB = RAM_MB
    MAX_FDS = MAX_FDS

    async def asyncSetUp(self):
        self.store = StoreStandin()
        self.store.start()
        self.addAsyncCleanup(self.store.close)
        for name in ("i-1", "i-2"):
            server = ServerStandin(name, answer_by_path)
            await server.start()
            self.addAsyncCleanup(server.close)
            entry = server.make_entry("llm", slots=SLOTS)
            self.store.put(f"servers/{name}", entry)
        routes = [
            fakes.make_route("booking", "non_idempotent", timeout_ms=15_000),
            fakes.make_route("lookup", "idempotent", timeout_ms=15_000, attempts=1),
            fakes.make_route("chat", "stream", timeout_ms=15_000, attempts=1),
        ]
        self.store.put("op/config", fakes.make_document(*routes))
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        host = fakes.allocate_loopback_address()
        limits = {"ram_mb": self.RAM_MB, "max_fds": self.MAX_FDS}
        self.node = NodeProcess(
            "node-1",
            host,
            "z1",
            self.store.address,
            pathlib.Path(folder.name),
            BOUNDS | limits,
        )
        await self.node.start([host])
        self.addAsyncCleanup(self.end)
        async with asyncio.timeout(WAIT_S):
            while not self.node.has_started:
                await asyncio.sleep(0.02)
        await self.check_ordinary_request()
        self.watch = crowds.ProcessWatch(self.node.pid)
        self.addAsyncCleanup(self.watch.close)
        self.crowd = crowds.Crowd(host, FRONT_PORT)
        self.addAsyncCleanup(self.crowd.close)

    async def end(self):
        self.node.kill()
        await self.node.wait()

    async def check_ordinary_request(self, size=1_000):
        """Check that a request is answered; it is sent again as clients do."""
        body = b"y" * size
        async with asyncio.timeout(WAIT_S):
            while True:
                try:
                    client = await Client.connect(self.node.host, FRONT_PORT)
                except ConnectionError:
                    continue
                try:
                    got = await client.fetch("r", "/lookup/", body=body)
                except TimeoutError:
                    # The client gave up; only `WAIT_S` bounds the time.
                    continue
                finally:
                    client.close()
                if got.status == 200:
                    break
                await asyncio.sleep(0.05)
        self.assertEqual((got.body, got.is_complete), (body, True))

    async def check_limits(self):
        """Check what holds beside each crowd."""
        await self.check_ordinary_request()
        self.assertTrue(self.node.is_running)
        self.assertLess(self.watch.peak_bytes, self.RAM_MB * crowds.MB)
        self.assertLessEqual(self.watch.most_descriptors, self.MAX_FDS)


class BodiesTest(UncontrolledClientsCase):
    """Bodies that stop short of their end; the clients stay."""

    COUNT = 60

    async def test_whole_bodies(self):
        await self.crowd.send(self.COUNT, crowds.send_whole_body("/lookup/"))
        await self.check_limits()

    async def test_bodies_in_pieces(self):
        await self.crowd.send(self.COUNT, crowds.send_body_in_pieces("/lookup/"))
        await self.check_limits()

    async def test_large_chunks(self):
        await self.crowd.send(self.COUNT, crowds.send_large_chunks("/lookup/"))
        await self.check_limits()

    async def test_tiny_chunks(self):
        await self.crowd.send(40, crowds.send_tiny_chunks("/lookup/", 5_000))
        await self.check_limits()

    # Bodies that nobody may send are bounded in the same way.
    async def test_bodies_of_strangers(self):
        parts = crowds.send_whole_body("/none/", key="Api-Key: none")
        await self.crowd.send(self.COUNT, parts)
        await self.check_limits()


class LargeBodyTest(UncontrolledClientsCase):
    """A single large request inside the limits is served in calm."""

    async def test_a_single_large_body(self):
        for size in (4 << 20, 16 << 20):
            await self.check_ordinary_request(size)
        await self.check_limits()


class SlowReadersTest(UncontrolledClientsCase):
    """Long answers that many clients don't read."""

    async def test_long_answers(self):
        head = crowds.make_head("/lookup/long", "X-Request-Id: r", LONG_WAIT)
        await self.crowd.send(60, [head], small_buffer=True)
        await asyncio.sleep(2)
        await self.check_limits()

    async def test_long_streams(self):
        head = crowds.make_head("/chat/stream", "X-Request-Id: r", LONG_WAIT)
        await self.crowd.send(60, [head], small_buffer=True)
        await asyncio.sleep(2)
        await self.check_limits()


class SilentClientsTest(UncontrolledClientsCase):
    """More connections than the process may have descriptors."""

    MAX_FDS = 400

    async def test_silent_connections(self):
        await self.crowd.send(500, [])
        await self.check_limits()

    async def test_requests_that_are_never_finished(self):
        await self.crowd.send(500, [crowds.send_whole_body("/lookup/")[0]])
        await self.check_limits()


class UnfinishedHeadsTest(UncontrolledClientsCase):
    """Heads of legal size without an end."""

    RAM_MB = 100

    async def test_unfinished_heads(self):
        await self.crowd.send(900, crowds.send_unfinished_head(60_000))
        await self.check_limits()


class OperatorsPortTest(UncontrolledClientsCase):
    """The port of the operators answers beside silent connections to it."""

    MAX_FDS = 400

    async def test_silent_connections(self):
        crowd = crowds.Crowd(self.node.host, READY_PORT)
        self.addAsyncCleanup(crowd.close)
        await crowd.send(500, [])
        await self.check_limits()
        async with asyncio.timeout(WAIT_S):
            reader, writer = await asyncio.open_connection(self.node.host, READY_PORT)
            writer.write(b"GET /health HTTP/1.1\r\nHost: x\r\n\r\n")
            self.assertIn(b" 200 ", await reader.readline())
        writer.close()


class NodesPortTest(UncontrolledClientsCase):
    """Connections to the port between nodes that never say who they are."""

    MAX_FDS = 400

    async def send(self, parts):
        crowd = crowds.Crowd(self.node.host, NODES_PORT)
        self.addAsyncCleanup(crowd.close)
        await crowd.send(500, parts)

    async def test_silent_connections(self):
        await self.send([])
        await self.check_limits()

    async def test_unfinished_handshakes(self):
        await self.send([b"GET / HTTP/1.1\r\nX-Filler: " + b"x" * 6_000])
        await self.check_limits()


class MixtureTest(UncontrolledClientsCase):
    """All of these at once, and an engine that answers early."""

    async def test_mixture(self):
        head = crowds.make_head("/lookup/long", "X-Request-Id: r", LONG_WAIT)
        early = crowds.send_whole_body("/lookup/early")
        await asyncio.gather(
            self.crowd.send(20, crowds.send_whole_body("/lookup/")),
            self.crowd.send(20, crowds.send_body_in_pieces("/booking/")),
            self.crowd.send(20, crowds.send_large_chunks("/lookup/")),
            self.crowd.send(10, crowds.send_tiny_chunks("/lookup/", 2_000)),
            self.crowd.send(20, [*early, b"x"]),
            self.crowd.send(30, [head], small_buffer=True),
            self.crowd.send(100, []),
        )
        await asyncio.sleep(1)
        await self.check_limits()


class EarlyAnswerTest(UncontrolledClientsCase):
    """Engines that answer before they have read the body, and readers that don't read.

    Added after the tests above: the mixture's uploads lack the id without which the
    stand-in gives no answer.
    """

    async def test_whole_bodies(self):
        head, body = crowds.send_whole_body("/lookup/early")
        parts = [head[:-2] + b"X-Request-Id: r\r\n\r\n", body, b"x"]
        await self.crowd.send(60, parts, small_buffer=True)
        await asyncio.sleep(1)
        await self.check_limits()
