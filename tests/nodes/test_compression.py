"""Tests of `peridotcove.nodes.compression`, alone and on links."""

import asyncio
import os
import unittest
import zlib
from unittest import mock

from peridotcove.exceptions import ProtocolError
from peridotcove.nodes import handshake
from peridotcove.nodes.compression import (
    MIN_COMPRESSED_BYTES,
    CompressedFrame,
    compress_frame,
    decode_frame,
)
from peridotcove.nodes.configuration_messages import PartData
from peridotcove.nodes.messages import MAX_FRAME_BYTES, Hello, encode
from tests.nodes.test_links import ARRIVAL_TIMEOUT_S, start

REVISION = 15 * 10**22 + 7
LARGE = PartData("host_routes", b"d", b'{"prefix":"/a/"}' * 20_000)


class CompressionTest(unittest.TestCase):
    """Large frames get smaller, and carry the same message."""

    def test_messages_stay_the_same(self):
        sizes = (0, 1, MIN_COMPRESSED_BYTES, 300_000)
        for size in sizes:
            for data in (b"x" * size, os.urandom(size)):
                item = PartData("p", b"d", data)
                frame = compress_frame(encode(item, REVISION), REVISION)
                self.assertEqual(decode_frame(frame), (item, REVISION))

    def test_only_large_frames_are_compressed(self):
        small = encode(PartData("p", b"d", b"x" * 1_000), REVISION)
        self.assertIs(compress_frame(small, REVISION), small)
        large = encode(LARGE, REVISION)
        self.assertLess(len(compress_frame(large, REVISION)), len(large) / 10)

    def test_frames_that_are_none_are_errors(self):
        whole = zlib.compress(encode(LARGE, REVISION))
        twice = zlib.compress(compress_frame(encode(LARGE, REVISION), REVISION))
        cases = {
            "empty": b"",
            "no zlib": b"\x00\x01\x02",
            "cut": whole[:-5],
            "too large": zlib.compress(b"\x00" * (MAX_FRAME_BYTES + 1)),
            "no message": zlib.compress(b"nothing"),
            "compressed twice": twice,
        }
        for name, data in cases.items():
            with self.subTest(name), self.assertRaises(ProtocolError):
                decode_frame(encode(CompressedFrame(data), REVISION))


class CompressedLinksTest(unittest.IsolatedAsyncioTestCase):
    """Nodes that read compressed frames get them, others don't."""

    async def asyncSetUp(self):
        self.one, _, _ = await start("n1")
        self.two, self.received, self.instance = await start("n2")
        self.addAsyncCleanup(self.one.close)
        self.addAsyncCleanup(self.two.close)

    async def send_large(self):
        """Send a large message and return its size on the wire."""
        sizes = []
        self.one._on_traffic = lambda way, kind, size: sizes.append(size)
        self.one.set_peers([self.instance])
        self.one.send("n2", LARGE)
        async with asyncio.timeout(ARRIVAL_TIMEOUT_S):
            self.assertEqual((await self.received.get())[1], LARGE)
        return max(sizes)

    async def test_a_large_frame_is_compressed(self):
        self.assertLess(await self.send_large(), len(LARGE.data) / 10)

    async def test_a_node_without_compression_gets_plain_frames(self):
        def make_plain(identity):
            nonce = os.urandom(handshake.NONCE_BYTES)
            return Hello(identity.node, identity.zone, identity.incarnation, nonce)

        with mock.patch.object(handshake, "make_hello", make_plain):
            self.assertGreater(await self.send_large(), len(LARGE.data))
