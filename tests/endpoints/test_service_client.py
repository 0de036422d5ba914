"""Tests of the service client against endpoints with faults, over sockets."""

import asyncio
import socket
import unittest

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError

from peridotcove.endpoints.service_client import HttpCall, ServiceClient, _SendGuard
from peridotcove.exceptions import EndpointFailed, RequestRefused
from peridotcove.verdict import Verdict

COMPLETE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
CHUNKED_WITHOUT_END = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
)


class ScriptedEndpoint:
    """Server that records each request and sends the next of the given responses.

    A response of None closes the connection without a response.
    """

    def __init__(self, *responses):
        self.responses = list(responses)
        self.requests = []
        self.connections = 0
        self.writers = []
        self.tasks = []

    async def __aenter__(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.url = f"http://127.0.0.1:{port}"
        return self

    async def __aexit__(self, *details):
        self.server.close()
        for writer in self.writers:
            writer.close()
        await asyncio.gather(*self.tasks)

    async def _serve(self, reader, writer):
        self.connections += 1
        self.writers.append(writer)
        self.tasks.append(asyncio.current_task())
        while head := await self._read(reader):
            self.requests.append(head)
            response = self.responses.pop(0) if self.responses else COMPLETE
            if response is None:
                break
            writer.write(response)
            if response is not COMPLETE:
                break
        writer.close()

    async def _read(self, reader):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
        except (asyncio.IncompleteReadError, ConnectionError):
            return ""
        for line in head.split("\r\n"):
            if line.lower().startswith("content-length:"):
                await reader.readexactly(int(line.split(":")[1]))
        return head


POST = HttpCall("POST", "/reservations", (("X-A", "1"), ("X-A", "2")), b"stand 7", "T1")


class TestServiceClient(unittest.IsolatedAsyncioTestCase):
    """What each behaviour of an endpoint leads to, and how often a call is sent."""

    def setUp(self):
        self.client = ServiceClient()
        self.addCleanup(self.client.close)

    async def call(self, endpoint, call=POST, repeatable=False, timeout=5000, **more):
        return await self.client.call(endpoint.url, call, timeout, repeatable, **more)

    async def test_plain_curl_retries_a_sent_request(self):
        # The failure that ServiceClient prevents, shown with tornado's curl client: a
        # reused connection closes without a response, and libcurl sends the POST again.
        client = CurlAsyncHTTPClient(force_instance=True)
        self.addCleanup(client.close)
        async with ScriptedEndpoint(COMPLETE, None, COMPLETE) as endpoint:
            for _ in range(2):
                await client.fetch(endpoint.url, method="POST", body="stand 7")
            self.assertEqual(len(endpoint.requests), 3)

    async def test_guard_alone_stops_the_second_send(self):
        client = CurlAsyncHTTPClient(force_instance=True)
        self.addCleanup(client.close)
        async with ScriptedEndpoint(COMPLETE, None, COMPLETE) as endpoint:
            await client.fetch(endpoint.url, method="POST", body="stand 7")
            guard = _SendGuard(False, None)

            def prepare(curl):
                guard.prepare(curl)
                curl.setopt(pycurl.FRESH_CONNECT, 0)

            with self.assertRaises(CurlError):
                await client.fetch(
                    endpoint.url,
                    method="POST",
                    body="stand 7",
                    prepare_curl_callback=prepare,
                )
            self.assertEqual((len(endpoint.requests), endpoint.connections), (2, 1))

    async def test_lost_response_is_not_retried(self):
        for method in ("POST", "PUT", "PATCH", "DELETE"):
            with self.subTest(method):
                body = b"" if method == "DELETE" else b"x"
                call = HttpCall(method, "/r", body=body, idempotency_key="T")
                async with ScriptedEndpoint(COMPLETE, None, COMPLETE) as endpoint:
                    await self.call(endpoint, call, repeatable=True)
                    with self.assertRaises(EndpointFailed) as caught:
                        await self.call(endpoint, call)
                    self.assertEqual(len(endpoint.requests), 2)
                    self.assertEqual(endpoint.connections, 2)
                    self.assertIs(caught.exception.verdict, Verdict.MAY_HAVE_RUN)

    async def test_nonrepeatable_calls_use_new_connections(self):
        async with ScriptedEndpoint() as endpoint:
            for _ in range(3):
                await self.call(endpoint)
            self.assertEqual(endpoint.connections, 3)
            for _ in range(3):
                await self.call(endpoint, repeatable=True)
            self.assertEqual(endpoint.connections, 4)

    async def test_request_as_sent(self):
        async with ScriptedEndpoint() as endpoint:
            response = await self.call(endpoint)
        self.assertEqual((response.verdict, response.body), (Verdict.RAN, b"ok"))
        lines = endpoint.requests[0].split("\r\n")
        self.assertEqual(lines[0], "POST /reservations HTTP/1.1")
        for line in ("X-A: 1", "X-A: 2", "Idempotency-Key: T1", "Content-Length: 7"):
            self.assertIn(line, lines)

    async def test_incomplete_responses_may_have_run(self):
        head = b"HTTP/1.1 200 OK\r\n"
        incomplete = {
            "shorter than its length": head + b"Content-Length: 5\r\n\r\nok",
            "without a last chunk": CHUNKED_WITHOUT_END,
            "within a chunk": CHUNKED_WITHOUT_END[:-3],
            "without length or chunks": head + b"\r\nok",
            "within the head": head,
            "not HTTP": b"hello\r\n\r\n",
            "too large": head + b"Content-Length: 9999999\r\n\r\n" + b"x" * 9999999,
        }
        for name, response in incomplete.items():
            with self.subTest(name):
                async with ScriptedEndpoint(response) as endpoint:
                    with self.assertRaises(EndpointFailed) as caught:
                        await self.call(endpoint)
                    self.assertEqual(len(endpoint.requests), 1)
                self.assertIs(caught.exception.verdict, Verdict.MAY_HAVE_RUN)

    async def test_complete_responses(self):
        no_body = b"HTTP/1.1 204 No Content\r\n\r\n"
        redirect = b"HTTP/1.1 307 Go\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n"
        error = b"HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\nno"
        expected_by_response = {
            CHUNKED_WITHOUT_END + b"0\r\n\r\n": (200, b"ok"),
            no_body: (204, b""),
            redirect: (307, b""),
            error: (503, b"no"),
        }
        for sent, expected in expected_by_response.items():
            with self.subTest(sent):
                async with ScriptedEndpoint(sent) as endpoint:
                    response = await self.call(endpoint)
                self.assertEqual((response.status, response.body), expected)
                self.assertEqual(len(endpoint.requests), 1)

    async def test_refused_connection_is_not_run(self):
        closed = socket.socket()
        closed.bind(("127.0.0.1", 0))
        self.addCleanup(closed.close)
        port = closed.getsockname()[1]
        with self.assertRaises(EndpointFailed) as caught:
            await self.client.call(f"http://127.0.0.1:{port}", POST, 5000, False)
        self.assertIs(caught.exception.verdict, Verdict.NOT_RUN)

    async def test_invalid_calls_are_not_sent(self):
        calls = [
            HttpCall("GET", "/", body=b"x"),
            HttpCall("GET", "/", (("A", "b\r\nC: d"),)),
        ]
        async with ScriptedEndpoint() as endpoint:
            for call in calls:
                with self.subTest(call), self.assertRaises(EndpointFailed) as caught:
                    await self.call(endpoint, call)
                self.assertIs(caught.exception.verdict, Verdict.NOT_RUN)
            self.assertEqual(endpoint.requests, [])

    async def test_timeout_may_have_run(self):
        with socket.create_server(("127.0.0.1", 0)) as server:
            url = f"http://127.0.0.1:{server.getsockname()[1]}"
            with self.assertRaises(EndpointFailed) as caught:
                await self.client.call(url, POST, 50, False)
        error = caught.exception
        self.assertEqual((error.code, error.verdict), ("timeout", Verdict.MAY_HAVE_RUN))

    async def test_before_send_error_stops_the_call(self):
        def before_send():
            raise RequestRefused("leaving", "the endpoint is leaving")

        async with ScriptedEndpoint() as endpoint:
            with self.assertRaises(RequestRefused):
                await self.call(endpoint, before_send=before_send)
            self.assertEqual(endpoint.requests, [])
