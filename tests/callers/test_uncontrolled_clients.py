"""Tests of clients that nobody controls, on the native interface.

See `tests.platform.test_uncontrolled_clients`, whose crowds these are.
"""

import asyncio
import hashlib
import json
import os
import pathlib
import signal
import socket
import sys
import tempfile
import unittest

from peridotcove.standins.engine import EngineOptions, EngineStandin
from peridotcove.standins.platform import PlatformStandin
from tests import crowds

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
KEY = "key-of-the-bakery"
CHAT = "/v1/chat/completions"
# Time after which a node counts as hanging.
WAIT_S = 60
RAM_MB = 152
AUTHORIZATION = f"Authorization: Bearer {KEY}"
BODY = json.dumps(
    {"model": "m", "messages": [{"role": "user", "content": "Which?"}], "max_tokens": 4}
).encode()
# Settings that state the limits of the machine.
MACHINE_SETTINGS = {"machine": {"memory_mb": RAM_MB}}


def allocate_port():
    """Return a port that was free a moment ago."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


class NativeClientsTest(unittest.IsolatedAsyncioTestCase):
    """Bodies that stop short of their end, at a node of the native interface."""

    COUNT = 60

    async def asyncSetUp(self):
        self.engine = EngineStandin(EngineOptions("m", token_ms=1.0))
        self.engine.start()
        self.addAsyncCleanup(self.engine.close)
        digest = hashlib.sha256(KEY.encode()).hexdigest()
        configuration = {
            "revision": 1,
            "zones": {"z1": {"region": "r1"}},
            "models": {"m": {}},
            "engines": {"e1": {"url": self.engine.url, "zone": "z1", "model": "m"}},
            "customers": {"bakery": {"key_digests": [digest]}},
        }
        instance = {"name": "e1", "kind": "engine", "port": self.engine.port}
        instance |= {"host": HOST, "zone": "z1", "state": "live"}
        platform = PlatformStandin(configuration, [instance])
        platform.start()
        self.addAsyncCleanup(platform.close)
        await self.start_process(platform.url)
        self.watch = crowds.ProcessWatch(self.process.pid)
        self.addAsyncCleanup(self.watch.close)
        self.crowd = crowds.Crowd(HOST, self.port)
        self.addAsyncCleanup(self.crowd.close)

    async def start_process(self, url):
        settings = {
            "node": "n1",
            "zone": "z1",
            "region": "r1",
            "secret": {"variable": "TEST_SECRET"},
            "platform": {"configuration_url": url, "instances_url": url},
        } | MACHINE_SETTINGS
        for name in ("callers", "nodes", "operators"):
            settings[name] = {"host": HOST, "port": allocate_port()}
        self.port = settings["callers"]["port"]
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        file = pathlib.Path(folder.name) / "node.json"
        file.write_text(json.dumps(settings))
        with (pathlib.Path(folder.name) / "log").open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "peridotcove", "node", str(file)),
                stdout=output,
                stderr=output,
                cwd=ROOT,
                env={"PATH": os.environ["PATH"], "TEST_SECRET": "s" * 32},
            )
        self.addAsyncCleanup(self.end)
        await self.check_ordinary_request()

    async def end(self):
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
        await self.process.wait()

    async def check_ordinary_request(self):
        """Check that a chat is answered; it is sent again as clients do."""
        length = f"Content-Length: {len(BODY)}"
        head = crowds.make_head(CHAT, length, "Connection: close", key=AUTHORIZATION)
        async with asyncio.timeout(WAIT_S):
            answer = b""
            while b" 200 " not in answer[:20]:
                try:
                    reader, writer = await asyncio.open_connection(HOST, self.port)
                    writer.write(head + BODY)
                    answer = await reader.read()
                    writer.close()
                except ConnectionError:
                    pass
                await asyncio.sleep(0.05)
        self.assertIn(b'"choices"', answer)

    async def check_limits(self):
        """Check what holds beside each crowd."""
        await self.check_ordinary_request()
        self.assertIsNone(self.process.returncode)
        self.assertLess(self.watch.peak_bytes, RAM_MB * crowds.MB)

    async def test_whole_bodies(self):
        parts = crowds.send_whole_body(CHAT, key=AUTHORIZATION)
        await self.crowd.send(self.COUNT, parts)
        await self.check_limits()

    async def test_large_chunks(self):
        parts = crowds.send_large_chunks(CHAT, key=AUTHORIZATION)
        await self.crowd.send(self.COUNT, parts)
        await self.check_limits()

    async def test_tiny_chunks(self):
        parts = crowds.send_tiny_chunks(CHAT, 5_000, key=AUTHORIZATION)
        await self.crowd.send(40, parts)
        await self.check_limits()
