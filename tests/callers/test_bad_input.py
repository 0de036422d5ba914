"""Invalid requests and engine faults, over sockets and with one node.

Each gets the right status, code and verdict, and a concurrent good stream completes.
"""

import asyncio
import hashlib
import json
import os
import unittest
from unittest import mock

from peridotcove.clock import Clock
from peridotcove.node import Node
from peridotcove.node_lifecycle import close, start
from peridotcove.schema import build
from peridotcove.settings import Settings
from peridotcove.standins.completions import Completion
from peridotcove.standins.engine import EngineOptions, EngineStandin
from peridotcove.standins.platform import PlatformStandin

HOST = "127.0.0.1"
KEY = "key-of-the-bakery"
CHAT = "POST /v1/chat/completions"
MESSAGES = [{"role": "user", "content": "Which gloves suit parchment?"}]
GOOD = {"model": "m", "messages": MESSAGES, "max_tokens": 8}
HEADER_BYTES, BODY_BYTES = 2_048, 4_096
LIMITS = {
    "header_bytes": HEADER_BYTES,
    "body_bytes": BODY_BYTES,
    "body_ms": 500,
    "first_byte_ms": 300,
    "gap_ms": 300,
}


def make_chat(**extra):
    return json.dumps(GOOD | extra).encode()


def make_request(line, body=b"", key=KEY, length=None, extra=""):
    """Return the bytes of a request with ``Connection: close``."""
    length = len(body) if length is None else length
    head = f"{line} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
    head += f"Authorization: Bearer {key}\r\nContent-Length: {length}\r\n{extra}\r\n"
    return head.encode() + body


def make_chunked(parts):
    head = make_request(CHAT).replace(
        b"Content-Length: 0", b"Transfer-Encoding: chunked"
    )
    return head + b"".join(b"%x\r\n%b\r\n" % (len(x), x) for x in parts) + b"0\r\n\r\n"


CALLER_CASES = {
    "head": (make_request(CHAT, extra=f"X: {'a' * 3_000}\r\n"), 431, "large-head"),
    "body": (make_request(CHAT, b"a" * (BODY_BYTES + 1)), 413, "large-body"),
    "announced": (make_request(CHAT, length=1 << 40), 413, "large-body"),
    "chunks": (make_chunked([b"a" * 3_000] * 3), 413, "large-body"),
    "slow": (make_request(CHAT, b"{", length=100), 408, "slow-body"),
    "no JSON": (make_request(CHAT, b"{]"), 400, "bad-json"),
    "deep": (make_request(CHAT, b"[" * BODY_BYTES), 400, "bad-json"),
    "a list": (make_request(CHAT, b"[]"), 400, "bad-json"),
    "model": (make_request(CHAT, make_chat(model="no")), 404, "unknown-model"),
    "model's type": (make_request(CHAT, make_chat(model=1)), 400, "bad-model"),
    "messages": (make_request(CHAT, make_chat(messages=1)), 400, "bad-messages"),
    "stream": (make_request(CHAT, make_chat(stream=1)), 400, "bad-stream"),
    "customer": (make_request(CHAT, make_chat(), "no"), 401, "unknown-customer"),
    "path": (make_request("GET /nothing"), 404, "unknown-path"),
    "method": (make_request("PUT /v1/chat/completions"), 405, "unknown-path"),
    "service": (make_request("GET /services/no/a"), 404, "unknown-service"),
}
# By fault of the engine: status and verdict of a response in one piece, and of a
# streamed one.
ENGINE_CASES = {
    "garbage": ((502, "may-have-run"), (502, "may-have-run")),
    "garbage-raw": ((502, "may-have-run"), (502, "may-have-run")),
    "half": ((502, "may-have-run"), (200, "ran")),
    "two-answers": ((200, "ran"), (200, "ran")),
    "nothing": ((502, "may-have-run"), (502, "may-have-run")),
    "silent": ((504, "may-have-run"), (504, "may-have-run")),
    "error500": ((502, "may-have-run"), (502, "may-have-run")),
}


def parse_response(raw):
    """Return status, header fields and body of a response."""
    head, _, body = raw.partition(b"\r\n\r\n")
    status, *lines = head.decode().split("\r\n")
    fields = dict(line.split(": ", 1) for line in lines)
    return int(status.split()[1]), fields, body


