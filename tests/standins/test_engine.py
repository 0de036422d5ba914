"""Tests of the engine stand-in."""

import asyncio
import json

from attrs import evolve

from peridotcove.standins.completions import Completion
from peridotcove.standins.engine import EngineOptions, EngineStandin
from tests.standins.case import StandinCase

CHAT = [{"role": "user", "content": "What suits parchment? " * 40}]
OPTIONS = EngineOptions(model="gloves", token_ms=0, prefill_rate=1e9)
STREAMED = {"stream": True, "stream_options": {"include_usage": True}}


def read_events(body):
    """Return the JSON values of server-sent events, and whether ``[DONE]`` follows."""
    lines = [x for x in body.decode().split("\n\n") if x]
    values = [x.removeprefix("data: ") for x in lines]
    complete = bool(values) and values[-1] == "[DONE]"
    return [json.loads(x) for x in values if x != "[DONE]"], complete


def read_text(events):
    return "".join(c["delta"]["content"] for e in events for c in e["choices"])


class EngineCase(StandinCase):
    """Starts an engine for each test."""

    options = OPTIONS

    def make_standin(self):
        self.engine = EngineStandin(self.options)
        return self.engine

    async def chat(self, request_id="r1", messages=CHAT, **extra):
        body = {"model": "gloves", "messages": messages, "max_tokens": 80} | extra
        headers = {"X-Request-Id": request_id}
        return await self.call("/v1/chat/completions", body, headers=headers)

    async def post_raw(self, body, headers=""):
        raw = json.dumps(body)
        reader, writer = await asyncio.open_connection("127.0.0.1", self.engine.port)
        head = f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n{headers}"
        writer.write(f"{head}Content-Length: {len(raw)}\r\n\r\n{raw}".encode())
        return reader, writer


class TestChats(EngineCase):
    """Chats, fault modes, the prefix cache and its events."""

    async def test_streamed_and_unstreamed_answers_belong_to_the_prompt(self):
        expected = Completion("gloves", CHAT).text(80)
        response = json.loads((await self.chat()).body)
        events, done = read_events((await self.chat("r2", **STREAMED)).body)
        self.assertEqual(response["choices"][0]["message"]["content"], expected)
        self.assertEqual(response["id"], "chatcmpl-r1")
        self.assertEqual((read_text(events), done), (expected, True))
        self.assertEqual(events[-1]["usage"]["completion_tokens"], 80)

    async def test_next_turn_finds_prompt_and_answer_in_the_cache(self):
        answer = json.loads((await self.chat()).body)["choices"][0]["message"]
        again = [*CHAT, answer, {"role": "user", "content": "And for photographs?"}]
        usage = json.loads((await self.chat("r2", again)).body)["usage"]
        cached = usage["prompt_tokens_details"]["cached_tokens"]
        self.assertLess(usage["prompt_tokens"] - cached, 64 + 6)
        events = (await self.get_json("/cache/events?after=0"))["events"]
        stored = sum(len(event["hashes"]) for event in events)
        self.assertEqual(stored, len(self.engine.cache))

    async def test_faults_by_mode(self):
        cases = {
            "garbage": lambda r: r.code == 200 and b"not an answer" in r.body,
            "garbage-raw": lambda r: r.code == 599,
            "half": lambda r: r.code == 599,
            "nothing": lambda r: r.code == 599,
            "error500": lambda r: r.code == 500,
            "two-answers": lambda r: r.code == 200,
        }
        for mode, holds in cases.items():
            with self.subTest(mode):
                control = {"mode": mode, "count": 1}
                await self.call("/control", control, "PUT")
                self.assertTrue(holds(await self.chat(mode)))
                self.assertEqual((await self.chat(f"after-{mode}")).code, 200)

    async def test_cut_stream_resumes_after_the_last_event(self):
        self.engine.faults.set("half", 1)
        body = {"model": "gloves", "messages": CHAT, "max_tokens": 80, "stream": True}
        reader, writer = await self.post_raw(body, "X-Request-Id: r1\r\n")
        lines = (await reader.read()).split(b"\r\n")
        writer.close()
        events = b"".join(line for line in lines if line.startswith(b"data: "))
        first, complete = read_events(events)
        rest = await self.call(f"/v1/streams/r1?after={len(first)}")
        second, done = read_events(rest.body)
        self.assertEqual((len(first), complete, done), (40, False, True))
        expected = Completion("gloves", CHAT).text(80)
        self.assertEqual(read_text(first + second), expected)
        self.assertEqual(self.engine.stats()["started_twice"], 0)

    async def test_full_cache_evicts_the_oldest_blocks(self):
        self.engine.cache.max_blocks = 4
        for name in "abc":
            await self.chat(name, [{"role": "user", "content": name * 600}])
        self.assertEqual(len(self.engine.cache), 4)
        events = (await self.get_json("/cache/events?after=0"))["events"]
        kinds = [event["kind"] for event in events]
        self.assertIn("removed", kinds)


