"""Tests of readers and nodes whose store comes back from an older backup."""

import asyncio
import random
import unittest
from unittest import mock

from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from peridotcove.clock import Clock
from peridotcove.exceptions import PlatformDown
from peridotcove.nodes.configuration_messages import AskConfiguration
from peridotcove.nodes.messages import decode, encode
from peridotcove.platform.configuration_client import StoreConfigurationClient
from peridotcove.platform.settings import StoreSettings
from peridotcove.revision_numbers import get_epoch
from peridotcove.revisions import Revisions
from tests.fakes import count_history
from tests.platform.fakes import MemoryHttp, StoreStandin, make_document, make_route
from tests.platform.test_platform_node import PlatformNodeBase

SETTINGS = StoreSettings("", {"z1": "r"}, 2.0, 0.2, 50)
NODES = ("n1", "n2", "n3")
SERVERS = ("s1", "s2", "s3")
STEPS = 30
LARGEST_EXACT_VERSION = 2**53 - 1
SERVER = {
    "service": "llm",
    "addr": "127.0.0.1:8000",
    "zone": "z1",
    "slots": 4,
    "state": "ready",
}


def make_client(http):
    with mock.patch("peridotcove.platform.store.CurlClient", lambda **kwargs: http):
        return StoreConfigurationClient(SETTINGS)


