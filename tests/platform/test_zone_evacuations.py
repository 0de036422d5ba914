"""Tests of nodes whose operator evacuates availability zones."""

import asyncio

from tests.platform.clients import Client
from tests.platform.fakes import ServerStandin, make_event, make_stream_answer
from tests.platform.test_platform_node import WAIT_S, PlatformNodeBase

REQUESTS = 10
EVENTS = 4
# Values that an operator's tool may write; the key alone counts.
ODD_VALUES = (b"", b"\xff\xfe", b"[" * 10_000, {"since": 7}, b"false")


class ZoneEvacuationsTest(PlatformNodeBase):
    """Two servers in zone z1, and one in z2."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.other = ServerStandin("i-3")
        await self.other.start()
        self.addAsyncCleanup(self.other.close)
        entry = self.other.make_entry("llm", zone="z2")
        self.store.put("servers/i-3", entry)
        await self.wait_in_force(self.node)

    def evacuate(self, zone, value=b""):
        self.store.put(f"op/evacuate/{zone}", value)

    async def check_served_by(self, expected, node=None, target="/lookup/"):
        """Check which servers requests reach."""
        everyone = [*self.servers, self.other]
        for server in everyone:
            server.seen.clear()
        for number in range(REQUESTS):
            client = await self.connect(node)
            got = await client.fetch(f"r{number}", target)
            self.assertEqual(got.status, 200 if expected else 503, got.body)
        self.assertLessEqual({one.name for one in everyone if one.seen}, set(expected))

    async def test_an_evacuated_zone_gets_no_request_until_it_is_restored(self):
        for value in ODD_VALUES:
            with self.subTest(value=value[:10] if type(value) is bytes else value):
                self.evacuate("z1", value)
                await self.wait_in_force(self.node)
                await self.check_served_by(["i-3"])
                self.store.drop("op/evacuate/z1")
                await self.wait_in_force(self.node)
                self.evacuate("z2", value)
                await self.wait_in_force(self.node)
                await self.check_served_by(["i-1", "i-2"])
                self.store.drop("op/evacuate/z2")
                await self.wait_in_force(self.node)

    async def test_running_streams_of_the_zone_finish(self):
        for server in [*self.servers, self.other]:
            server.answer = make_stream_answer(EVENTS, pause_s=0.1)
        clients = [await self.connect() for _ in range(3)]
        for number, client in enumerate(clients):
            client.send(f"r{number}", "/chat/")
        everyone = [*self.servers, self.other]
        await self.wait_for(lambda: sum(len(one.seen) for one in everyone) == 3)
        self.evacuate("z1")
        self.evacuate("z2")
        for client in clients:
            got = await client.read()
            whole = b"".join(map(make_event, range(1, EVENTS + 1)))
            self.assertEqual((got.is_complete, got.body), (True, whole))

    async def test_a_broken_stream_goes_on_in_another_zone(self):
        began = []

        async def break_off(seen, writer):
            began.append(seen)
            self.evacuate("z1")
            await self.wait_in_force(self.node)
            await make_stream_answer(2, cut=True)(seen, writer)

        for server in self.servers:
            server.answer = break_off
        self.other.answer = make_stream_answer(EVENTS)
        async with asyncio.timeout(WAIT_S):
            while not began:
                got = await self.fetch("r1", "/resumed/")
        self.assertTrue(got.is_complete)
        self.assertIn("Last-Event-Id", self.other.seen[-1].headers)

    async def test_an_evacuation_and_its_end_spread_while_the_store_is_away(self):
        self.evacuate("z1")
        await self.wait_in_force(self.node)
        self.store.status = 503
        fresh = await self.start((self.node.name,))
        await self.wait_for(fresh.control.revisions.ready)
        await self.check_served_by(["i-3"], fresh)
        self.store.status = 0
        self.store.drop("op/evacuate/z1")
        await self.wait_in_force(self.node)
        self.store.status = 503
        later = await self.start((self.node.name,))
        await self.wait_for(later.control.revisions.ready)
        self.evacuate("z2")
        await self.check_served_by(["i-1", "i-2", "i-3"], later)

    async def test_an_entry_that_lapses_does_not_bring_an_evacuated_server_back(self):
        self.evacuate("z1")
        await self.wait_in_force(self.node)
        self.node.engine_retention.start_outage()
        for server in self.servers:
            self.store.drop(f"servers/{server.name}")
        await self.wait_in_force(self.node)
        await self.check_served_by(["i-3"])

    async def test_a_restored_zone_serves_although_another_node_asked(self):
        peer = await self.start((self.node.name,))
        await self.wait_for(lambda: len(peer.fleet.nodes) == 2)
        self.evacuate("z1")
        for node in (self.node, peer):
            await self.wait_in_force(node)
        # As after a pause, the peer asks which endpoints are leaving.
        peer.endpoint_states._resumed_ms = peer.clock.now()
        await self.wait_for(peer.endpoint_states.fresh)
        self.store.drop("op/evacuate/z1")
        self.evacuate("z2")
        await self.wait_in_force(peer)
        await self.check_served_by(["i-1", "i-2"], peer)

    async def test_a_service_without_a_server_is_refused_at_once(self):
        self.evacuate("z1")
        self.evacuate("z2")
        await self.wait_in_force(self.node)
        started_ms = self.node.clock.now()
        await self.check_served_by([])
        self.assertLess(self.node.clock.now() - started_ms, 1_000)
        got = await self.fetch("r1", "/lookup/")
        self.assertIn("retry-after", got.headers)

    async def test_a_zone_that_is_not_known_is_logged_and_changes_nothing(self):
        with self.assertLogs("peridotcove.store", "WARNING") as logged:
            self.evacuate("elsewhere")
            await self.wait_in_force(self.node)
        self.assertIn("elsewhere", "".join(logged.output))
        await self.check_served_by(["i-1", "i-2", "i-3"])

    async def test_the_log_names_evacuated_zones_and_cold_servers(self):
        with self.assertLogs("peridotcove.events", "INFO") as logged:
            self.evacuate("z2")
            entry = self.other.make_entry("llm", zone="z2", cold_left_ms=700)
            self.store.put("servers/i-3", entry)
            await self.wait_in_force(self.node)
        by_kind = {record.kind: record for record in logged.records}
        self.assertEqual(by_kind["zones-evacuated"].zones, ["z2"])
        self.assertEqual(by_kind["engines-cold"].left_ms, {"i-3": 700})

    async def test_an_operator_sees_which_zones_are_evacuated(self):
        self.evacuate("z2")
        await self.wait_in_force(self.node)
        settings = self.node.settings
        host, port = settings.operators.host, settings.operators.port
        if settings.metrics is not None:
            host, port = settings.metrics.host, settings.metrics.port
        client = await Client.connect(host, port)
        self.addCleanup(client.close)
        got = await client.fetch("r1", "/configuration", method="GET")
        self.assertIn(b'"evacuated_zones": ["z2"]', got.body)
