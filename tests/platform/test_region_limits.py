"""Tests of nodes whose operator limits routes and tenants to regions."""

import json
import unittest

from attrs import evolve

from peridotcove.clock import Clock
from peridotcove.configuration import parse_configuration
from peridotcove.node import Node
from peridotcove.node_lifecycle import open_ports, start
from peridotcove.platform.document import UNREADABLE_REGION
from peridotcove.platform.store import StoreItem
from peridotcove.platform.translation import translate
from peridotcove.residency import find_zone_region
from tests.platform import fakes
from tests.platform.fakes import (
    KEY,
    ServerStandin,
    make_document,
    make_event,
    make_route,
    make_stream_answer,
    refuse,
)
from tests.platform.odd_values import ODD_VALUES
from tests.platform.test_document import parse
from tests.platform.test_platform_node import PlatformNodeBase

REGION_BY_ZONE = {"z1": "east", "z2": "west", "z3": "north"}
REQUESTS = 8
EVENTS = 4


def make_store_settings(address="", region_by_zone=REGION_BY_ZONE):
    return fakes.StoreSettings(address, region_by_zone, 2.0, 0.2, 50)


def make_configuration(document, region_by_zone=REGION_BY_ZONE):
    item = StoreItem(5, 5, json.dumps(document).encode())
    raw = translate(
        parse(document), {"op/config": item}, make_store_settings("", region_by_zone)
    )
    return raw, parse_configuration({"revision": 1, **json.loads(json.dumps(raw))})


class TranslateRegionsTest(unittest.TestCase):
    """What the operator's document says of regions."""

    def test_limits_and_regions_are_read(self):
        route = make_route("a", "stream", allowed_regions=["east", "west", "east"])
        tenant = {"name": "bakery", "api_keys": [KEY], "allowed_regions": ["é x"]}
        regions = {"z1": "east", "z2": "é x"}
        _, found = make_configuration(make_document(route, tenants=[tenant]), regions)
        self.assertEqual(found.host_route_by_name["a"].regions, ("east", "west"))
        (region,) = found.customer_by_name["bakery"].regions
        self.assertEqual(find_zone_region(found, "z1"), "east")
        self.assertEqual(find_zone_region(found, "z2"), region)
        self.assertEqual(found.zone_by_name["z1"].region, "machines")

    # Nodes of an older version refuse a revision with fields that they don't know.
    def test_without_limits_nothing_is_added(self):
        for value in ({}, {"allowed_regions": None}, {"allowed_regions": []}):
            raw, _ = make_configuration(
                make_document(make_route("a", "stream", **value))
            )
            text = json.dumps(raw)
            self.assertNotIn("regions", text)
            self.assertNotIn("residency_region", text)

    # Without its entry, a request may match another route, which has no limit.
    def test_an_unreadable_limit_allows_no_region(self):
        for value in ODD_VALUES:
            is_list = isinstance(value, list) and all(
                isinstance(one, str) for one in value
            )
            if value is None or is_list:
                continue
            route = make_route("a", "stream", allowed_regions=value)
            tenant = {"name": "bakery", "api_keys": [KEY], "allowed_regions": value}
            with self.subTest(value=str(value)[:40]):
                with self.assertLogs("peridotcove.store", "ERROR"):
                    _, found = make_configuration(
                        make_document(route, tenants=[tenant])
                    )
                for entry in (
                    found.host_route_by_name["a"],
                    found.customer_by_name["bakery"],
                ):
                    self.assertEqual(entry.regions, (UNREADABLE_REGION,))

    def test_a_zone_without_a_readable_region_is_in_no_limit(self):
        route = make_route("a", "stream", allowed_regions=["machines", "east"])
        for region in (7, None, [], {"name": "east"}):
            _, found = make_configuration(make_document(route), {"z1": region})
            self.assertNotIn(
                find_zone_region(found, "z1"), found.host_route_by_name["a"].regions
            )


