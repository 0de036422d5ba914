"""Fleet of a soak run: nodes, servers, the store, proxies between them, and clients."""

import asyncio
import itertools
import random

from attrs import frozen

from tests.platform import fakes
from tests.platform.clients import Client
from tests.platform.fakes import StoreStandin
from tests.soak.processes import CURRENT_BUILD, FRONT_PORT, NodeProcess
from tests.soak.promises import (
    COLD_EXCESS,
    COLD_RATE,
    COLD_SLACK,
    NOT_RUN_STATUSES,
    PromiseChecker,
)
from tests.soak.proxy import Proxy
from tests.soak.servers import SoakServer, make_expected_body

SEED_NODES = 3
CLIENTS_PER_NODE = 2
REQUEST_INTERVAL_S = 0.08
ABORT_SHARE = 0.03
MAX_ABORT_DELAY_S = 0.05
READY_TIMEOUT_S = 20.0
RECOVERY_TIMEOUT_S = 12.0
SHUTDOWN_GRACE_S = 4
# Time in s after the grace period within which a process ends on a busy instance.
EXIT_SLACK_S = 2
RETRY_BUDGET = {"ratio": 0.2, "extra": 30}
TARGET_BY_KIND = {"booking": "/book/x", "lookup": "/look/x", "chat": "/chat/x"}
# Kinds of requests that a client draws from.
KINDS = ("booking", "lookup", "lookup", "chat", "version")
# Versions of the operator's document before the first one of a run: ordinary ones, and
# ones right before a limit that a number of versions had or might have.
FIRST_VERSIONS = (0, 455, 812, 1_840, 2**31 - 3, 2**53 - 200)
FIRST_STORE_REVISIONS = (1, 10**10 - 40, 10**10, 2**53 - 10_000)
# A node without the version that added a route answers the route with this status.
NO_ROUTE_STATUS = 404
OK = 200
ZONES = ("z1", "z2")
COLD_BOUNDS = {"cold_excess": COLD_EXCESS, "cold_slack": COLD_SLACK}
EVENT_END = b"\n\n"
# Requests by which a client takes a stream up, at most.
MAX_TAKE_UPS = 3


@frozen
class StoreLink:
    """A node and the proxy through which it reaches the store."""

    node: NodeProcess
    store_proxy: Proxy


