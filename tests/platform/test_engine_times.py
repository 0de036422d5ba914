"""What servers say of their machines reaches the owner of their shard.

Without it, a server whose machine is slow for others' work gets as much as the rest.
"""

import asyncio

from tests.platform.fakes import make_event, make_head
from tests.platform.test_platform_node import PlatformNodeBase

EVENTS = 4
PAUSE_S = 0.02


def make_loaded_answer(load):
    """Return an answer of some events, whose head tells the server's load."""

    async def answer(seen, writer):
        writer.write(make_head(seen, 200, X_Server_Load=load))
        for number in range(1, EVENTS + 1):
            writer.write(make_event(number))
            await writer.drain()
            await asyncio.sleep(PAUSE_S)

    return answer


class EngineTimesTest(PlatformNodeBase):
    """Times of streams, with true and with false figures."""

    async def describe_after(self, load):
        """Return what the owner knows of the server that answered a request."""
        for server in self.servers:
            server.seen.clear()
            server.answer = make_loaded_answer(load)
        self.assertEqual((await self.fetch("r1", "/chat/")).status, 200)
        (name,) = [server.name for server in self.servers if server.seen]
        for dispatcher in self.node.lease_server.dispatcher_by_shard.values():
            times = dispatcher.describe_times()
            if name in times:
                return times[name]
        raise AssertionError("no dispatcher has the server")

    async def test_a_slow_machine_is_known_at_the_owner(self):
        times = await self.describe_after("3,0,8,250")
        self.assertGreater(times["slowness"], 1.0)
        self.assertGreater(times["event_ms"], 0)

    async def test_false_figures_change_nothing(self):
        for load in ("3,0,8", "3,0,8,0", "3,0,8,-4", "3,0,8,slow", "3,0,8,NaN", ","):
            with self.subTest(load=load):
                times = await self.describe_after(load)
                self.assertEqual(times["slowness"], 1.0)
                self.assertEqual(times["figure_age_ms"], -1)
