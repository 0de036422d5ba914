"""Tests of the engine client against a scripted engine, over sockets."""

import asyncio
import json
import unittest

from peridotcove.callers.response_sink import ResponseSink
from peridotcove.clock import Clock
from peridotcove.endpoints.engine_client import EngineClient
from peridotcove.endpoints.streaming_client import StreamingClient
from peridotcove.exceptions import EndpointFailed
from peridotcove.models import Engine
from peridotcove.settings import Limits
from peridotcove.verdict import Verdict

EVENT = b'data: {"id": "chatcmpl-ab", "choices": [{"delta": {"content": "x"}}]}\n\n'
DONE = b"data: [DONE]\n\n"
USAGE = (
    b'data: {"id": "chatcmpl-ab", "usage": {"prompt_tokens": 80, "total_tokens": 1, '
)
USAGE += b'"prompt_tokens_details": {"cached_tokens": 60}}}\n\n'
COMPLETE = json.dumps({"choices": [], "id": "chatcmpl-ab"}).encode()
LIMITS = Limits(first_byte_ms=200, gap_ms=200)


def make_head(status=b"200 OK", kind=b"text/event-stream", length=None):
    """Return the head of a response; without a length it ends with the connection."""
    lines = [b"HTTP/1.1 " + status, b"Content-Type: " + kind, b"Connection: close"]
    if length is not None:
        lines.append(b"Content-Length: %d" % length)
    return b"\r\n".join(lines) + b"\r\n\r\n"


class ScriptedEngine:
    """Sends given bytes to each chat, then closes or stalls; streams do not resume."""

    def __init__(self, response_bytes, silent=False):
        self.response_bytes = response_bytes
        self.silent = silent
        self.requests = 0
        self.closed = asyncio.Event()

    async def start(self):
        """Listen and return the `Engine` of the configuration."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        return Engine("e1", f"http://127.0.0.1:{port}", "a", "m")

    async def _serve(self, reader, writer):
        try:
            request = await reader.readuntil(b"\r\n\r\n")
            if not request.startswith(b"POST /v1/chat/completions "):
                writer.write(make_head(b"404 Not Found", length=0))
                return
            self.requests += 1
            writer.write(self.response_bytes)
            if self.silent:
                while await reader.read(1024):
                    pass
            await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.closed.set()
            writer.close()


class SlowCaller:
    """A caller's connection whose writes the test completes."""

    def __init__(self):
        self.futures = []
        self.size = 0

    def write(self, data):
        """Count the bytes and return a pending future."""
        self.size += len(data)
        self.futures.append(asyncio.get_running_loop().create_future())
        return self.futures[-1]


class FastCaller:
    """A caller's connection whose writes complete at once."""

    def __init__(self):
        self.data = b""

    def write(self, data):
        """Record the bytes and return a completed future."""
        self.data += data
        future = asyncio.get_running_loop().create_future()
        future.set_result(None)
        return future


