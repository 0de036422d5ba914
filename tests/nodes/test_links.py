"""Tests of links over real sockets, and of the frames that they take."""

import asyncio
import unittest

import cbor2
from hypothesis import given
from hypothesis import strategies as st
from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed

from peridotcove.clock import Clock
from peridotcove.exceptions import LinkDown, ProtocolError
from peridotcove.models import Instance
from peridotcove.nodes.handshake import Identity, greet
from peridotcove.nodes.links import LinkManager
from peridotcove.nodes.messages import VERSION, QueueLease, decode, encode

SECRET = b"a secret of the tests"


async def start(name, secret=SECRET):
    """Return listening links, the queue of what they take, and their place."""
    links, taken = LinkManager(Identity(name, "a", 1), secret, Clock()), asyncio.Queue()
    links.on_message = lambda *item: taken.put_nowait(item)
    port = await links.listen("127.0.0.1", 0)
    return links, taken, Instance(name, "node", "127.0.0.1", port, "a")


class LinksTest(unittest.IsolatedAsyncioTestCase):
    """Messages pass between nodes that know the secret, and only then."""

    async def asyncSetUp(self):
        """Start two nodes."""
        self.one, _, _ = await start("n1")
        self.two, self.taken, self.place = await start("n2")
        self.addAsyncCleanup(self.one.close)
        self.addAsyncCleanup(self.two.close)

    async def test_message_arrives_with_name_and_revision(self):
        self.one.set_peers([self.place])
        self.one.revision = 7
        self.one.send("n2", QueueLease(b"12345678"))
        self.assertEqual(await self.taken.get(), ("n1", QueueLease(b"12345678"), 7))

    async def test_renewed_link_carries_the_next_message(self):
        self.one.set_peers([self.place])
        for number in range(3):
            self.one.send("n2", QueueLease(bytes([number])))
            _, message, _ = await self.taken.get()
            self.assertEqual(message, QueueLease(bytes([number])))
            self.one.reset_link("n2")

    async def test_strangers_are_refused(self):
        stranger, _, _ = await start("n3", b"another secret, as long")
        self.addAsyncCleanup(stranger.close)
        stranger.set_peers([self.place])
        with self.assertLogs("peridotcove.links", "WARNING"):
            stranger.send("n2", QueueLease(b"x"))
            while stranger._link_by_peer["n2"].task is not None:
                await asyncio.sleep(0)
        self.assertTrue(self.taken.empty())

    async def test_malformed_frames_close_the_link(self):
        frames = ["text", b"", b"\xff", cbor2.dumps([VERSION, 1]), b"x" * 100]
        frames.append(encode(greet(Identity("n9", "a", 1)), 0))
        for frame in frames:
            with (
                self.subTest(frame=frame[:10]),
                self.assertLogs("peridotcove.links", "WARNING"),
            ):
                url = f"ws://127.0.0.1:{self.place.port}"
                async with connect(url, proxy=None) as socket:
                    await socket.recv()
                    await socket.send(frame)
                    with self.assertRaises(ConnectionClosed):
                        await socket.recv()
        self.assertTrue(self.taken.empty())

    async def test_unknown_peer_is_down(self):
        with self.assertRaises(LinkDown):
            self.one.send("n2", QueueLease(b"x"))


class FrameTest(unittest.TestCase):
    """Anything malformed is one error."""

    @given(st.binary(max_size=60))
    def test_noise(self, frame):
        with self.assertRaises(ProtocolError):
            decode(frame)

    @given(st.integers(0, 50), st.lists(st.one_of(st.integers(), st.text())))
    def test_wrong_fields(self, code, fields):
        try:
            item, revision = decode(cbor2.dumps([VERSION, code, 5, *fields]))
        except ProtocolError:
            return
        self.assertEqual(decode(encode(item, revision)), (item, 5))

    def test_later_fields_are_ignored(self):
        frame = cbor2.dumps(
            [VERSION, QueueLease.CODE, 3, b"id", "from a later version"]
        )
        self.assertEqual(decode(frame), (QueueLease(b"id"), 3))
