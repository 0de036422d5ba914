"""Contract tests of the engine client over real sockets, against a scripted engine."""

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
WHOLE = json.dumps({"choices": [], "id": "chatcmpl-ab"}).encode()
LIMITS = Limits(first_byte_ms=200, gap_ms=200)


def head(status=b"200 OK", kind=b"text/event-stream", length=None):
    """Return the head of an answer that ends with its connection, or at a length."""
    lines = [b"HTTP/1.1 " + status, b"Content-Type: " + kind, b"Connection: close"]
    if length is not None:
        lines.append(b"Content-Length: %d" % length)
    return b"\r\n".join(lines) + b"\r\n\r\n"


class ScriptedEngine:
    """Sends given bytes to each chat, then closes or stays silent; resumes nothing."""

    def __init__(self, answer, silent=False):
        self.answer = answer
        self.silent = silent
        self.requests = 0
        self.cut = asyncio.Event()

    async def start(self):
        """Listen and return the engine's description."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        return Engine("e1", f"http://127.0.0.1:{port}", "a", "m")

    async def _serve(self, reader, writer):
        try:
            request = await reader.readuntil(b"\r\n\r\n")
            if not request.startswith(b"POST /v1/chat/completions "):
                writer.write(head(b"404 Not Found", length=0))
                return
            self.requests += 1
            writer.write(self.answer)
            if self.silent:
                while await reader.read(1024):
                    pass
            await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.cut.set()
            writer.close()


class SlowCaller:
    """A caller's connection whose writes end only when the test says so."""

    def __init__(self):
        self.futures = []
        self.size = 0

    def write(self, data):
        """Take bytes; the write is not over."""
        self.size += len(data)
        self.futures.append(asyncio.get_running_loop().create_future())
        return self.futures[-1]


class FastCaller:
    """A caller's connection that takes everything at once."""

    def __init__(self):
        self.data = b""

    def write(self, data):
        """Take bytes."""
        self.data += data
        future = asyncio.get_running_loop().create_future()
        future.set_result(None)
        return future


class EngineTest(unittest.IsolatedAsyncioTestCase):
    """What each behaviour of an engine leads to."""

    async def run_chat(self, answer, stream, silent=False):
        """Return the reply or error, the engine and what the caller got."""
        engine = ScriptedEngine(answer, silent)
        described = await engine.start()
        self.addCleanup(engine.server.close)
        client = StreamingClient(Clock())
        self.addCleanup(client.close)
        caller = FastCaller()
        sink = ResponseSink(lambda: caller, 1 << 17) if stream else None
        try:
            run = EngineClient(client, LIMITS).run(described, b"{}", "ab", sink)
            return await run, engine, caller.data
        except EndpointFailed as error:
            return error, engine, caller.data

    async def test_whole_answers(self):
        stream = EVENT + USAGE + DONE
        reply, engine, data = await self.run_chat(head() + stream, True)
        self.assertEqual((reply.status, reply.cached_share), (200, 0.75))
        self.assertEqual((data, engine.requests), (stream, 1))
        reply, engine, _ = await self.run_chat(head(length=len(WHOLE)) + WHOLE, False)
        self.assertEqual((reply.status, reply.cached_share), (200, None))
        self.assertEqual((reply.body, engine.requests), (WHOLE, 1))

    async def test_faults(self):
        may, not_run = Verdict.MAY_HAVE_RUN, Verdict.NOT_RUN
        busy = head(b"503 Service Unavailable", length=0)
        cases = [
            # name, answer, streamed, silent, code, verdict
            ("nothing", b"", True, False, "cut", may),
            ("nothing", b"", False, False, "cut", may),
            ("garbage", b"\x00\x01garbage", True, False, "cut", may),
            ("garbage body", head() + b"garbage", True, False, "cut", may),
            ("garbage body", head(length=7) + b"garbage", False, False, "garbage", may),
            ("half a stream", head() + EVENT, True, False, "cut", may),
            ("half a body", head(length=99) + WHOLE, False, False, "cut", may),
            ("silence", b"", True, True, "timeout", may),
            ("silence later", head() + EVENT, True, True, "timeout", may),
            ("busy", busy, True, False, "engine-busy", not_run),
            ("error", head(b"500 Oops", length=0), False, False, "engine-error", may),
        ]
        for name, answer, streamed, silent, code, verdict in cases:
            with self.subTest(fault=name, streamed=streamed):
                error, engine, _ = await self.run_chat(answer, streamed, silent)
                self.assertIsInstance(error, EndpointFailed)
                self.assertEqual((error.code, error.verdict), (code, verdict))
                self.assertEqual(engine.requests, 1, "the library sent it again")

    async def test_no_connection_is_not_run(self):
        engine = ScriptedEngine(b"")
        described = await engine.start()
        engine.server.close()
        await engine.server.wait_closed()
        client = StreamingClient(Clock())
        self.addCleanup(client.close)
        with self.assertRaises(EndpointFailed) as caught:
            await EngineClient(client, LIMITS).run(described, b"{}", "ab")
        self.assertIs(caught.exception.verdict, Verdict.NOT_RUN)

    async def test_two_answers_are_not_mixed(self):
        answer = head(length=len(WHOLE)) + WHOLE
        second = head(length=5) + b"other"
        reply, _, _ = await self.run_chat(answer + second, False)
        self.assertEqual(reply.body, WHOLE)

    async def test_slow_caller_holds_bounded_memory(self):
        limit = 1 << 17
        engine = ScriptedEngine(head() + EVENT * 200_000 + DONE)
        described = await engine.start()
        self.addCleanup(engine.server.close)
        client = StreamingClient(Clock())
        self.addCleanup(client.close)
        caller = SlowCaller()
        sink = ResponseSink(lambda: caller, limit)
        run = EngineClient(client, LIMITS).run(described, b"{}", "ab", sink)
        task = asyncio.create_task(run)
        while not (sink.transfer and sink.transfer.paused):
            await asyncio.sleep(0)
        first = sink.held
        self.assertLessEqual(first, limit + (1 << 16))
        while not task.done():
            self.assertLessEqual(sink.held, limit + (1 << 16))
            for future in caller.futures:
                if not future.done():
                    future.set_result(None)
            await asyncio.sleep(0)
        self.assertEqual((await task).status, 200)
        while caller.futures and not caller.futures[-1].done():
            caller.futures[-1].set_result(None)
            await asyncio.sleep(0)
        self.assertEqual(caller.size, len(EVENT) * 200_000 + len(DONE))

    async def test_caller_that_stops_reading_is_cut(self):
        engine = ScriptedEngine(head() + EVENT * 200_000, silent=True)
        described = await engine.start()
        self.addCleanup(engine.server.close)
        client = StreamingClient(Clock())
        self.addCleanup(client.close)
        sink = ResponseSink(SlowCaller, 1 << 17)
        limits = Limits(caller_stall_ms=1_000)
        with self.assertRaises(EndpointFailed) as caught:
            await EngineClient(client, limits).run(described, b"{}", "ab", sink)
        self.assertEqual(caught.exception.code, "slow-caller")
        await engine.cut.wait()

    async def test_caller_that_goes_cancels_at_the_engine(self):
        engine = ScriptedEngine(head() + EVENT, silent=True)
        described = await engine.start()
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
            EngineClient(client, LIMITS).run(described, b"{}", "ab", sink)
        )
        await started.wait()
        sink.close()
        await engine.cut.wait()
        with self.assertRaises(EndpointFailed):
            await task