class TestEngineClient(unittest.IsolatedAsyncioTestCase):
    """Responses and errors for each behaviour of an engine and of a caller."""

    async def run_chat(self, response_bytes, stream, silent=False):
        """Return the response or error, the engine and the bytes sent to the caller."""
        engine = ScriptedEngine(response_bytes, silent)
        description = await engine.start()
        self.addCleanup(engine.server.close)
        client = StreamingClient(Clock())
        self.addCleanup(client.close)
        caller = FastCaller()
        sink = ResponseSink(lambda: caller, 1 << 17) if stream else None
        try:
            run = EngineClient(client, LIMITS).run(description, b"{}", "ab", sink)
            return await run, engine, caller.data
        except EndpointFailed as error:
            return error, engine, caller.data

    async def test_complete_answers(self):
        stream = EVENT + USAGE + DONE
        response, engine, data = await self.run_chat(make_head() + stream, True)
        self.assertEqual((response.status, response.cached_share), (200, 0.75))
        self.assertEqual((data, engine.requests), (stream, 1))
        response, engine, _ = await self.run_chat(
            make_head(length=len(COMPLETE)) + COMPLETE, False
        )
        self.assertEqual((response.status, response.cached_share), (200, None))
        self.assertEqual((response.body, engine.requests), (COMPLETE, 1))

    async def test_faults(self):
        may_have_run, not_run = Verdict.MAY_HAVE_RUN, Verdict.NOT_RUN
        busy = make_head(b"503 Service Unavailable", length=0)
        cases = [
            # name, answer, streamed, silent, code, verdict
            ("nothing", b"", True, False, "cut", may_have_run),
            ("nothing", b"", False, False, "cut", may_have_run),
            ("garbage", b"\x00\x01garbage", True, False, "cut", may_have_run),
            (
                "garbage body",
                make_head() + b"garbage",
                True,
                False,
                "cut",
                may_have_run,
            ),
            (
                "garbage body",
                make_head(length=7) + b"garbage",
                False,
                False,
                "garbage",
                may_have_run,
            ),
            ("half a stream", make_head() + EVENT, True, False, "cut", may_have_run),
            (
                "half a body",
                make_head(length=99) + COMPLETE,
                False,
                False,
                "cut",
                may_have_run,
            ),
            ("silence", b"", True, True, "timeout", may_have_run),
            ("silence later", make_head() + EVENT, True, True, "timeout", may_have_run),
            ("busy", busy, True, False, "engine-busy", not_run),
            (
                "error",
                make_head(b"500 Oops", length=0),
                False,
                False,
                "engine-error",
                may_have_run,
            ),
        ]
        for name, response_bytes, streamed, silent, code, verdict in cases:
            with self.subTest(fault=name, streamed=streamed):
                error, engine, _ = await self.run_chat(response_bytes, streamed, silent)
                self.assertIsInstance(error, EndpointFailed)
                self.assertEqual((error.code, error.verdict), (code, verdict))
                self.assertEqual(engine.requests, 1, "libcurl retried the request")

    async def test_no_connection_is_not_run(self):
        engine = ScriptedEngine(b"")
        description = await engine.start()
        engine.server.close()
        await engine.server.wait_closed()
        client = StreamingClient(Clock())
        self.addCleanup(client.close)
        with self.assertRaises(EndpointFailed) as caught:
            await EngineClient(client, LIMITS).run(description, b"{}", "ab")
        self.assertIs(caught.exception.verdict, Verdict.NOT_RUN)

    async def test_bytes_after_the_response_are_ignored(self):
        response_bytes = make_head(length=len(COMPLETE)) + COMPLETE
        second = make_head(length=5) + b"other"
        response, _, _ = await self.run_chat(response_bytes + second, False)
        self.assertEqual(response.body, COMPLETE)

    async def test_buffer_for_slow_caller_is_bounded(self):
        limit = 1 << 17
        engine = ScriptedEngine(make_head() + EVENT * 200_000 + DONE)
        description = await engine.start()
        self.addCleanup(engine.server.close)
        client = StreamingClient(Clock())
        self.addCleanup(client.close)
        caller = SlowCaller()
        sink = ResponseSink(lambda: caller, limit)
        run = EngineClient(client, LIMITS).run(description, b"{}", "ab", sink)
        task = asyncio.create_task(run)
        while not (sink.transfer and sink.transfer.paused):
            await asyncio.sleep(0)
        first = sink.buffered_bytes
        self.assertLessEqual(first, limit + (1 << 16))
        while not task.done():
            self.assertLessEqual(sink.buffered_bytes, limit + (1 << 16))
            for future in caller.futures:
                if not future.done():
                    future.set_result(None)
            await asyncio.sleep(0)
        self.assertEqual((await task).status, 200)
        while caller.futures and not caller.futures[-1].done():
            caller.futures[-1].set_result(None)
            await asyncio.sleep(0)
        self.assertEqual(caller.size, len(EVENT) * 200_000 + len(DONE))

    async def test_caller_that_stops_reading_times_out(self):
        engine = ScriptedEngine(make_head() + EVENT * 200_000, silent=True)
        description = await engine.start()
        self.addCleanup(engine.server.close)
        client = StreamingClient(Clock())
        self.addCleanup(client.close)
        sink = ResponseSink(SlowCaller, 1 << 17)
        limits = Limits(caller_stall_ms=1_000)
        with self.assertRaises(EndpointFailed) as caught:
            await EngineClient(client, limits).run(description, b"{}", "ab", sink)
        self.assertEqual(caught.exception.code, "slow-caller")
        await engine.closed.wait()

    async def test_caller_disconnect_closes_the_engine_connection(self):
        engine = ScriptedEngine(make_head() + EVENT, silent=True)
        description = await engine.start()
        self.addCleanup(engine.server.close)
        client = StreamingClient(Clock())
        self.addCleanup(client.close)
        started = asyncio.Event()
        caller = FastCaller()

        def open_answer():
            started.set()
            return caller

        sink = ResponseSink(open_answer, 1 << 17)
        task = asyncio.create_task(
            EngineClient(client, LIMITS).run(description, b"{}", "ab", sink)
        )
        await started.wait()
        sink.close()
        await engine.closed.wait()
        with self.assertRaises(EndpointFailed):
            await task
