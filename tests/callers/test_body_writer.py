"""Tests of the body's writer: every byte arrives once, in order, in valid chunks."""

import asyncio
import socket
import unittest

from hypothesis import given
from hypothesis import strategies as st
from tornado.iostream import IOStream, StreamClosedError

from peridotcove.callers.body_writer import BodyWriter

PART = st.binary(min_size=1, max_size=60_000)


def read_chunks(raw):
    """Return the body in a run of chunks."""
    body = b""
    while raw:
        size, _, raw = raw.partition(b"\r\n")
        body += raw[: int(size, 16)]
        raw = raw[int(size, 16) + 2 :]
    return body


async def send(parts, chunked, sndbuf):
    """Write parts to a socket that is read slowly, and return what was read."""
    near, far = socket.socketpair()
    near.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, sndbuf)
    far.setblocking(False)
    stream = IOStream(near)
    writer = BodyWriter(stream, chunked)

    async def write():
        for part in parts:
            await writer.write(part)
        stream.close()

    task = asyncio.ensure_future(write())
    raw = b""
    while data := await asyncio.get_running_loop().sock_recv(far, 7_000):
        raw += data
    await task
    far.close()
    return raw


class TestBodyWriter(unittest.TestCase):
    """Parts of any size through sockets that take little at once."""

    @given(st.lists(PART, min_size=1, max_size=6), st.booleans(), st.booleans())
    def test_whole_in_order(self, parts, chunked, small):
        raw = asyncio.run(send(parts, chunked, 4_608 if small else 1 << 18))
        self.assertEqual(read_chunks(raw) if chunked else raw, b"".join(parts))


class TestGoneCaller(unittest.IsolatedAsyncioTestCase):
    """A caller that went away ends the write with an error."""

    async def test_gone(self):
        for closed_by_us in (True, False):
            with self.subTest(closed_by_us=closed_by_us):
                near, far = socket.socketpair()
                stream = IOStream(near)
                writer = BodyWriter(stream, True)
                far.close()
                if closed_by_us:
                    stream.close()
                with self.assertRaises(StreamClosedError):
                    await writer.write(b"a")
                stream.close()
