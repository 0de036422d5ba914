"""Tests of signals to node processes."""

import asyncio
import json
import pathlib
import tempfile
import unittest

from tests.platform import fakes
from tests.platform.fakes import StoreStandin
from tests.soak.processes import FRONT_PORT, NodeProcess

WAIT_S = 10
BOUNDS = {"grace_s": 4, "ratio": 0.2, "extra": 30, "cold_excess": 1.0, "cold_slack": 0}


class NodeProcessCase(unittest.IsolatedAsyncioTestCase):
    """Starts a node process and a store; base class of the tests."""

    async def asyncSetUp(self):
        self.store = StoreStandin()
        self.store.start()
        self.addAsyncCleanup(self.store.close)
        self.store.put("op/config", fakes.make_document())
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        host = fakes.allocate_loopback_address()
        self.node = NodeProcess(
            "node-1", host, "z1", self.store.address, self.folder, BOUNDS
        )
        await self.node.start([host])
        self.addAsyncCleanup(self.end)
        await self.wait_for("started")

    async def end(self):
        self.node.kill()
        await self.node.wait()

    async def wait_for(self, text):
        async with asyncio.timeout(WAIT_S):
            while not (found := [one for one in self.lines() if text in str(one)]):
                await asyncio.sleep(0.02)
        return found[0]

    def lines(self):
        text = (self.folder / "node-1.log").read_text()
        return [json.loads(line) for line in text.splitlines() if line.endswith("}")]


class NodeProcessTest(NodeProcessCase):
    """A node reloads its settings on SIGHUP and exits on SIGTERM."""

    async def test_sighup_reloads_the_settings(self):
        self.node.reload()
        line = await self.wait_for("settings-reloaded")
        self.assertIn("SIGHUP", line["detail"])
        self.assertTrue(self.node.is_running)

    async def test_sigterm_exits_with_0(self):
        self.node.terminate()
        async with asyncio.timeout(WAIT_S):
            self.assertEqual(await self.node.wait(), 0)
        self.assertTrue(await self.wait_for("drain-ended"))


class StartingProcessTest(NodeProcessCase):
    """Clients that come while a node starts are served, not refused."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.node.kill()
        await self.node.wait()
        await self.node.start([self.node.host])

    async def test_a_request_that_comes_during_the_start_is_answered(self):
        async with asyncio.timeout(WAIT_S):
            while True:
                try:
                    reader, writer = await asyncio.open_connection(
                        self.node.host, FRONT_PORT
                    )
                    break
                except ConnectionRefusedError:
                    await asyncio.sleep(0)
            self.assertFalse(self.node.has_started)
            writer.write(b"GET /none HTTP/1.1\r\nHost: nobody.example\r\n\r\n")
            self.assertIn(b" 404 ", await reader.readline())
        writer.close()
