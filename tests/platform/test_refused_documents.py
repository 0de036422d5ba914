"""Tests of nodes whose operator writes a document that they can't put in force."""

from unittest import mock

from peridotcove import assembly
from peridotcove.exceptions import SettingError
from peridotcove.models import LifecycleStatus
from tests.platform.fakes import make_document, make_route
from tests.platform.test_platform_node import PlatformNodeBase

# More than a part of the configuration holds, in a document that the store accepts.
TOO_MANY_KEYS = [f"key-{number:016}" for number in range(16_000)]
find_faults = assembly.find_faults


def refuse_route(configuration, path, before=None):
    """Yield the faults of a configuration; a route named ``refused`` is one."""
    yield from find_faults(configuration, path, before)
    if "refused" in configuration.host_route_by_name:
        yield SettingError(f"{path}.host_routes.refused", "refused", "others")


class RefusedDocumentTest(PlatformNodeBase):
    """Two servers in service, and a document that all nodes refuse."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        patch = mock.patch.object(assembly, "find_faults", refuse_route)
        patch.start()
        self.addCleanup(patch.stop)

    def publish_version(self, version, route="booking", keys=("key-of-a-customer",)):
        tenants = [{"name": "bakery", "api_keys": list(keys), "priority": 1}]
        routes = [make_route(route, "idempotent")]
        document = make_document(*routes, version=version, tenants=tenants)
        self.store.put("op/config", document)

    def find_status(self, node, name):
        engine = node.fleet.configuration.engine_by_name.get(name)
        return engine and engine.status

    async def check_leaving_is_seen(self, nodes):
        server = self.servers[0]
        entry = server.make_entry("llm", state="draining")
        self.store.put(f"servers/{server.name}", entry)
        for node in nodes:
            await self.wait_for(
                lambda node=node: (
                    self.find_status(node, server.name) is LifecycleStatus.LEAVING
                )
            )

    # Entries of servers are part of a revision, and a refused one hid all later ones.
    async def test_a_refused_document_hides_no_leaving_server(self):
        peer = await self.start((self.node.name,))
        await self.wait_for(peer.control.revisions.ready)
        self.publish_version(8, "refused")
        await self.wait_for(lambda: self.node.control.revisions.refused_revision)
        await self.check_leaving_is_seen([self.node, peer])
        self.assertIn("booking", self.node.fleet.configuration.host_route_by_name)

    async def test_a_refused_document_hides_no_server_that_is_gone_or_new(self):
        self.publish_version(8, "refused")
        await self.wait_for(lambda: self.node.control.revisions.refused_revision)
        gone, other = self.servers
        self.store.put("servers/i-3", gone.make_entry("llm", addr="127.0.0.1:9"))
        self.store.drop(f"servers/{gone.name}")
        await self.wait_for(lambda: self.find_status(self.node, "i-3"))
        self.assertIsNone(self.find_status(self.node, gone.name))

    async def test_a_document_that_has_no_parts_hides_no_leaving_server(self):
        self.publish_version(8, keys=TOO_MANY_KEYS)
        await self.check_leaving_is_seen([self.node])

    async def test_a_document_after_a_refused_one_is_in_force(self):
        self.publish_version(8, "refused")
        await self.wait_for(lambda: self.node.control.revisions.refused_revision)
        await self.check_leaving_is_seen([self.node])
        self.publish_version(9, "later")
        await self.wait_for(
            lambda: "later" in self.node.fleet.configuration.host_route_by_name
        )
        self.assertEqual(self.node.control.revisions.refused_revision, 0)

    async def test_a_refused_document_is_not_read_over_and_over(self):
        self.publish_version(8, "refused")
        await self.wait_for(lambda: self.node.control.revisions.refused_revision)
        await self.check_leaving_is_seen([self.node])
        calls = self.store.calls
        await self.wait_calls()
        self.assertLess(self.store.calls - calls, 5)

    async def wait_calls(self):
        """Wait as long as ten calls that don't wait for a change take."""
        started_ms = self.node.clock.now()
        await self.wait_for(lambda: self.node.clock.now() - started_ms > 2_000)
