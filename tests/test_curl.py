"""Tests of `peridotcove.curl`."""

import asyncio
import unittest

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
