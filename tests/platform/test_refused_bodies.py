"""Tests of bodies that a node has no room for: refused, and nothing is left of them."""

from tests.platform import fakes
from tests.platform.test_platform_node import (
    SMALL_MACHINE,
    PlatformNodeBase,
    stay_silent,
)

# Over half of what bodies of running requests may take on the small machine.
BODY = b"x" * 600_000


class RefusedBodyTest(PlatformNodeBase):
    """A body that doesn't fit beside those of running requests has not run."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.small = await self.start(machine=SMALL_MACHINE)
        await self.wait_in_force(self.small)
        for server in self.servers:
            server.answer = stay_silent
        self.first = await self.connect(self.small)
        self.first.send("r1", "/booking/", body=BODY, X_Deadline_Ms="30000")
        await self.wait_for(lambda: self.arrivals() == 1)

    def arrivals(self):
        return sum(len(server.seen) for server in self.servers)

    async def check_refused(self, client):
        got = await client.read()
        self.assertEqual((got.status, got.headers["connection"]), (503, "close"))
        self.assertIn("retry-after", got.headers)
        self.assertEqual(await client.reader.read(), b"")
        self.assertEqual(self.arrivals(), 1)

    async def check_nothing_is_left(self):
        ingress, memory = self.small.interface.ingress, self.small.connection_memory
        await self.wait_for(lambda: len(ingress._requests) == 1)
        await self.wait_for(lambda: not ingress._closing_connections)
        self.assertLess(memory.total_bytes, 2 * len(BODY))

    async def test_an_announced_body_is_refused_at_its_head(self):
        client = await self.connect(self.small)
        client.send("r2", "/booking/", Content_Length=str(len(BODY)))
        await self.check_refused(client)
        await self.check_nothing_is_left()

    async def test_a_chunked_body_is_refused_at_its_end(self):
        client = await self.connect(self.small)
        client.send("r2", "/booking/", Content_Length=None, Transfer_Encoding="chunked")
        client.writer.write(fakes.make_chunk(BODY) + fakes.make_chunk(b""))
        await self.check_refused(client)
        await self.check_nothing_is_left()

    async def test_there_is_room_again_after_the_running_request(self):
        self.first.close()
        for server in self.servers:
            server.answer = fakes.echo_body
        await self.wait_for(lambda: not self.small.interface.ingress._requests)
        client = await self.connect(self.small)
        got = await client.fetch("r3", "/booking/", body=BODY)
        self.assertEqual((got.status, got.body), (200, BODY))
        await self.wait_for(lambda: not self.small.connection_memory._admitted_bytes)

    # A connection left the request that it waited for behind, and so its own memory.
    async def test_nothing_is_left_of_connections_that_end(self):
        ingress = self.small.interface.ingress
        for number in range(20):
            client = await self.connect(self.small)
            if number % 2:
                await client.fetch("r4", "/none/")
            client.close()
        await self.wait_for(lambda: len(ingress._requests) == 1)
        self.assertEqual(len(ingress._last_request_by_connection), 1)
