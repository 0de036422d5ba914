"""Tests of `BodyWriter`: every byte arrives once, in order, in valid chunks."""

import asyncio
import socket
import unittest

from hypothesis import given
from hypothesis import strategies as st
from tornado.iostream import IOStream, StreamClosedError

from peridotcove.callers.body_writer import BodyWriter

PART = st.binary(min_size=1, max_size=60_000)


def read_chunks(received):
    """Decode a chunked body."""
    body = b""
    while received:
        size, _, received = received.partition(b"\r\n")
        body += received[: int(size, 16)]
        received = received[int(size, 16) + 2 :]
    return body


async def send(parts, chunked, send_buffer_bytes):
    """Write parts to a socket that is read slowly, and return the bytes received."""
    local, remote = socket.socketpair()
    local.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, send_buffer_bytes)
    remote.setblocking(False)
    stream = IOStream(local)
    writer = BodyWriter(stream, chunked)

    async def write():
        for part in parts:
            await writer.write(part)
        stream.close()

    task = asyncio.ensure_future(write())
    received = b""
    while data := await asyncio.get_running_loop().sock_recv(remote, 7_000):
        received += data
    await task
    remote.close()
    return received


class TestBodyWriter(unittest.TestCase):
    """Parts of any size, written to sockets with small and large send buffers."""

    @given(st.lists(PART, min_size=1, max_size=6), st.booleans(), st.booleans())
    def test_bytes_arrive_complete_and_in_order(self, parts, chunked, small_buffer):
        received = asyncio.run(send(parts, chunked, 4_608 if small_buffer else 1 << 18))
        self.assertEqual(
            read_chunks(received) if chunked else received, b"".join(parts)
        )


class TestClosedConnection(unittest.IsolatedAsyncioTestCase):
    """A write fails if either end of the connection is closed."""

    async def test_write_fails(self):
        for closed_locally in (True, False):
            with self.subTest(closed_locally=closed_locally):
                local, remote = socket.socketpair()
                stream = IOStream(local)
                writer = BodyWriter(stream, True)
                remote.close()
                if closed_locally:
                    stream.close()
                with self.assertRaises(StreamClosedError):
                    await writer.write(b"a")
                stream.close()