class StoreConfigurationClientTest(unittest.IsolatedAsyncioTestCase):
    """Revisions of a reader: the newest version, of the newest epoch."""

    async def asyncSetUp(self):
        self.store = StoreStandin()
        self.client = make_client(MemoryHttp(self.store))

    def put_version(self, version):
        route = make_route(f"v{version}", "idempotent")
        self.store.put("op/config", make_document(route, version=version))

    def make_routes(self, manifest):
        revisions = Revisions(Clock(), mock.Mock())
        revisions.apply_manifest(manifest, manifest.data_by_name)
        return list(revisions.current().host_route_by_name)

    async def test_the_newest_version_stays_in_use_with_the_restored_entries(self):
        self.put_version(5)
        copy = self.store.copy()
        self.put_version(7)
        lost = await self.client.read_manifest(0, 0)
        self.store.restore(copy)
        with self.assertLogs("peridotcove.store", "WARNING") as logged:
            found = await self.client.read_manifest(lost.revision, 0)
        self.assertIn("version 5 of the operator's document", logged.output[-1])
        self.assertGreater(found.revision, lost.revision)
        self.assertEqual(self.make_routes(found), ["v7"])

    async def test_a_document_that_is_gone_stays_in_use(self):
        copy = self.store.copy()
        self.put_version(7)
        lost = await self.client.read_manifest(0, 0)
        self.store.restore(copy)
        found = await self.client.read_manifest(lost.revision, 0)
        self.assertEqual(self.make_routes(found), ["v7"])

    async def test_a_version_that_is_no_whole_number_is_an_error(self):
        for version in ("8", -1, None, 1.5, True):
            with self.subTest(version=version):
                self.put_version(version)
                with self.assertRaises(PlatformDown):
                    await self.client.read_manifest(0, 0)

    # A document that can't be read stopped the reads of all other keys as well.
    async def test_entries_are_read_beside_a_document_that_is_unreadable(self):
        self.put_version(7)
        manifest = await self.client.read_manifest(0, 0)
        revisions = Revisions(Clock(), mock.Mock())
        revisions.apply_manifest(manifest, manifest.data_by_name)
        for data in (
            b"\xff",
            b"[" * 100_000,
            b'{"version": 8, "more": ' + b"[" * 900 + b"]" * 900 + b"}",
            {"version": "8"},
            {"version": 8},
            {"version": 8, "services": 7, "routes": []},
            {"version": 8, "services": [], "routes": {"a": 1}, "tenants": 5},
        ):
            with self.subTest(data=str(data)[:40]):
                self.store.put("op/config", data)
                name = f"s{self.store.revision}"
                self.store.put(f"servers/{name}", SERVER)
                with self.assertLogs("peridotcove.store", "ERROR") as logged:
                    manifest = await self.client.read_manifest(revisions.revision, 0)
                self.assertIn("version 7 stays in use", logged.output[-1])
                revisions.apply_manifest(manifest, manifest.data_by_name)
                self.assertEqual(list(revisions.current().host_route_by_name), ["v7"])
                self.assertEqual(list(revisions.current().engine_by_name), [name])
        self.put_version(9)
        manifest = await self.client.read_manifest(revisions.revision, 0)
        revisions.apply_manifest(manifest, manifest.data_by_name)
        self.assertEqual(list(revisions.current().host_route_by_name), ["v9"])

    # A limit on the revision number refused every version from 462 on for good.
    async def test_every_version_that_json_carries_exactly_is_put_in_force(self):
        revisions = Revisions(Clock(), mock.Mock())
        for version in (0, 460, 461, 462, 4_000, 10**7, LARGEST_EXACT_VERSION):
            with self.subTest(version=version):
                self.put_version(version)
                manifest = await self.client.read_manifest(revisions.revision, 0)
                revisions.apply_manifest(manifest, manifest.data_by_name)
                self.assertEqual(revisions.refused_revision, 0)
                routes = list(revisions.current().host_route_by_name)
                self.assertEqual(routes, [f"v{version}"])

    # Revision numbers past 64 bits stand in each frame and in the descriptors of parts.
    async def test_a_peer_takes_a_version_past_64_bits_over(self):
        self.put_version(LARGEST_EXACT_VERSION)
        manifest = await self.client.read_manifest(0, 0)
        reader = Revisions(Clock(), mock.Mock())
        peer = Revisions(Clock(), random.Random(1))
        reader.apply_manifest(manifest, manifest.data_by_name)
        questions = [AskConfiguration(0)]
        while questions:
            answers = reader.receive("n2", questions.pop())
            for answer in answers:
                message, revision = decode(encode(answer.message, reader.revision))
                self.assertEqual(revision, reader.revision)
                questions += [one.message for one in peer.receive("n1", message)]
        self.assertEqual(peer.revision, manifest.revision)
        self.assertEqual(peer.current(), reader.current())

    async def test_an_accepted_document_is_not_blamed_for_a_refused_entry(self):
        self.put_version(6)
        await self.client.read_manifest(0, 0)
        self.put_version(7)
        found = await self.client.read_manifest(0, 0)
        self.store.put("servers/s1", SERVER)
        refused = await self.client.read_manifest(found.revision, 0)
        self.store.put("servers/s2", SERVER)
        later = await self.client.read_manifest(found.revision, 0, refused.revision)
        self.assertEqual(self.make_routes(later), ["v7"])

    async def test_a_store_that_counts_past_10_digits_is_read(self):
        for revision in (10**10 - 1, 10**10, 2**53 - 3):
            with self.subTest(revision=revision):
                self.store.revision = revision - 1
                self.store.history.clear()
                self.put_version(7)
                found = await make_client(MemoryHttp(self.store)).read_manifest(0, 0)
                self.assertEqual(self.make_routes(found), ["v7"])

    async def test_numbers_out_of_range_are_an_error(self):
        self.put_version(7)
        self.store.epoch = 10**7
        with self.assertRaises(PlatformDown):
            await self.client.read_manifest(0, 0)


