"""Tests of links over real sockets, and of the decoding of frames."""

import asyncio
import socket
import unittest

import cbor2
from hypothesis import given
from hypothesis import strategies as st
from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed

from peridotcove.clock import Clock
from peridotcove.exceptions import LinkDown, ProtocolError
from peridotcove.models import Instance
from peridotcove.nodes.handshake import Identity, make_hello
from peridotcove.nodes.links import Link, LinkManager
from peridotcove.nodes.messages import VERSION, QueueLease, decode, encode
from peridotcove.nodes.sockets import make_client_factory

SECRET = b"a secret of the tests"
# Time after which a message is taken for lost, so that its test fails and doesn't hang.
ARRIVAL_TIMEOUT_S = 10


async def start(name, secret=SECRET):
    """Return listening links, the queue of received messages, and the instance."""
    links, received = (
        LinkManager(Identity(name, "a", 1), secret, Clock()),
        asyncio.Queue(),
    )
    links.on_message = lambda *item: received.put_nowait(item)
    port = await links.listen("127.0.0.1", 0)
    return links, received, Instance(name, "node", "127.0.0.1", port, "a")


class LinksTest(unittest.IsolatedAsyncioTestCase):
    """Messages pass only between nodes that know the shared secret."""

    async def asyncSetUp(self):
        """Start two nodes."""
        self.one, _, _ = await start("n1")
        self.two, self.received, self.instance = await start("n2")
        self.addAsyncCleanup(self.one.close)
        self.addAsyncCleanup(self.two.close)

    async def test_message_arrives_with_name_and_revision(self):
        self.one.set_peers([self.instance])
        self.one.revision = 7
        self.one.send("n2", QueueLease(b"12345678"))
        self.assertEqual(await self.received.get(), ("n1", QueueLease(b"12345678"), 7))

    async def test_reset_link_sends_the_next_message(self):
        self.one.set_peers([self.instance])
        for number in range(3):
            self.one.send("n2", QueueLease(bytes([number])))
            async with asyncio.timeout(ARRIVAL_TIMEOUT_S):
                _, message, _ = await self.received.get()
            self.assertEqual(message, QueueLease(bytes([number])))
            self.one.reset_link("n2")

    async def test_nodes_without_the_secret_are_refused(self):
        unauthorized, _, _ = await start("n3", b"another secret, as long")
        self.addAsyncCleanup(unauthorized.close)
        unauthorized.set_peers([self.instance])
        with self.assertLogs("peridotcove.links", "WARNING"):
            unauthorized.send("n2", QueueLease(b"x"))
            while unauthorized._link_by_peer["n2"].task is not None:
                await asyncio.sleep(0)
        self.assertTrue(self.received.empty())

    async def test_a_peer_without_power_is_dialed_again_before_a_silent_one(self):
        """A dial to a peer that is off must not wait for the system to try again.

        After a power loss of the whole fleet, nodes dial others that are not up yet;
        their packets are lost, and the system repeats them only after a second.
        """
        silent, full = socket.socket(), socket.socket()
        queued = [socket.socket() for _ in range(2)]
        for one in (silent, full, *queued):
            self.addCleanup(one.close)
            one.setblocking(False)
        for one in (silent, full):
            one.bind(("127.0.0.1", 0))
        silent.listen(8)
        # The system drops opening packets to a listener whose queue is full.
        full.listen(0)
        for one in queued:
            one.connect_ex(full.getsockname())
        address_by_name = {"silent": silent, "off": full}
        self.one.set_peers(
            Instance(name, "node", *one.getsockname(), "a")
            for name, one in address_by_name.items()
        )
        with self.assertLogs("peridotcove.links", "WARNING") as logs:
            for name in address_by_name:
                self.one.send(name, QueueLease(b"x"))
            while len(logs.output) < 2:
                await asyncio.sleep(0.01)
        self.assertIn("link to off closed", logs.output[0])
        self.assertIn("link to silent closed", logs.output[1])

    async def test_each_failed_dial_waits_longer_for_the_next(self):
        """A peer at a great distance is reached although the first wait is short."""
        link = Link("far", "192.0.2.1", 1)
        waits_ms = []
        for link.failure_count in (0, 1, 2, 3, 40):
            waits_ms.append(link.connect_timeout_ms)
        self.assertEqual(waits_ms, [250, 500, 1_000, 1_000, 1_000])

    async def test_a_connection_that_ends_after_its_timeout_is_closed_once(self):
        """A dial whose wait was cancelled must still notice that its peer closed."""
        closed = []
        factory = make_client_factory("127.0.0.1", 1, 1_000, closed.append)
        frame_socket = factory()
        waiting = asyncio.create_task(frame_socket.open())
        await asyncio.sleep(0)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        for _ in range(2):
            frame_socket.connection_lost(None)
        self.assertEqual(closed, [frame_socket])

    async def test_malformed_frames_close_the_link(self):
        frames = ["text", b"", b"\xff", cbor2.dumps([VERSION, 1]), b"x" * 100]
        frames.append(encode(make_hello(Identity("n9", "a", 1)), 0))
        for frame in frames:
            with (
                self.subTest(frame=frame[:10]),
                self.assertLogs("peridotcove.links", "WARNING"),
            ):
                url = f"ws://127.0.0.1:{self.instance.port}"
                async with connect(url, proxy=None) as socket:
                    await socket.recv()
                    await socket.send(frame)
                    with self.assertRaises(ConnectionClosed):
                        await socket.recv()
        self.assertTrue(self.received.empty())

    async def test_send_to_unknown_peer_raises_link_down(self):
        with self.assertRaises(LinkDown):
            self.one.send("n2", QueueLease(b"x"))


class FrameTest(unittest.TestCase):
    """Any malformed frame raises `ProtocolError`."""

    @given(st.binary(max_size=60))
    def test_random_bytes_are_refused(self, frame):
        with self.assertRaises(ProtocolError):
            decode(frame)

    @given(st.integers(0, 50), st.lists(st.one_of(st.integers(), st.text())))
    def test_random_fields_are_refused_or_decoded(self, code, fields):
        try:
            item, revision = decode(cbor2.dumps([VERSION, code, 5, *fields]))
        except ProtocolError:
            return
        self.assertEqual(decode(encode(item, revision)), (item, 5))

    def test_additional_fields_are_ignored(self):
        frame = cbor2.dumps(
            [VERSION, QueueLease.CODE, 3, b"id", "from a later version"]
        )
        self.assertEqual(decode(frame), (QueueLease(b"id"), 3))
