"""Tests of requests that come, or are still in progress, late in a planned stop."""

import asyncio

from peridotcove.drain import DrainStage
from peridotcove.node_lifecycle import drain
from tests.platform import fakes
from tests.platform.test_platform_node import (
    WAIT_S,
    PlatformNodeBase,
    stay_silent,
)

DRAIN_MS = 1_500
# Time in which what the node has written arrives.
GRACE_S = 0.1
TARGETS = ("/booking/", "/lookup/", "/chat/")


class PlannedStopTest(PlatformNodeBase):
    """Each request that was read is answered, also at the end of the grace."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.node.drain.drain_ms = DRAIN_MS

    def arrivals(self):
        return sum(len(server.seen) for server in self.servers)

    def set_answer(self, answer):
        for server in self.servers:
            server.answer = answer

    async def begin_upload(self, name, target):
        """Send a request but for its last byte; return the client."""
        client = await self.connect()
        client.send(name, target, body=b"upload", Content_Length="7")
        await client.writer.drain()
        return client

    async def wait_for_stage(self, stage):
        await self.wait_for(lambda: self.node.drain.stage is stage)

    # Such a request was passed on, and cut with the process.
    async def test_a_request_that_is_whole_only_late_is_refused(self):
        clients = [
            await self.begin_upload(f"r{number}", target)
            for number, target in enumerate(TARGETS)
        ]
        await asyncio.sleep(0.1)
        busy = await self.connect()
        self.set_answer(stay_silent)
        busy.send("r9", "/booking/", body=b"b")
        await self.wait_for(lambda: self.arrivals() == 1)
        leaving = asyncio.ensure_future(drain(self.node))
        await self.wait_for_stage(DrainStage.CLOSING)
        self.set_answer(fakes.echo_body)
        for client in clients:
            client.writer.write(b"!")
        for client in clients:
            got = await client.read()
            self.assertEqual((got.status, got.headers["connection"]), (503, "close"))
            self.assertIn("retry-after", got.headers)
        self.assertEqual(self.arrivals(), 1)
        async with asyncio.timeout(WAIT_S):
            await leaving

    # Such a request was cut without an answer.
    async def test_a_request_in_progress_at_the_end_is_answered(self):
        self.set_answer(stay_silent)
        clients = [await self.connect() for _ in range(3)]
        for client, target in zip(clients, TARGETS, strict=True):
            client.send("r1", target, body=b"b", X_Deadline_Ms="30000")
        await self.wait_for(lambda: self.arrivals() == len(TARGETS))
        for got in await self.stop_and_read(clients):
            self.assertEqual((got.status, got.is_complete), (504, True))

    async def stop_and_read(self, clients):
        """Return what clients have got when the node may end."""
        reading = [asyncio.ensure_future(client.read()) for client in clients]
        async with asyncio.timeout(WAIT_S):
            await drain(self.node)
        await asyncio.wait(reading, timeout=GRACE_S)
        self.assertTrue(all(one.done() for one in reading))
        return [one.result() for one in reading]

    async def test_a_request_that_waits_at_the_end_is_refused_as_not_run(self):
        self.set_answer(stay_silent)
        clients = [await self.connect() for _ in range(12)]
        for number, client in enumerate(clients):
            client.send(f"r{number}", "/booking/", body=b"b", X_Deadline_Ms="30000")
        # Two servers with four slots each.
        await self.wait_for(lambda: self.arrivals() == 8)
        statuses = [got.status for got in await self.stop_and_read(clients)]
        self.assertEqual(sorted(statuses), [503] * 4 + [504] * 8)
        self.assertEqual(self.arrivals(), 8)


class LateRequestTest(PlatformNodeBase):
    """Requests that come late in the grace are taken only if they can end in it."""

    # Of the grace that the users' machines have.
    GRACE_MS = 7_700
    LATE_MS = 2_950

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.node.drain.drain_ms = self.GRACE_MS
        self.leaving = asyncio.ensure_future(drain(self.node))
        self.addAsyncCleanup(self.end_drain)
        await self.wait_for_leaving(self.LATE_MS)

    async def end_drain(self):
        self.leaving.cancel()
        await asyncio.gather(self.leaving, return_exceptions=True)

    async def wait_for_leaving(self, passed_ms):
        """Wait until the drain has begun, and let time pass."""
        await self.wait_for(lambda: not self.node.drain.ready)
        self.node.drain._began_ms -= passed_ms

    # Such a stream was cut at the end of the grace, in the middle of its answer.
    async def test_a_long_stream_is_refused(self):
        got = await self.fetch("r1", "/slow/", body=b"b", X_Deadline_Ms="15000")
        self.assertEqual((got.status, got.headers["connection"]), (503, "close"))
        self.assertIn("retry-after", got.headers)
        self.assertEqual([server.seen for server in self.servers], [[], []])

    async def test_requests_that_end_in_time_are_served(self):
        for target in ("/booking/", "/lookup/", "/chat/"):
            got = await self.fetch("r1", target, body=b"b")
            self.assertEqual(got.status, 200)

    def publish(self, **changes):
        super().publish(**changes)
        routes = [
            *(fakes.make_route(name, "idempotent") for name in ("booking", "lookup")),
            fakes.make_route("chat", "stream"),
            fakes.make_route("slow", "stream", timeout_ms=15_000),
        ]
        document = fakes.make_document(*routes, version=8)
        self.store.put("op/config", document)