class RestoredStoreNodeTest(PlatformNodeBase):
    """What was acknowledged before and after the loss is in force and stays so."""

    def publish_version(self, version, *routes, key="key-of-a-customer"):
        tenants = [{"name": "bakery", "api_keys": [key], "priority": 1}]
        kinds = [make_route(name, "idempotent") for name in routes]
        document = make_document(*kinds, version=version, tenants=tenants)
        self.store.put("op/config", document)

    async def wait_for_status(self, target, status, node=None, **fields):
        async with asyncio.timeout(5):
            while True:
                client = await self.connect(node)
                if (await client.fetch("r1", target, **fields)).status == status:
                    return
                await asyncio.sleep(0.02)

    async def lose_versions(self):
        """Lose two versions: one adds a route, one takes a key away."""
        self.publish_version(8, "old")
        await self.wait_for_status("/old/", 200)
        copy = self.store.copy()
        self.publish_version(9, "old", "lost")
        for _ in range(20):
            self.store.put("servers/other", {})
        self.publish_version(10, "old", "lost", key="new-key")
        await self.wait_for_status("/lost/", 200, Api_Key="new-key")
        self.store.restore(copy)

    async def test_a_change_after_the_loss_is_in_force(self):
        await self.lose_versions()
        self.publish_version(10, "old", "lost", key="new-key")
        self.publish_version(11, "old", "lost", "added", key="new-key")
        await self.wait_for_status("/added/", 200, Api_Key="new-key")

    async def test_an_older_version_does_not_come_back(self):
        await self.lose_versions()
        for number in range(30):
            self.store.put(f"servers/{number}", {})
        self.store.put(
            "servers/i-3", self.servers[0].make_entry("llm", addr="127.0.0.1:1")
        )
        self.store.compacted_revision = self.store.revision
        await self.wait_for(
            lambda: "i-3" in self.node.fleet.configuration.engine_by_name
        )
        await self.wait_for_status("/lost/", 200, Api_Key="new-key")
        await self.wait_for_status("/old/", 401)

    async def test_a_node_that_starts_after_the_loss_learns_the_lost_version(self):
        await self.lose_versions()
        fresh = await self.start((self.node.name,))
        await self.wait_for(fresh.control.revisions.ready)
        await self.wait_for_status("/lost/", 200, fresh, Api_Key="new-key")
        await self.wait_for_status("/old/", 401, fresh)


class RestoredEntriesTest(PlatformNodeBase):
    """Servers whose entries the copy has as they were, or does not have."""

    async def check_only_used(self, server):
        for one in self.servers:
            one.seen.clear()
        for number in range(20):
            got = await self.fetch(f"r{number}", "/booking/")
            self.assertEqual(got.status, 200)
        counts = {one.name: len(one.seen) for one in self.servers if one.seen}
        self.assertEqual(counts, {server.name: 20})

    async def wait_for_epoch(self, epoch):
        fleet = self.node.fleet
        await self.wait_for(lambda: get_epoch(fleet.configuration.revision) == epoch)

    async def test_servers_that_left_in_the_lost_seconds_get_no_work(self):
        first, second = self.servers
        for state in ("draining", None):
            with self.subTest(state=state):
                self.store.put("servers/i-2", second.make_entry("llm", born=5))
                await self.wait_in_force(self.node)
                copy = self.store.copy()
                if state is None:
                    self.store.drop("servers/i-2")
                else:
                    entry = second.make_entry("llm", state=state, born=5)
                    self.store.put("servers/i-2", entry)
                await self.wait_in_force(self.node)
                self.store.restore(copy)
                await self.wait_for_epoch(self.store.epoch)
                await self.check_only_used(first)
                self.store.put("servers/i-2", second.make_entry("llm", born=6))
                await self.wait_in_force(self.node)

    async def test_servers_that_registered_in_the_lost_seconds_get_work(self):
        first, second = self.servers
        self.store.drop("servers/i-2")
        self.store.drop("servers/i-1")
        copy = self.store.copy()
        self.store.put("servers/i-2", second.make_entry("llm", born=5))
        await self.wait_in_force(self.node)
        self.store.restore(copy)
        await self.wait_for_epoch(self.store.epoch)
        await self.check_only_used(second)