class TestScheduling(EngineCase):
    """Queue, cancellation, orders and KV blocks."""

    options = evolve(OPTIONS, token_ms=5, capacity=1)

    async def test_queue_is_ordered_by_priority(self):
        order = []

        async def run(name, priority, max_tokens=3):
            await self.chat(name, max_tokens=max_tokens, priority=priority)
            order.append(name)

        calls = [asyncio.ensure_future(run("first", 5, 100_000))]
        while not self.engine.scheduler.running:
            await asyncio.sleep(0)
        calls += [asyncio.ensure_future(run(*x)) for x in (("low", 9), ("high", 0))]
        while self.engine.scheduler.waiting < 2:
            await asyncio.sleep(0)
        await self.call("/v1/streams/first/cancel", {})
        await asyncio.gather(*calls)
        self.assertEqual(order, ["first", "high", "low"])
        self.assertEqual(self.engine.stats()["highest_running"], 1)

    async def test_cancel_releases_the_slot(self):
        call = asyncio.ensure_future(self.chat("r1", max_tokens=100_000, **STREAMED))
        while not self.engine.scheduler.running:
            await asyncio.sleep(0)
        await self.call("/v1/streams/chatcmpl-r1/cancel", {})
        await call
        stats = self.engine.stats()
        self.assertEqual((stats["cancelled"], stats["running"]), (1, 0))

    async def test_disconnect_of_the_caller_cancels(self):
        body = {"model": "gloves", "messages": CHAT, "max_tokens": 100_000}
        _, writer = await self.post_raw(body)
        while not self.engine.scheduler.running:
            await asyncio.sleep(0)
        writer.close()
        while self.engine.scheduler.running:
            await asyncio.sleep(0)
        self.assertEqual(self.engine.stats()["cancelled"], 1)

    async def test_orders_with_an_old_fencing_number(self):
        for checks, code, fence in ((True, 409, 7), (False, 200, 3)):
            with self.subTest(checks=checks):
                self.engine.options = evolve(self.options, checks_fencing=checks)
                await self.call("/orders", {"fence": 7, "role": "prefill"})
                old = await self.call("/orders", {"fence": 3, "role": "decode"})
                self.assertEqual(old.code, code)
                self.assertEqual((await self.get_json("/orders"))["fence"], fence)

    async def test_engine_refuses_chats_while_it_loads(self):
        self.engine.options = evolve(self.options, weight_bytes=1e12)
        await self.call("/orders", {"fence": 1, "model": "other"})
        state = await self.get_json("/orders")
        self.assertTrue(state["loading"])
        self.assertEqual((await self.chat()).code, 404)

    async def test_kv_import_and_export(self):
        await self.call("/kv/import", {"hashes": ["00000000000000aa"]})
        held = await self.call("/kv/export", {"hashes": ["aa", "bb"]})
        self.assertEqual(json.loads(held.body)["hashes"], ["00000000000000aa"])
