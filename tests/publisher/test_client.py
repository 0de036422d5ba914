"""Contract tests of the platform's interface, over HTTP on loopback."""

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
LISTED = {"name": "n-2", "kind": "node", "host": "127.0.0.1", "port": 2, "zone": "a"}
WRONG = (b"", b"[]", b"{}", b'{"revision": 1, "parts": [1]}', b'{"version": "x"}')


class ClientTest(StandinCase):
    """The client against the stand-in."""

    def make_standin(self):
        return PlatformStandin({"revision": 1, "customers": {"one": {}}}, [LISTED])

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.client = self.make_client(self.standin.url)

    def make_client(self, url):
        client = PlatformClient(Platform(url, url), "n-1")
        self.addCleanup(client.close)
        return client

    async def test_reads_and_watches(self):
        manifest = await self.client.read_manifest(0, 0)
        self.assertEqual(
            (manifest.revision, *manifest.descriptor_by_name), (1, "customers")
        )
        self.assertIsNone(await self.client.read_manifest(1, 10))
        self.assertEqual(
            await self.client.read_part("customers"), b'{"customers": {"one": {}}}'
        )
        self.assertIsNone(await self.client.read_part("other"))
        found = await self.client.read_instances(0, 0)
        self.assertEqual([one.name for one in found.instances], ["n-2"])
        self.assertIsNone(await self.client.read_instances(found.version, 10))
        self.assertEqual(self.standin.reads_by_node, {"n-1": self.client.calls})

    async def test_troubles_are_one_error(self):
        self.standin.set_mode("down")
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            nowhere = f"http://127.0.0.1:{unused.getsockname()[1]}"
            for client in (self.client, self.make_client(nowhere)):
                for read in (
                    client.read_manifest(0, 0),
                    client.read_part("customers"),
                    client.read_instances(0, 0),
                ):
                    with self.assertRaises(PlatformDown):
                        await read

    async def test_the_watch_brings_a_change_into_force(self):
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

    async def test_malformed_answers(self):
        for body in WRONG:
            for parse in (parse_manifest, parse_instances):
                with self.subTest(body=body, parse=parse.__name__):
                    self.assertRaises(PlatformDown, parse, body)
        body = b"""{"version": 3, "instances": [{"name": "x"}, 7,
            {"name": "n", "kind": "node", "host": "h", "port": 1, "zone": "z",
             "rack": "new field"}]}"""
        self.assertEqual([one.name for one in parse_instances(body).instances], ["n"])