class RestoredStoreHistories(RuleBasedStateMachine):
    """Three nodes, one store that is lost and restored, answers in any order."""

    @initialize()
    def start(self):
        count_history("versions never go back, all agree after the store's return")
        self.store = StoreStandin()
        self.version = 0
        self.copies = []
        self.http_by_node = {}
        self.client_by_node = {}
        self.revisions_by_node = {}
        self.highest_by_node = {}
        self.write()
        for node in NODES:
            self.restart(node)

    @rule()
    def write(self):
        """Write a version that adds one route; its name is the version."""
        self.version += 1
        self.write_again()

    @rule()
    def write_again(self):
        """Write the newest version, as the operator does after a loss."""
        route = make_route(f"v{self.version}", "idempotent")
        self.store.put("op/config", make_document(route, version=self.version))

    @rule(name=strategies.sampled_from(SERVERS), port=strategies.integers(1, 3))
    def register(self, name, port):
        entry = {"service": "llm", "zone": "z1", "slots": 4, "state": "ready"}
        self.store.put(
            f"servers/{name}", {**entry, "addr": f"10.0.0.{name[1:]}:{port}"}
        )

    @rule(name=strategies.sampled_from(SERVERS))
    def leave(self, name):
        if f"servers/{name}" in self.store.item_by_key:
            self.store.drop(f"servers/{name}")

    @rule()
    def copy(self):
        self.copies.append(self.store.copy())

    @rule(data=strategies.data())
    def restore(self, data):
        if self.copies:
            index = data.draw(strategies.integers(0, len(self.copies) - 1))
            self.store.restore(self.copies[index])
            del self.copies[index:]

    @rule(node=strategies.sampled_from(NODES), is_down=strategies.booleans())
    def cut(self, node, is_down):
        self.http_by_node[node].is_down = is_down

    @rule(node=strategies.sampled_from(NODES))
    def restart(self, node):
        self.http_by_node[node] = MemoryHttp(self.store)
        self.client_by_node[node] = make_client(self.http_by_node[node])
        self.revisions_by_node[node] = Revisions(Clock(), mock.Mock())
        self.highest_by_node.pop(node, None)

    @rule(node=strategies.sampled_from(NODES))
    def read(self, node):
        revisions = self.revisions_by_node[node]
        client = self.client_by_node[node]
        try:
            manifest = asyncio.run(client.read_manifest(revisions.revision, 0))
        except PlatformDown:
            return
        if manifest is not None:
            revisions.apply_manifest(manifest, manifest.data_by_name)

    @rule(
        node=strategies.sampled_from(NODES),
        peer=strategies.sampled_from(NODES),
    )
    def fetch_from_peer(self, node, peer):
        revisions, source = self.revisions_by_node[node], self.revisions_by_node[peer]
        if source.revision <= revisions.revision:
            return
        request = AskConfiguration(revisions.revision)
        pending = source.receive(node, request)
        while pending:
            replies = [
                reply
                for item in pending
                for reply in revisions.receive(peer, item.message)
            ]
            pending = [
                answer
                for item in replies
                if item.peer == peer
                for answer in source.receive(node, item.message)
            ]

    @invariant()
    def versions_never_go_back(self):
        for node in NODES if hasattr(self, "store") else ():
            current = self.revisions_by_node[node].current()
            versions = [int(name[1:]) for name in current.host_route_by_name]
            highest = self.highest_by_node.get(node, 0)
            assert versions == [] or versions[0] >= highest, (node, versions, highest)
            self.highest_by_node[node] = max([highest, *versions])

    def teardown(self):
        if not hasattr(self, "store"):
            return
        self.write_again()
        for node in NODES:
            self.cut(node, False)
            self.read(node)
        for node in NODES:
            for peer in NODES:
                self.fetch_from_peer(node, peer)
        self.versions_never_go_back()
        servers = {
            key.removeprefix("servers/")
            for key in self.store.item_by_key
            if key.startswith("servers/")
        }
        for node in NODES:
            current = self.revisions_by_node[node].current()
            assert set(current.host_route_by_name) == {f"v{self.version}"}, node
            assert set(current.engine_by_name) == servers, node


RestoredStoreHistories.TestCase.settings = settings(stateful_step_count=STEPS)
RestoredStoreHistoriesTest = RestoredStoreHistories.TestCase
