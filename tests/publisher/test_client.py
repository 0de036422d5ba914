"""Tests of the platform client and its watches against the platform stand-in."""

import asyncio
import random
import socket

from peridotcove.clock import Clock
from peridotcove.control_plane import ControlPlane
from peridotcove.exceptions import PlatformDown
from peridotcove.models import Instance
from peridotcove.publisher.client import PlatformClient, parse_instances, parse_manifest
from peridotcove.publisher.watch import watch_configuration, watch_instances
from peridotcove.settings import Platform
from peridotcove.standins.platform import PlatformStandin
from tests.standins.case import StandinCase

NODE = Instance("n-1", "node", "127.0.0.1", 1, "a")
OTHER_INSTANCE = {
    "name": "n-2",
    "kind": "node",
    "host": "127.0.0.1",
    "port": 2,
    "zone": "a",
}
INVALID_BODIES = (
    b"",
    b"[]",
    b"{}",
    b'{"revision": 1, "parts": [1]}',
    b'{"version": "x"}',
)


class TestPlatformClient(StandinCase):
    """Reads, watches, failures and malformed responses."""

    def make_standin(self):
        return PlatformStandin(
            {"revision": 1, "customers": {"one": {}}}, [OTHER_INSTANCE]
        )

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.client = self.make_client(self.standin.url)

    def make_client(self, url):
        client = PlatformClient(Platform(url, url), "n-1")
        self.addCleanup(client.close)
        return client

    async def test_reads_manifest_parts_and_instances(self):
        manifest = await self.client.read_manifest(0, 0)
        self.assertEqual(
            (manifest.revision, *manifest.descriptor_by_name), (1, "customers")
        )
        self.assertIsNone(await self.client.read_manifest(1, 10))
        self.assertEqual(
            await self.client.read_part("customers"), b'{"customers": {"one": {}}}'
        )
        self.assertIsNone(await self.client.read_part("other"))
        instance_list = await self.client.read_instances(0, 0)
        self.assertEqual(
            [instance.name for instance in instance_list.instances], ["n-2"]
        )
        self.assertIsNone(await self.client.read_instances(instance_list.version, 10))
        self.assertEqual(self.standin.reads_by_node, {"n-1": self.client.calls})

    async def test_failures_raise_platform_down(self):
        self.standin.set_mode("down")
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            unused_url = f"http://127.0.0.1:{unused.getsockname()[1]}"
            for client in (self.client, self.make_client(unused_url)):
                for read in (
                    client.read_manifest(0, 0),
                    client.read_part("customers"),
                    client.read_instances(0, 0),
                ):
                    with self.assertRaises(PlatformDown):
                        await read

    async def test_watched_change_comes_into_force(self):
        control = ControlPlane(NODE, "r", Clock(), random.Random(1))
        membership = control.membership
        clock, rng = Clock(), random.Random(1)
        sent = []
        jobs = [
            watch_configuration(self.client, control.reader, sent.extend),
            watch_instances(self.client, clock, rng, membership.set_instances),
        ]
        tasks = [asyncio.create_task(job) for job in jobs]
        for revision in (2, 3):
            customers = {f"c{revision}": {}}
            self.standin.set_configuration(
                {"revision": revision, "customers": customers}
            )
            while control.revisions.revision < revision:
                await asyncio.sleep(0.01)
            current = control.revisions.current()
            self.assertEqual(list(current.customer_by_name), list(customers))
        self.assertEqual(membership.listed_names(), {"n-2"})
        self.assertEqual(sent, [])
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def test_malformed_responses(self):
        for body in INVALID_BODIES:
            for parse in (parse_manifest, parse_instances):
                with self.subTest(body=body, parse=parse.__name__):
                    self.assertRaises(PlatformDown, parse, body)
        body = b"""{"version": 3, "instances": [{"name": "x"}, 7,
            {"name": "n", "kind": "node", "host": "h", "port": 1, "zone": "z",
             "rack": "new field"}]}"""
        self.assertEqual(
            [instance.name for instance in parse_instances(body).instances], ["n"]
        )
