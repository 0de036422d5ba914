"""Tests of `peridotcove.curl`."""

import asyncio
import unittest

from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPRequest

from peridotcove.answer_memory import AnswerMemory
from peridotcove.curl import CurlClient

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
ROUNDS = 20


class ObservedCurlClient(CurlClient):
    """Counts ended transfers that the handler of their socket event did not finish."""

    missed = 0

    def _handle_events(self, fd, events):
        super()._handle_events(fd, events)
        _, ended, failed = self._multi.info_read()
        self.missed += len(ended) + len(failed)
        for curl in ended:
            self._finish(curl)


async def answer_once(reader, writer):
    """Answer each request on a connection with a single write."""
    try:
        while True:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(ANSWER)
    except (asyncio.IncompleteReadError, ConnectionError):
        writer.close()


class CurlTest(unittest.IsolatedAsyncioTestCase):
    """The end of a transfer is handled with its socket event, not at the next timer."""

    async def test_concurrent_transfers_end_with_their_event(self):
        server = await asyncio.start_server(answer_once, "127.0.0.1", 0)
        self.addCleanup(server.close)
        url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}/"
        client = ObservedCurlClient(force_instance=True, max_transfers=8)
        self.addCleanup(client.close)
        for together in (1, 3):
            for _ in range(ROUNDS):
                calls = [client.fetch(HTTPRequest(url)) for _ in range(together)]
                for reply in await asyncio.gather(*calls):
                    self.assertEqual(reply.body, b"ok")
        self.assertEqual(client.missed, 0)


class FailedTransferTest(unittest.IsolatedAsyncioTestCase):
    """The end of a transfer that fails raises nothing in the event loop."""

    async def cut(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart")
        writer.close()

    # The loop over ended transfers was left at the first that had failed.
    async def test_failed_transfers(self):
        raised = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: raised.append(context))
        server = await asyncio.start_server(self.cut, "127.0.0.1", 0)
        self.addCleanup(server.close)
        url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}/"
        client = CurlClient(force_instance=True, max_transfers=8)
        self.addCleanup(client.close)
        calls = [client.fetch(HTTPRequest(url)) for _ in range(8)]
        ended = await asyncio.gather(*calls, return_exceptions=True)
        self.assertEqual({type(one) for one in ended}, {CurlError})
        self.assertEqual(raised, [])


class HeadEndTest(unittest.IsolatedAsyncioTestCase):
    """Which responses count as complete when their connection ends."""

    async def fetch(self, response):
        async def answer(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(response)
            writer.close()

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        self.addCleanup(server.close)
        client = CurlClient(force_instance=True, max_transfers=1)
        self.addCleanup(client.close)
        url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}/"
        return await client.fetch(HTTPRequest(url), raise_error=False)

    # libcurl took the end of the connection inside a head for the end of the response,
    # which then looked like a complete one without a body.
    async def test_response_cut_at_any_byte_of_its_head_is_an_error(self):
        head = (
            b"HTTP/1.1 100 Continue\r\n\r\n"
            b"HTTP/1.1 200 OK\r\nServer-Name: s1\r\nContent-Length: 0\r\n\r\n"
        )
        for end in range(len(head)):
            with self.subTest(head=head[:end]), self.assertRaises(CurlError):
                await self.fetch(head[:end])
        self.assertEqual((await self.fetch(head)).code, 200)

    async def test_trailer_fields_do_not_change_the_head(self):
        response = await self.fetch(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nServer-Name: s1\r\n\r\n"
            b"2\r\nok\r\n0\r\nHTTP/1.1 503 Full: 1\r\nServer-Name: s2\r\n\r\n"
        )
        self.assertEqual((response.code, response.body), (200, b"ok"))
        self.assertEqual(response.headers.get_list("Server-Name"), ["s1"])

    async def test_redirect_is_not_followed(self):
        response = await self.fetch(
            b"HTTP/1.1 302 Found\r\nLocation: /\r\nContent-Length: 0\r\n\r\n"
        )
        self.assertEqual(response.code, 302)


class HeldBodiesTest(unittest.IsolatedAsyncioTestCase):
    """Bodies that are held whole share a bounded memory."""

    LIMIT_BYTES = 1 << 20
    COUNT = 8

    async def asyncSetUp(self):
        self.sums = []
        memory = AnswerMemory(self.LIMIT_BYTES, self.sums.append)
        self.client = CurlClient(
            force_instance=True, max_transfers=self.COUNT + 1, answer_memory=memory
        )
        self.addCleanup(self.client.close)
        self.server = await asyncio.start_server(self.answer, "127.0.0.1", 0)
        self.addCleanup(self.server.close)
        port = self.server.sockets[0].getsockname()[1]
        self.url = f"http://127.0.0.1:{port}/"

    async def answer(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        try:
            if b"GET /small" in head:
                writer.write(ANSWER)
                await writer.drain()
            else:
                writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
                while True:
                    writer.write(b"x" * 0x10000)
                    await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    # Each of them was bounded by itself only.
    async def test_bodies_without_end_fail_and_a_small_one_does_not(self):
        floods = [self.client.fetch(HTTPRequest(self.url)) for _ in range(self.COUNT)]
        reply = await self.client.fetch(HTTPRequest(f"{self.url}small"))
        self.assertEqual(reply.body, b"ok")
        async with asyncio.timeout(20):
            ended = await asyncio.gather(*floods, return_exceptions=True)
        self.assertEqual({type(one) for one in ended}, {CurlError})
        self.assertLessEqual(max(self.sums), self.LIMIT_BYTES)
        self.assertEqual(self.sums[-1], 0)
