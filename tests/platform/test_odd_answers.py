"""Tests of answers whose status is none, or that come before the request was read."""

import asyncio

from tests.platform import fakes
from tests.platform.fakes import ServerStandin, make_head, reset_connection
from tests.platform.test_platform_node import WAIT_S, PlatformNodeBase

# Texts in place of a status that a final answer may have.
ODD_STATUSES = (
    *("000", "99", "600", "999", "20", "1000", "-20", "2OO", "101", "0200"),
    *("", "2 00", "+200", "200.0", "two", "\u0662\u0660\u0660"),
)
UPLOAD = bytes(3_000_000)
SENT_PART = b"a part of the body"


class EarlyServer(ServerStandin):
    """Answers before it has read the body of the request, then resets the connection.

    Attributes
    ----------
    fields : dict
        Header fields of the answer.
    """

    fields = {}

    async def _serve(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        line, *fields = head.strip().split("\r\n")
        headers = dict(field.split(": ", 1) for field in fields)
        method, target, _ = line.split(" ")
        seen = fakes.ReceivedRequest(method, target, headers, b"")
        self.seen.append(seen)
        writer.write(make_head(seen, 200, **self.fields) + SENT_PART)
        await writer.drain()
        await reader.readexactly(100_000)
        reset_connection(writer)


class OddAnswerTest(PlatformNodeBase):
    """No client gets such an answer as one of a server."""

    # Statuses past 599 were passed on with their body.
    async def test_a_status_that_is_none_is_no_answer(self):
        def make_answer(status):
            async def answer(seen, writer):
                head = make_head(seen, 200, 4).decode()
                line = f"HTTP/1.1 {status} x"
                writer.write(head.replace("HTTP/1.1 200 x", line).encode() + b"oops")
                await writer.drain()

            return answer

        for status in ODD_STATUSES:
            for target, method in (("/booking/", "POST"), ("/chat/", "POST")):
                with self.subTest(status=status, target=target):
                    for server in self.servers:
                        server.answer = make_answer(status)
                    got = await self.fetch("r1", target, method=method, body=b"b")
                    self.assertIn(got.status, (502, 504))
                    self.assertNotIn(b"oops", got.body)
                    self.assertNotIn("x-server-stamp", got.headers)

    async def test_a_status_that_is_none_is_retried_if_the_request_may_be(self):
        async def answer(seen, writer):
            head = make_head(seen, 200, 4).decode()
            writer.write(head.replace(" 200 ", " 600 ").encode() + b"oops")
            for server in self.servers:
                server.answer = fakes.echo_body

        for server in self.servers:
            server.answer = answer
        got = await self.fetch("r1", "/lookup/", body=b"b")
        self.assertEqual((got.status, got.body), (200, b"b"))

    # An answer without length was ended by a reset, while the upload was being written.
    async def test_an_upload_that_is_answered_early_and_reset_has_no_answer(self):
        for server in self.servers:
            self.store.drop(f"servers/{server.name}")
        early = EarlyServer("i-early")
        await early.start()
        self.addAsyncCleanup(early.close)
        self.store.put("servers/i-early", early.make_entry("llm"))
        await self.wait_in_force(self.node)
        cases = [{}, {"Content_Length": 100}, {"Transfer_Encoding": "chunked"}]
        for number, fields in enumerate(cases):
            early.fields = fields
            for target in ("/booking/", "/lookup/", "/chat/"):
                with self.subTest(target=target, fields=fields):
                    async with asyncio.timeout(WAIT_S):
                        got = await self.fetch(f"r{number}", target, body=UPLOAD)
                    is_success = got.status == 200 and got.is_complete
                    self.assertFalse(is_success, got)
                    self.assertTrue(early.seen)