class RegionLimitsTest(PlatformNodeBase):
    """Two servers in region east, and one each in west and in north."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        for name, zone in (("i-3", "z2"), ("i-4", "z3")):
            server = ServerStandin(name)
            await server.start()
            self.addAsyncCleanup(server.close)
            self.servers.append(server)
            self.store.put(f"servers/{name}", server.make_entry("llm", zone=zone))
        await self.wait_in_force(self.node)

    async def start(self, seeds=(), zone="z1"):
        settings = fakes.make_settings(
            self.store, fakes.allocate_loopback_address(), seeds
        )
        store = make_store_settings(self.store.address)
        node = Node(evolve(settings, platform=store, zone=zone), Clock())
        await open_ports(node)
        tasks = await start(node)
        self.addAsyncCleanup(self.stop, node, tasks)
        return node

    async def limit(self, route=None, tenant=None, **changes):
        """Put limits in force: of all routes, and of the tenant."""
        fields = {} if route is None else {"allowed_regions": route}
        routes = [
            make_route("booking", "non_idempotent", **fields),
            make_route("lookup", "idempotent", **fields),
            make_route("resumed", "stream", resumable=True, **fields),
        ]
        bakery = {"name": "bakery", "api_keys": [KEY], "priority": 1}
        if tenant is not None:
            bakery["allowed_regions"] = tenant
        document = make_document(*routes, tenants=[bakery], **changes)
        self.store.put("op/config", document)
        await self.wait_in_force(self.node)

    async def find_served_by(self, target="/lookup/", node=None):
        """Return the statuses of some requests, and the servers that got one."""
        for server in self.servers:
            server.seen.clear()
        statuses = set()
        for number in range(REQUESTS):
            client = await self.connect(node)
            got = await client.fetch(f"r{number}", target, body=b"b")
            statuses.add(got.status)
        return statuses, {one.name for one in self.servers if one.seen}

    async def test_route_and_tenant_both_bind(self):
        for route, tenant, expected in (
            (["west"], None, {"i-3"}),
            (None, ["west"], {"i-3"}),
            (["west", "north"], ["east", "west"], {"i-3"}),
            (["east"], ["east"], {"i-1", "i-2"}),
        ):
            with self.subTest(route=route, tenant=tenant):
                await self.limit(route, tenant)
                statuses, names = await self.find_served_by()
                self.assertEqual(statuses, {200})
                self.assertLessEqual(names, expected)

    async def test_a_request_without_a_server_in_its_regions_is_refused_at_once(self):
        for route, tenant in (
            (["south"], None),
            (["east"], ["west"]),
            ("west", None),
            (None, {"west": 1}),
        ):
            with self.subTest(route=route, tenant=tenant):
                await self.limit(route, tenant)
                for target in ("/lookup/", "/booking/", "/resumed/"):
                    got = await self.fetch("r1", target, body=b"b")
                    self.assertEqual(got.status, 503)
                    self.assertIn(b"no-region", got.body)
                    self.assertEqual(float(got.headers["retry-after"]), 1)
                self.assertFalse(any(server.seen for server in self.servers))

    async def test_a_server_that_leaves_leaves_its_region_unserved(self):
        await self.limit(["west"])
        self.store.put("op/evacuate/z2", {})
        await self.wait_in_force(self.node)
        self.assertEqual(await self.find_served_by(), ({503}, set()))
        self.store.drop("op/evacuate/z2")
        await self.wait_in_force(self.node)
        self.assertEqual(await self.find_served_by(), ({200}, {"i-3"}))

    async def test_repeats_stay_in_the_regions(self):
        await self.limit(["west", "north"])
        for server in self.servers[2:]:
            server.answer = refuse
        statuses, names = await self.find_served_by()
        self.assertEqual(statuses, {503})
        self.assertEqual(names, {"i-3", "i-4"})

    async def test_a_stream_is_resumed_in_the_regions(self):
        await self.limit(["west", "north"])
        for server in self.servers[2:]:
            server.answer = make_stream_answer(2, cut=True)
        got = await self.fetch("r1", "/resumed/")
        self.assertFalse(any(server.seen for server in self.servers[:2]))
        self.servers[3].answer = make_stream_answer(EVENTS)
        got = await self.fetch("r2", "/resumed/")
        whole = b"".join(map(make_event, range(1, EVENTS + 1)))
        self.assertEqual((got.is_complete, got.body), (True, whole))
        self.assertFalse(any(server.seen for server in self.servers[:2]))

    async def test_a_split_route_leads_to_the_service_that_is_in_the_regions(self):
        other = ServerStandin("i-5")
        await other.start()
        self.addAsyncCleanup(other.close)
        entry = other.make_entry("new", zone="z3")
        self.store.put("servers/i-5", entry)
        split = [{"service": "llm", "weight": 9}, {"service": "new", "weight": 1}]
        route = make_route("lookup", "idempotent", split=split)
        route["allowed_regions"] = ["north"]
        self.store.drop("servers/i-4")
        services = [{"name": "llm"}, {"name": "new"}]
        self.store.put("op/config", make_document(route, services=services))
        await self.wait_in_force(self.node)
        statuses, names = await self.find_served_by()
        self.assertEqual((statuses, names), ({200}, set()))
        self.assertEqual(len(other.seen), REQUESTS)
