"""Tests of `peridotcove.curl`."""

import asyncio
import unittest

from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPRequest

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