class TestBadInput(unittest.IsolatedAsyncioTestCase):
    """A node with one engine; a good stream runs concurrently with each bad request."""

    async def asyncSetUp(self):
        environment = mock.patch.dict(os.environ, {"TEST_SECRET": "s" * 32})
        environment.start()
        self.addCleanup(environment.stop)
        self.engine = EngineStandin(EngineOptions("m", token_ms=1.0))
        self.engine.start()
        self.addAsyncCleanup(self.engine.close)
        digest = hashlib.sha256(KEY.encode()).hexdigest()
        configuration = {
            "revision": 1,
            "bounds": {"retry_share": 0.0},
            "zones": {"z1": {"region": "r1"}},
            "models": {"m": {}},
            "engines": {"e1": {"url": self.engine.url, "zone": "z1", "model": "m"}},
            "customers": {"bakery": {"key_digests": [digest]}},
        }
        common_fields = {"host": HOST, "zone": "z1", "state": "live"}
        instances = [
            common_fields | {"name": "e1", "kind": "engine", "port": self.engine.port}
        ]
        self.platform = PlatformStandin(configuration, instances)
        self.platform.start()
        self.addAsyncCleanup(self.platform.close)
        await self.start_node()

    async def start_node(self):
        url = self.platform.url
        raw = {
            "node": "n1",
            "zone": "z1",
            "region": "r1",
            "secret": {"variable": "TEST_SECRET"},
            "platform": {"configuration_url": url, "instances_url": url},
            "limits": LIMITS,
        }
        for name in ("callers", "nodes", "operators"):
            raw[name] = {"host": HOST, "port": 0}
        self.node = Node(build(Settings, raw, "test"), Clock())
        self.tasks = await start(self.node)
        self.port = self.node.ports[0]
        self.addAsyncCleanup(self.stop)
        async with asyncio.timeout(60):
            while self.node.links.revision != 1 or not self.engine.assignment.fence:
                await asyncio.sleep(0.01)

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await close(self.node)

    async def send(self, raw):
        reader, writer = await asyncio.open_connection(HOST, self.port)
        writer.write(raw)
        response = await reader.read()
        writer.close()
        return parse_response(response)

    async def check_concurrent_stream(self, other_request):
        """Run a good stream and, once it has started, another request concurrently."""
        body = make_chat(max_tokens=100, stream=True)
        good = asyncio.create_task(self.send(make_request(CHAT, body)))
        # A stream that fails before it runs fails the test below; it must not hang it.
        while not self.engine.scheduler.running and not good.done():
            await asyncio.sleep(0.001)
        await other_request
        status, _, response = await good
        self.assertEqual((status, response.count(b"data: ")), (200, 101))

    async def check_refused(self, raw, status, code):
        requests_before = self.engine.requests
        found_status, fields, body = await self.send(raw)
        self.assertEqual(found_status, status, body)
        error = json.loads(body)["error"]
        self.assertEqual((error["code"], error["verdict"]), (code, "not-run"))
        self.assertEqual(fields["Peridotcove-Verdict"], "not-run")
        self.assertEqual(self.engine.requests, requests_before)

    async def test_callers(self):
        for name, (raw, status, code) in CALLER_CASES.items():
            with self.subTest(name):
                await self.check_concurrent_stream(
                    self.check_refused(raw, status, code)
                )

    async def check_engine(self, mode, stream, status, verdict):
        self.engine.faults.set(mode)
        body = make_chat(stream=stream)
        found_status, fields, response = await self.send(make_request(CHAT, body))
        self.engine.faults.set("ok")
        self.assertEqual(
            (found_status, fields["Peridotcove-Verdict"]), (status, verdict)
        )
        if status != 200:
            self.assertEqual(json.loads(response)["error"]["verdict"], verdict)
        elif stream:
            self.assertEqual(response.count(b'"content"'), 8)
            self.assertTrue(response.rstrip(b"0\r\n").endswith(b"[DONE]"), response)
        else:
            text = json.loads(response)["choices"][0]["message"]["content"]
            self.assertEqual(text, Completion("m", MESSAGES).text(8))

    async def test_engine_faults(self):
        for mode, cases in ENGINE_CASES.items():
            for stream, case in zip((False, True), cases, strict=True):
                with self.subTest(mode, stream=stream):
                    await self.check_concurrent_stream(
                        self.check_engine(mode, stream, *case)
                    )
