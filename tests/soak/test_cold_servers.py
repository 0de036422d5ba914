"""Real nodes before servers that come back cold, while a zone is evacuated."""

import asyncio
import pathlib
import random
import tempfile
import unittest

from tests.soak.fleet import OK, SoakFleet

NODES = 4
SERVERS = 8
COLD_SERVERS = 4
COLD_MS = 4_000
EXTRA_CLIENTS = 12
WATCHED_S = 7.0
MIN_SERVED_SHARE = 0.9


class ColdServersTest(unittest.TestCase):
    """No cold server gets more than it bears, and no evacuated one anything."""

    async def play(self, fleet):
        """Start cold servers and evacuate a zone while a crowd comes."""
        await fleet.start()
        for number in range(EXTRA_CLIENTS):
            node = fleet.store_links[number % NODES].node
            fleet.add_client(node, random.Random(number))
        for _ in range(COLD_SERVERS):
            await fleet.add_server(COLD_MS)
        fleet.evacuate("z1")
        await asyncio.sleep(WATCHED_S)
        for server in fleet.server_by_name.values():
            if server.zone == "z1":
                server.turn_cold(COLD_MS)
        fleet.write_server_entries()
        fleet.end_evacuation("z1")
        await asyncio.sleep(COLD_MS / 1_000)

    def test_cold_servers_beside_an_evacuated_zone(self):
        with tempfile.TemporaryDirectory() as folder:
            fleet = SoakFleet(NODES, SERVERS, pathlib.Path(folder), random.Random(1))

            async def run():
                try:
                    await self.play(fleet)
                finally:
                    await fleet.close()

            asyncio.run(run())
        self.assertEqual(fleet.promises.violations, [])
        counts = fleet.promises.answer_counts
        served = sum(number for (_, status), number in counts.items() if status == OK)
        self.assertGreater(served, MIN_SERVED_SHARE * sum(counts.values()))
        self.assertTrue(fleet.promises._cold_times_by_server)
