"""The soak's small fleet: nodes, servers, the store, the ways between, and clients."""

import asyncio
import itertools
import random

from attrs import frozen

from tests.platform import fakes
from tests.platform.clients import Client
from tests.platform.fakes import StoreStandin
from tests.soak.processes import FRONT_PORT, NodeProcess
from tests.soak.promises import NOT_RUN, PromiseChecker
from tests.soak.proxy import Proxy
from tests.soak.servers import SoakServer, body_of

SEEDS_TOLD = 3
CLIENTS_A_NODE = 2
PAUSE_S = 0.08
GIVE_UP_SHARE = 0.03
GIVE_UP_S = 0.05
READY_S = 20.0
RECOVER_S = 12.0
GRACE_S = 4
# Time in s from the end of the grace to the end of the process, on a busy machine.
END_SLACK_S = 2
BUDGET = {"ratio": 0.2, "extra": 30}
TARGET_BY_KIND = {"booking": "/book/x", "lookup": "/look/x", "chat": "/chat/x"}
# A node that does not know a version's route answers that it has none.
NO_ROUTE = 404
OK = 200


@frozen
class Way:
    """A node with its way to the store."""

    node: NodeProcess
    store: Proxy


class SoakFleet:
    """All that one run of the soak needs.

    Parameters
    ----------
    nodes, servers : int
        How many.
    folder : pathlib.Path
        Where settings and logs of the nodes go.
    rng : random.Random
        Draws what clients ask and when they give up.
    """

    def __init__(self, nodes, servers, folder, rng):
        self.rng = rng
        self.store = StoreStandin()
        self.promises = PromiseChecker(BUDGET["ratio"], BUDGET["extra"])
        self.version = 0
        self.store_links = []
        self.servers = {}
        self.staying = set()
        self.proxy_by_server = {}
        self._counts = nodes, servers
        self._folder = folder
        self._numbers = itertools.count(1)
        self._clients = []

    async def start(self):
        """Start everything and wait until all nodes serve."""
        nodes, servers = self._counts
        self.store.start()
        for _ in range(servers):
            await self.add_server()
        self.publish_configuration()
        for number in range(nodes):
            proxy = Proxy(self.store.address)
            await proxy.start()
            zone = f"z{number % 2 + 1}"
            bounds = {"grace_s": GRACE_S} | BUDGET
            label = f"node-{number + 1}"
            node = NodeProcess(
                label,
                fakes.allocate_loopback_address(),
                zone,
                proxy.address,
                self._folder,
                bounds,
            )
            self.store_links.append(Way(node, proxy))
        await asyncio.gather(*[self.start_node(way.node) for way in self.store_links])
        async with asyncio.timeout(READY_S):
            for way in self.store_links:
                while await self.ask(way.node, "lookup") != OK:
                    await asyncio.sleep(PAUSE_S)
        for way in self.store_links:
            for _ in range(CLIENTS_A_NODE):
                client = self._play_client(way.node, random.Random(self.rng.random()))
                self._clients.append(asyncio.create_task(client))

    async def start_node(self, node):
        """Start a node, which is told of a few others, dead or alive."""
        hosts = [way.node.host for way in self.store_links]
        count = min(SEEDS_TOLD, len(hosts))
        await node.start(self.rng.sample(hosts, count))

    async def add_server(self):
        """Start a server and let the store name it."""
        name = f"i-{next(self._numbers)}"
        server = SoakServer(name, self.promises, random.Random(self.rng.random()))
        await server.start()
        proxy = Proxy(server.address)
        await proxy.start()
        self.staying.add(name)
        self.servers[name] = server
        self.proxy_by_server[name] = proxy
        self.store.put(f"servers/{name}", self._entry(name, "ready"))

    async def remove_server(self, name, linger_s):
        """Let a server leave, and end it after a while."""
        self.staying.discard(name)
        self.promises.leave(name)
        self.store.put(f"servers/{name}", self._entry(name, "draining"))
        await asyncio.sleep(linger_s)
        self.store.drop(f"servers/{name}")
        await self.servers.pop(name).close()
        await self.proxy_by_server.pop(name).close()

    def _entry(self, name, state):
        address = self.proxy_by_server[name].address
        return self.servers[name].make_entry("llm", addr=address, state=state)

    def publish_configuration(self):
        """Publish the next version; each has a route more than the one before."""
        self.version += 1
        routes = [
            fakes.make_route("book", "non_idempotent"),
            fakes.make_route("look", "idempotent"),
            fakes.make_route("chat", "stream", resumable=True),
        ]
        for number in range(1, self.version + 1):
            routes.append(fakes.make_route(f"v{number}", "idempotent"))
        self.store.put("op/config", fakes.make_document(*routes, version=self.version))
        self.promises.record_publication(self.version)

    async def ask(self, node, kind):
        """Ask a node on a new connection and return the status."""
        try:
            client = await Client.connect(node.host, FRONT_PORT)
        except OSError:
            return 0
        status = await self._ask(client, node, kind, random.Random(0))
        client.close()
        return status

    async def _play_client(self, node, rng):
        client = None
        while True:
            await asyncio.sleep(rng.uniform(0.5, 1.5) * PAUSE_S)
            try:
                if client is None:
                    client = await Client.connect(node.host, FRONT_PORT)
                kind = rng.choice(("booking", "lookup", "lookup", "chat", "version"))
                if not await self._ask(client, node, kind, rng):
                    client = None
            except (OSError, TimeoutError):
                client = None

    async def _ask(self, client, node, kind, rng):
        request_id = f"{node.label}-{node.incarnation}-{next(self._numbers)}"
        incarnation = node.incarnation
        version = self.version
        target = TARGET_BY_KIND.get(kind, f"/v{version}/")
        self.promises.send(request_id, kind, node.label)
        client.send(request_id, target)
        if rng.random() < GIVE_UP_SHARE:
            await asyncio.sleep(rng.random() * GIVE_UP_S)
            client.close()
            return 0
        try:
            got = await client.read()
        except TimeoutError:
            client.close()
            self.promises.answer(request_id, 0)
            return 0
        self.promises.answer(request_id, got.status)
        if got.status == OK and got.is_complete:
            self.promises.check_answer(
                request_id, body_of(request_id, target), got.body
            )
        if kind == "version" and got.status and got.status not in NOT_RUN:
            known = got.status != NO_ROUTE
            self.promises.check_version(
                request_id, node.label, incarnation, version, known
            )
        if not got.is_complete or got.headers.get("connection") == "close":
            client.close()
            return 0
        return got.status

    async def check_recovery(self):
        """Check that every node serves every kind soon after all faults are over."""
        loop = asyncio.get_running_loop()
        end = loop.time() + RECOVER_S
        for way in self.store_links:
            for kind in TARGET_BY_KIND:
                status = await self.ask(way.node, kind)
                while status != OK and loop.time() < end:
                    await asyncio.sleep(PAUSE_S)
                    status = await self.ask(way.node, kind)
                self.promises.check_served(way.node.label, kind, status)

    async def close(self):
        """End all processes that were started."""
        for client in self._clients:
            client.cancel()
        for way in self.store_links:
            node = way.node
            if not node.is_running:
                continue
            if node.stopped:
                node.go_on()
            node.terminate()
        for way in self.store_links:
            if way.node.is_running:
                await self.end_node(way.node)
            await way.store.close()
        for name, server in self.servers.items():
            await server.close()
            await self.proxy_by_server[name].close()
        await self.store.close()

    async def end_node(self, node, codes=(0,)):
        """Check that a node that was asked to end does, with an exit code.

        Parameters
        ----------
        node : NodeProcess
            The node.
        codes : tuple of int
            Exit codes that are allowed.
        """
        try:
            async with asyncio.timeout(GRACE_S + END_SLACK_S):
                self.promises.check_end(node.label, await node.wait(), codes)
        except TimeoutError:
            self.promises.check_end(node.label, None, codes)
            node.kill()
            await node.wait()
