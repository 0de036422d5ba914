"""Tests of the engine client against the engine stand-in and its faults."""

import asyncio
import json
import unittest

from peridotcove.clock import Clock
from peridotcove.endpoints.engine_client import EngineClient
from peridotcove.endpoints.streaming_client import StreamingClient
from peridotcove.exceptions import EndpointFailed, RequestRefused
from peridotcove.models import Engine
from peridotcove.settings import Limits
from peridotcove.standins.completions import Completion
from peridotcove.standins.engine import EngineOptions, EngineStandin
from peridotcove.verdict import Verdict

MESSAGES = [{"role": "user", "content": "Four gilded stands for Saturday?"}]
TOKENS = 12


class FakeSink:
    """Records the data that is sent to the caller."""

    def __init__(self):
        self.data = b""
        self.closed = False
        self.transfer = None

    def write(self, data):
        self.data += data
        return False

    def close(self):
        self.closed = True
        self.transfer.cancel()

    def text(self):
        lines = [line[6:] for line in self.data.split(b"\n\n") if line]
        values = [json.loads(line) for line in lines if line != b"[DONE]"]
        deltas = [item["choices"][0]["delta"] for item in values]
        return "".join(delta["content"] for delta in deltas), lines.count(b"[DONE]")


class TestEngineClient(unittest.IsolatedAsyncioTestCase):
    """Complete responses, resumed streams and cancelled requests."""

    async def asyncSetUp(self):
        options = EngineOptions("m", token_ms=2.0, cancel_ms=60_000)
        self.standin = EngineStandin(options)
        self.standin.start()
        self.addAsyncCleanup(self.standin.close)
        self.engine = Engine("e", self.standin.url, "z", "m")
        self.http = StreamingClient(Clock())
        self.addCleanup(self.http.close)
        self.client = EngineClient(self.http, Limits(first_byte_ms=500, gap_ms=500))
        self.sink = FakeSink()

    def make_body(self, tokens=TOKENS, **more):
        value = {"model": "m", "messages": MESSAGES, "max_tokens": tokens, **more}
        return json.dumps(value).encode()

    async def run_stream(self, request_id="00ff", tokens=TOKENS, **more):
        body = self.make_body(tokens, stream=True)
        return await self.client.run(self.engine, body, request_id, self.sink, **more)

    async def wait_for(self, condition):
        async with asyncio.timeout(30):
            while not condition():
                await asyncio.sleep(0.001)

    async def test_cut_stream_is_resumed(self):
        for fault in ("ok", "half"):
            with self.subTest(fault):
                self.sink = FakeSink()
                self.standin.faults.mode, self.standin.faults.left = fault, 1
                response = await self.run_stream(f"id-{fault}")
                self.assertEqual(response.status, 200)
                expected = Completion("m", MESSAGES).text(TOKENS)
                self.assertEqual(self.sink.text(), (expected, 1))
                starts = self.standin.scheduler.start_count_by_id
                self.assertEqual(starts[f"id-{fault}"], 1)

    async def test_unresumable_stream_fails(self):
        for fault in ("garbage", "garbage-raw", "nothing", "silent", "error500"):
            with self.subTest(fault):
                self.sink = FakeSink()
                self.standin.faults.mode, self.standin.faults.left = fault, None
                with self.assertRaises(EndpointFailed) as caught:
                    await self.run_stream(f"id-{fault}")
                self.assertIs(caught.exception.verdict, Verdict.MAY_HAVE_RUN)
                self.assertEqual(self.sink.data, b"")

    async def test_engine_exit_fails_the_stream(self):
        run = asyncio.create_task(self.run_stream(tokens=10_000))
        await self.wait_for(lambda: self.sink.data)
        await self.standin.close()
        with self.assertRaises(EndpointFailed) as caught:
            await run
        self.assertIs(caught.exception.verdict, Verdict.MAY_HAVE_RUN)
        self.assertNotIn(b"[DONE]", self.sink.data)

    async def test_caller_disconnect_cancels_stream_at_engine(self):
        run = asyncio.create_task(self.run_stream(tokens=10_000))
        await self.wait_for(lambda: self.sink.data)
        self.sink.close()
        with self.assertRaises(EndpointFailed):
            await run
        await self.wait_for(lambda: self.standin.scheduler.cancelled)

    async def test_cancelled_request_is_cancelled_at_engine(self):
        body = self.make_body(tokens=10_000)
        run = asyncio.create_task(self.client.run(self.engine, body, "00ff"))
        await self.wait_for(lambda: self.standin.scheduler.running)
        run.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await run
        await self.wait_for(lambda: self.standin.scheduler.cancelled)

    async def test_before_send_error_stops_the_request(self):
        def before_send():
            raise RequestRefused("leaving", "the engine is leaving")

        with self.assertRaises(RequestRefused):
            await self.run_stream(before_send=before_send)
        self.assertEqual(self.standin.requests, 0)

    async def test_curl_does_not_retry(self):
        await self.run_stream("first")
        self.standin.faults.mode, self.standin.faults.left = "nothing", 1
        with self.assertRaises(EndpointFailed):
            await self.run_stream("second")
        self.assertEqual(self.standin.requests, 2)