class SoakFleet:
    """Nodes, servers, store, proxies and clients of one soak run.

    Parameters
    ----------
    nodes, servers : int
        Number of nodes and of servers.
    folder : pathlib.Path
        Folder for settings and logs of the nodes.
    rng : random.Random
        Draws the seed nodes of each start, and seeds the draws of clients and servers.
    build : Build
        Build of the program that the nodes run.

    Attributes
    ----------
    store : StoreStandin
        The store.
    promises : PromiseChecker
        Records what clients and servers observe.
    version : int
        Version of the configuration that was published last.
    store_links : list of StoreLink
        The nodes with their links to the store.
    server_by_name : dict
        Servers that run, by name.
    active_servers : set of str
        Names of the servers that are not draining.
    proxy_by_server : dict
        Proxies before the servers, by name of the server.
    software_versions : list of str
        Versions of the servers' software so far; new servers have the last one.
    taken_up : int
        Number of streams that clients took up again and got to their end.
    not_taken_up : int
        Number of streams that broke off and that no node went on with.
    evacuated_zones : set of str
        Zones that are evacuated now.
    """

    def __init__(self, nodes, servers, folder, rng, build=CURRENT_BUILD):
        self.rng = rng
        self.store = StoreStandin()
        self.promises = PromiseChecker(RETRY_BUDGET["ratio"], RETRY_BUDGET["extra"])
        self.version = 0
        self._first_version = rng.choice(FIRST_VERSIONS)
        self.store.revision = rng.choice(FIRST_STORE_REVISIONS)
        self.store_links = []
        self.server_by_name = {}
        self.active_servers = set()
        self.proxy_by_server = {}
        self.software_versions = ["v1"]
        self.taken_up = self.not_taken_up = 0
        self.evacuated_zones = set()
        self._sizes = nodes, servers
        self._folder = folder
        self._build = build
        self._id_numbers = itertools.count(1)
        self._clients = []

    async def start(self):
        """Start the fleet, wait until all nodes serve, and start the clients."""
        nodes, servers = self._sizes
        self.store.start()
        for _ in range(servers):
            await self.add_server()
        self.publish_configuration()
        for number in range(nodes):
            proxy = Proxy(self.store.address)
            await proxy.start()
            zone = f"z{number % 2 + 1}"
            bounds = {"grace_s": SHUTDOWN_GRACE_S} | RETRY_BUDGET | COLD_BOUNDS
            label = f"node-{number + 1}"
            node = NodeProcess(
                label,
                fakes.allocate_loopback_address(),
                zone,
                proxy.address,
                self._folder,
                bounds,
            )
            node.build = self._build
            self.store_links.append(StoreLink(node, proxy))
        await asyncio.gather(*[self.start_node(link.node) for link in self.store_links])
        async with asyncio.timeout(READY_TIMEOUT_S):
            for link in self.store_links:
                while await self.request_status(link.node, "lookup") != OK:
                    await asyncio.sleep(REQUEST_INTERVAL_S)
        for link in self.store_links:
            for _ in range(CLIENTS_PER_NODE):
                self.add_client(link.node, random.Random(self.rng.random()))

    def add_client(self, node, rng, kinds=KINDS):
        """Start a client that sends requests to a node until the fleet is closed."""
        client = self._run_client(node, rng, kinds)
        self._clients.append(asyncio.create_task(client))

    async def start_node(self, node):
        """Start a node; its seed nodes are drawn from all nodes, running or not."""
        hosts = [link.node.host for link in self.store_links]
        count = min(SEED_NODES, len(hosts))
        await node.start(self.rng.sample(hosts, count))

    async def add_server(self, cold_ms=0):
        """Start a server and register it in the store as ready.

        Parameters
        ----------
        cold_ms : int
            Time in ms for which it is cold.
        """
        name = f"i-{next(self._id_numbers)}"
        rng = random.Random(self.rng.random())
        version = self.software_versions[-1]
        zone = ZONES[len(self.server_by_name) % len(ZONES)]
        server = SoakServer(name, self.promises, rng, version, zone, cold_ms)
        await server.start()
        proxy = Proxy(server.address)
        await proxy.start()
        self.active_servers.add(name)
        self.server_by_name[name] = server
        self.proxy_by_server[name] = proxy
        self.store.put(f"servers/{name}", self._make_server_entry(name, "ready"))

    async def remove_server(self, name, removal_delay_s):
        """Mark a server as draining in the store; remove and stop it after a delay."""
        self.active_servers.discard(name)
        self.server_by_name[name].leaving_share = 1.0
        self.promises.record_server_leaving(name)
        self.store.put(f"servers/{name}", self._make_server_entry(name, "draining"))
        await asyncio.sleep(removal_delay_s)
        self.store.drop(f"servers/{name}")
        await self.server_by_name.pop(name).close()
        await self.proxy_by_server.pop(name).close()

    def evacuate(self, zone):
        """Ask for the evacuation of a zone."""
        self.evacuated_zones.add(zone)
        self.write_evacuations()
        self.promises.record_evacuation(zone)

    def end_evacuation(self, zone):
        """End the evacuation of a zone."""
        self.promises.record_evacuation_end(zone)
        self.evacuated_zones.discard(zone)
        self.write_evacuations()

    def write_evacuations(self):
        """Write which zones are evacuated, also again."""
        for zone in ZONES:
            key = f"op/evacuate/{zone}"
            if zone in self.evacuated_zones:
                self.store.put(key, b"")
            else:
                self.store.drop(key)

    def _make_server_entry(self, name, state):
        address = self.proxy_by_server[name].address
        return self.server_by_name[name].make_entry("llm", addr=address, state=state)

    def publish_configuration(self):
        """Publish the next version, which adds one route to the version before."""
        self.version += 1
        self.write_configuration()
        self.promises.record_publication(self.version)

    def write_configuration(self):
        """Write the newest version, also again."""
        routes = [
            fakes.make_route("book", "non_idempotent"),
            fakes.make_route("look", "idempotent"),
            fakes.make_route("chat", "stream", resumable=True),
        ]
        for number in range(1, self.version + 1):
            routes.append(fakes.make_route(f"v{number}", "idempotent"))
        version = self._first_version + self.version
        service = {"name": "llm", "health_path": "/health", "cold_per_s": COLD_RATE}
        self.store.put(
            "op/config",
            fakes.make_document(*routes, version=version, services=[service]),
        )

    def write_server_entries(self):
        """Write the entries of all servers again, as live servers do."""
        for name in self.server_by_name:
            state = "ready" if name in self.active_servers else "draining"
            entry = self._make_server_entry(name, state)
            self.store.put(f"servers/{name}", entry)

    def drop_stale_entries(self):
        """Drop the entries of servers that are gone, as the store does by itself."""
        for key in list(self.store.item_by_key):
            name = key.removeprefix("servers/")
            if name != key and name not in self.server_by_name:
                self.store.drop(key)

    async def request_status(self, node, kind):
        """Send a request on a new connection and return the status, 0 for none."""
        try:
            client = await Client.connect(node.host, FRONT_PORT)
        except OSError:
            return 0
        try:
            return await self._send_request(client, node, kind, random.Random(0))
        finally:
            client.close()

    async def _run_client(self, node, rng, kinds):
        while True:
            client = None
            try:
                client = await Client.connect(node.host, FRONT_PORT)
                await self._use_connection(client, node, rng, kinds)
            except (OSError, TimeoutError):
                await asyncio.sleep(rng.uniform(0.5, 1.5) * REQUEST_INTERVAL_S)
            finally:
                if client is not None:
                    client.close()

    async def _use_connection(self, client, node, rng, kinds):
        """Send requests until the connection can't be used any more."""
        status = None
        while status != 0:
            await asyncio.sleep(rng.uniform(0.5, 1.5) * REQUEST_INTERVAL_S)
            kind = rng.choice(kinds)
            status = await self._send_request(client, node, kind, rng)

    async def _send_request(self, client, node, kind, rng):
        request_id = f"{node.label}-{node.incarnation}-{next(self._id_numbers)}"
        incarnation = node.incarnation
        version = self.version
        target = TARGET_BY_KIND.get(kind, f"/v{version}/")
        self.promises.record_request(request_id, kind, node.label, incarnation)
        client.send(request_id, target)
        if rng.random() < ABORT_SHARE:
            await asyncio.sleep(rng.random() * MAX_ABORT_DELAY_S)
            client.close()
            return 0
        try:
            response = await client.read()
        except TimeoutError:
            client.close()
            self.promises.record_answer(request_id, 0)
            return 0
        self.promises.record_answer(request_id, response.status)
        if response.status == OK and response.is_complete:
            self._check_body(request_id, target, response.body)
        elif kind == "chat" and response.status == OK:
            await self._take_up(request_id, response.body, rng)
        if (
            kind == "version"
            and response.status
            and response.status not in NOT_RUN_STATUSES
        ):
            known = response.status != NO_ROUTE_STATUS
            self.promises.check_version(
                request_id, node.label, incarnation, version, known
            )
        if not response.is_complete or response.headers.get("connection") == "close":
            client.close()
            return 0
        return response.status

    def _check_body(self, request_id, target, body):
        expected = [
            make_expected_body(request_id, target, version)
            for version in self.software_versions
        ]
        self.promises.check_body(request_id, expected, body)

    async def _take_up(self, first_id, body, rng):
        """Take up a stream that broke off, at any nodes, until it has ended."""
        target = TARGET_BY_KIND["chat"]
        for _ in range(MAX_TAKE_UPS):
            await asyncio.sleep(rng.uniform(0, 4) * REQUEST_INTERVAL_S)
            body = body[: body.rfind(EVENT_END) + len(EVENT_END)]
            last_id = body.count(EVENT_END)
            node = rng.choice(self.store_links).node
            request_id = f"{node.label}-{node.incarnation}-{next(self._id_numbers)}"
            if not last_id:
                return
            fields = {"Last_Event_Id": last_id, "Resumes": first_id}
            try:
                client = await Client.connect(node.host, FRONT_PORT)
            except OSError:
                continue
            self.promises.record_request(
                request_id, "take-up", node.label, node.incarnation
            )
            try:
                client.send(request_id, target, **fields)
                response = await client.read()
            except (OSError, TimeoutError):
                response = None
            finally:
                client.close()
            self.promises.record_answer(request_id, response.status if response else 0)
            if response is None or response.status != OK:
                continue
            body += response.body
            if response.is_complete:
                self._check_body(request_id, target, body)
                self.taken_up += 1
                return
        self.not_taken_up += 1

    async def check_recovery(self):
        """Check that all nodes serve all kinds of requests soon after the faults."""
        loop = asyncio.get_running_loop()
        end = loop.time() + RECOVERY_TIMEOUT_S
        for link in self.store_links:
            for kind in TARGET_BY_KIND:
                status = await self.request_status(link.node, kind)
                while status != OK and loop.time() < end:
                    await asyncio.sleep(REQUEST_INTERVAL_S)
                    status = await self.request_status(link.node, kind)
                self.promises.check_served(link.node.label, kind, status)

    async def close(self):
        """Stop clients, nodes, proxies, servers and the store."""
        for client in self._clients:
            client.cancel()
        await asyncio.gather(*self._clients, return_exceptions=True)
        for link in self.store_links:
            node = link.node
            if not node.is_running:
                continue
            if node.paused:
                node.resume()
            node.terminate()
        for link in self.store_links:
            if link.node.is_running:
                await self.wait_for_exit(link.node)
            await link.store_proxy.close()
        for name, server in self.server_by_name.items():
            await server.close()
            await self.proxy_by_server[name].close()
        await self.store.close()

    async def wait_for_exit(self, node, codes=(0,)):
        """Wait for a node to exit after SIGTERM and check its exit code.

        A node that does not exit in time breaks the promise and is killed.

        Parameters
        ----------
        node : NodeProcess
            The node.
        codes : tuple of int
            Allowed exit codes.
        """
        try:
            async with asyncio.timeout(SHUTDOWN_GRACE_S + EXIT_SLACK_S):
                self.promises.check_exit_code(node.label, await node.wait(), codes)
        except TimeoutError:
            self.promises.check_exit_code(node.label, None, codes)
            node.kill()
            await node.wait()
