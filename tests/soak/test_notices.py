"""Real nodes before servers that say that they leave, or when they want work again."""

import asyncio
import pathlib
import random
import tempfile
import unittest

from tests.soak.fleet import OK, SoakFleet

NODES = 3
SERVERS = 4
WATCHED_S = 6.0
PAUSE_SHARE = 0.2
MIN_SERVED_SHARE = 0.9


class NoticesTest(unittest.TestCase):
    """What servers say of themselves is kept by each node, whatever the store says."""

    def play(self, disturb):
        """Run a fleet while something happens; check promises and the share served."""
        with tempfile.TemporaryDirectory() as folder:
            fleet = SoakFleet(NODES, SERVERS, pathlib.Path(folder), random.Random(1))

            async def run():
                try:
                    await fleet.start()
                    await disturb(fleet)
                finally:
                    await fleet.close()

            asyncio.run(run())
        self.assertEqual(fleet.promises.violations, [])
        counts = fleet.promises.answer_counts
        served = sum(number for (_, status), number in counts.items() if status == OK)
        self.assertGreater(served, MIN_SERVED_SHARE * sum(counts.values()))

    async def let_leave(self, fleet):
        server = fleet.server_by_name["i-1"]
        server.leaving_share = 1.0
        await asyncio.sleep(WATCHED_S)
        return server

    # Servers say so in their answers while their entries still call them ready.
    def test_server_that_says_that_it_leaves(self):
        self.play(self.let_leave)

    def test_server_that_says_that_it_leaves_while_the_store_is_silent(self):
        async def disturb(fleet):
            fleet.store.silent = True
            await self.let_leave(fleet)
            fleet.store.silent = False

        self.play(disturb)

    def test_server_that_says_that_it_leaves_while_a_node_is_frozen(self):
        async def disturb(fleet):
            node = fleet.store_links[0].node
            disruption = fleet.promises.begin_disruption(node.label)
            leaving = asyncio.create_task(self.let_leave(fleet))
            await asyncio.sleep(WATCHED_S / 4)
            node.pause()
            await asyncio.sleep(WATCHED_S / 4)
            node.resume()
            fleet.promises.end_disruption(disruption)
            await leaving

        self.play(disturb)

    def test_new_server_on_the_address_of_the_old_one(self):
        async def disturb(fleet):
            await self.let_leave(fleet)
            old = fleet.server_by_name.pop("i-1")
            proxy = fleet.proxy_by_server.pop("i-1")
            fleet.active_servers.discard("i-1")
            fleet.store.drop("servers/i-1")
            old.name, old.leaving_share = "i-new", 0.0
            old.runs = 0
            fleet.server_by_name["i-new"] = old
            fleet.proxy_by_server["i-new"] = proxy
            entry = old.make_entry("llm", addr=proxy.address)
            fleet.store.put("servers/i-new", entry)
            await asyncio.sleep(WATCHED_S / 2)
            self.assertGreater(old.runs, 0)

        self.play(disturb)

    def test_server_that_names_a_time(self):
        async def disturb(fleet):
            fleet.server_by_name["i-1"].pause_share = PAUSE_SHARE
            await asyncio.sleep(WATCHED_S)

        self.play(disturb)
