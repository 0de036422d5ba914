"""Tests of nodes that reach their peers, but no server."""

import asyncio
import contextlib
import os
import socket

import pycurl

from peridotcove.engine_notices import Notice
from peridotcove.engine_paths import CUT_OFF_ENGINES
from peridotcove.node_lifecycle import drain
from peridotcove.nodes.relay_messages import OpenRelay
from peridotcove.nodes.relay_protocol import (
    RELAY_OPEN,
    RELAY_PREFIX,
    RELAY_UNREACHED,
    TOKEN_BYTES,
)
from peridotcove.nodes.relay_server import MAX_UNCLAIMED
from tests.platform import fakes
from tests.platform.fakes import HOST, ServerStandin, make_event, make_stream_answer
from tests.platform.test_platform_node import (
    WAIT_S,
    PlatformNodeBase,
    stay_silent,
)

SERVERS = 4
EVENTS = 4
# Requests after which a node has noticed that it is partitioned.
NOTICED_AFTER = 6
REQUESTS = 24
TARGETS = ("/booking/", "/lookup/", "/resumed/", "/chat/")


class PartitionedEntryBase(PlatformNodeBase):
    """Three nodes before four servers; a test partitions nodes from all servers."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        for number in range(len(self.servers), SERVERS):
            server = ServerStandin(f"i-{number + 1}")
            await server.start()
            self.addAsyncCleanup(server.close)
            self.servers.append(server)
            self.store.put(f"servers/{server.name}", server.make_entry("llm"))
        for server in self.servers:
            server.answer = make_stream_answer(EVENTS)
        others = [await self.start((self.node.name,)) for _ in range(2)]
        self.nodes = [self.node, *others]
        for node in self.nodes:
            await self.wait_for(lambda node=node: len(node.fleet.nodes) == 3)
            await self.wait_for(node.control.revisions.ready)
            await self.wait_in_force(node)

    def partition(self, node, how):
        """Let a node's connections to all servers hang or be refused.

        Returns a function that ends this.
        """
        address = self.enterContext(BARRIER_BY_NAME[how]())
        client = node.streaming_client
        prepare = client._prepare

        def prepare_cut(curl, *args):
            prepare(curl, *args)
            curl.setopt(pycurl.CONNECT_TO, [f"::{address}"])

        server, relay_client = node.relay_server, node.relay_client
        probe, connect = relay_client._reaches, server._connect_to_engine

        async def connect_cut(relay):
            raise ConnectionRefusedError

        client._prepare = prepare_cut
        relay_client._reaches = lambda _: probe(address)
        server._connect_to_engine = connect_cut

        def heal():
            client._prepare, relay_client._reaches = prepare, probe
            server._connect_to_engine = connect

        return heal

    async def send(self, node, number, **fields):
        """Send a request of any kind on a new connection; return the response."""
        client = await self.connect(node)
        target = TARGETS[number % len(TARGETS)]
        name = f"{node.name}-{number}"
        return await client.fetch(name, target, body=b"b", **fields)

    async def notice_partition(self, *nodes, how="refused"):
        """Partition nodes and let them notice it; return a function that ends it."""
        heal = [self.partition(node, how) for node in nodes]
        for node in nodes:
            await self.count_served(node, 0, NOTICED_AFTER)
        for server in self.servers:
            server.seen.clear()
        return lambda: [end() for end in heal]

    def relaying(self):
        """Return the number of connections that nodes relay."""
        return sum(len(node.relay_server) for node in self.nodes)

    async def count_served(self, node, first, count):
        """Return how many requests get a whole answer at the first attempt."""
        whole = b"".join(map(make_event, range(1, EVENTS + 1)))
        got = [await self.send(node, first + number) for number in range(count)]
        return sum(
            (one.status, one.is_complete, one.body) == (200, True, whole) for one in got
        )


@contextlib.contextmanager
def listen_never():
    """Give an address at which connections are refused."""
    with socket.socket() as listener:
        listener.bind((HOST, 0))
        port = listener.getsockname()[1]
    yield f"{HOST}:{port}"


@contextlib.contextmanager
def accept_never():
    """Give an address at which connections hang."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind((HOST, 0))
        listener.listen(0)
        # Fills the queue of new connections.
        for _ in range(3):
            other = stack.enter_context(socket.socket())
            other.setblocking(False)
            other.connect_ex(listener.getsockname())
        yield f"{HOST}:{listener.getsockname()[1]}"


BARRIER_BY_NAME = {"refused": listen_never, "hanging": accept_never}


class RelayedCrowdTest(PartitionedEntryBase):
    """Slow readers whose streams a peer relays take a bounded part of its memory."""

    COUNT = 12
    LIMIT_BYTES = 200_000
    # One read of a transport.
    READ_BYTES = 262_144

    async def flood(self, seen, writer):
        """Send events without end."""
        writer.write(fakes.make_head(seen, 200, Content_Type="text/event-stream"))
        number = 0
        with contextlib.suppress(ConnectionError):
            while not writer.is_closing():
                number += 1
                writer.write(make_event(number, "x" * 50_000))
                await writer.drain()

    def measure_relays(self, node):
        """Return the bytes that a node's relays can't pass on."""
        relays = node.relay_server._relay_by_token.values()
        sides = [side for one in relays for side in (one.peer_side, one.engine_side)]
        return sum(one.transport.get_write_buffer_size() for one in sides if one)

    def arrivals(self):
        return sum(len(server.seen) for server in self.servers)

    async def test_slow_readers_through_a_peer(self):
        entry, *peers = self.nodes
        await self.notice_partition(entry)
        for node in peers:
            node.connection_memory._limit_bytes = self.LIMIT_BYTES
        for server in self.servers:
            server.answer = self.flood
        clients = [await self.connect(entry) for _ in range(self.COUNT)]
        # A lease or a connection may fail on a busy machine, so one after the other.
        for number, client in enumerate(clients):
            client.writer.transport.pause_reading()
            client.send(f"s{number}", "/chat/", body=b"b", X_Deadline_Ms="30000")
            await self.wait_for(lambda sent=number + 1: self.arrivals() >= sent)
        held_bytes, polls_left = [0], 100
        # The system's own buffers have to be full before.
        async with asyncio.timeout(4 * WAIT_S):
            while polls_left:
                await asyncio.sleep(0.01)
                held_bytes += [self.measure_relays(node) for node in peers]
                polls_left -= bool(held_bytes[-1] or held_bytes[-2])
        self.assertLess(max(held_bytes), self.LIMIT_BYTES + self.READ_BYTES)
        for client in clients:
            client.writer.transport.abort()
        await self.wait_for(lambda: not self.relaying())
        for server in self.servers:
            server.answer = fakes.echo_body
        self.assertEqual((await self.send(entry, 1)).status, 200)


class PartitionedEntryTest(PartitionedEntryBase):
    """Clients of partitioned nodes are served as those of the others."""

    # Each request was tried at five servers, and failed.
    async def check_served(self, how, *nodes):
        await self.notice_partition(*nodes, how=how)
        for node in self.nodes:
            served = await self.count_served(node, 100, REQUESTS)
            self.assertEqual(served, REQUESTS)

    async def test_clients_of_a_partitioned_node_are_served_if_connections_hang(self):
        await self.check_served("hanging", self.nodes[0])

    async def test_clients_of_a_partitioned_node_are_served_if_they_are_refused(self):
        await self.check_served("refused", self.nodes[1])

    async def test_clients_are_served_if_most_nodes_are_partitioned(self):
        await self.check_served("refused", *self.nodes[1:])

    async def test_partitioned_nodes_get_no_server_ejected(self):
        self.partition(self.nodes[1], "refused")
        await self.count_served(self.nodes[1], 0, REQUESTS)
        for node in self.nodes:
            self.assertEqual(node.lease_server._ejected_by_shard, {})
        for server in self.servers:
            server.answer = fakes.echo_body
            server.seen.clear()
        for number in range(REQUESTS):
            self.assertEqual((await self.send(self.nodes[2], 200 + number)).status, 200)
        self.assertEqual({one.name for one in self.servers if not one.seen}, set())

    async def test_a_node_whose_links_are_back_uses_them(self):
        node = self.nodes[1]
        heal = await self.notice_partition(node)
        self.assertTrue(node.relay_client._paths.uses_relays)
        heal()
        await self.wait_for(lambda: not node.relay_client._paths.uses_relays)
        relayed = count_relayed(node)
        self.assertEqual(await self.count_served(node, 100, REQUESTS), REQUESTS)
        self.assertEqual(count_relayed(node), relayed)

    async def test_all_nodes_are_partitioned_and_their_links_come_back(self):
        heal = await self.notice_partition(*self.nodes)
        for number in range(len(TARGETS)):
            self.assertEqual((await self.send(self.node, 100 + number)).status, 503)
        heal()
        for node in self.nodes:
            await self.wait_for(
                lambda node=node: not node.relay_client._paths.is_cut_off
            )
            self.assertEqual(await self.count_served(node, 200, REQUESTS), REQUESTS)


class CrashedServersTest(PartitionedEntryBase):
    """Nodes whose servers crash, while their links are sound."""

    # All nodes took themselves for cut off, and refused what the other servers serve.
    async def test_servers_that_crash_cut_no_node_off(self):
        for server in self.servers[:-1]:
            await server.close()
        for number in range(REQUESTS):
            for node in self.nodes:
                got = await self.send(node, number)
                self.assertEqual(got.status, 200)
        await self.wait_for_links()

    async def test_nodes_that_take_themselves_for_cut_off_in_vain_serve(self):
        for node in self.nodes:
            for number in range(CUT_OFF_ENGINES):
                node.relay_client.record_unreached(f"10.0.0.{number}:1")
        for node in self.nodes:
            served = await self.count_served(node, 0, len(TARGETS))
            self.assertEqual(served, len(TARGETS))
        await self.wait_for_links()

    async def wait_for_links(self):
        for node in self.nodes:
            paths = node.relay_client._paths
            await self.wait_for(lambda paths=paths: not paths.is_cut_off)


class RelayedAnswerTest(PartitionedEntryBase):
    """What holds for an answer holds for a relayed one."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.entry = self.nodes[1]
        await self.notice_partition(self.entry)

    def set_answer(self, answer):
        for server in self.servers:
            server.answer = answer

    async def test_a_server_stops_work_when_the_client_has_gone(self):
        self.set_answer(stay_silent)
        for target in TARGETS:
            client = await self.connect(self.entry)
            client.send(f"r{target}", target, body=b"b")
            await self.wait_for(lambda: any(server.seen for server in self.servers))
            gone = sum(server.disconnects for server in self.servers)
            client.close()
            await self.wait_for(
                lambda gone=gone: (
                    sum(server.disconnects for server in self.servers) > gone
                )
            )
            for server in self.servers:
                server.seen.clear()
        await self.wait_for(lambda: not self.relaying())

    async def test_an_answer_that_is_reset_is_not_complete(self):
        async def break_off(seen, writer):
            writer.write(fakes.make_head(seen, 200, 100) + b"begin")
            await writer.drain()
            fakes.reset_connection(writer)

        async def break_off_unframed(seen, writer):
            await fakes.make_unframed_answer(2)(seen, writer)
            await asyncio.sleep(0.05)
            fakes.reset_connection(writer)

        for answer in (break_off, break_off_unframed):
            for target in ("/booking/", "/chat/"):
                with self.subTest(answer=answer.__name__, target=target):
                    self.set_answer(answer)
                    client = await self.connect(self.entry)
                    got = await client.fetch("r", target, body=b"b")
                    self.assertFalse(got.status == 200 and got.is_complete)

    # Reported from other systems: such answers passed as whole, with an empty body.
    async def test_an_answer_that_ends_inside_its_head_is_not_complete(self):
        def cut_at(position, **fields):
            async def answer(seen, writer):
                head = fakes.make_head(seen, 200, **fields)
                writer.write(head[: min(position, len(head) - 1)])
                await writer.drain()

            return answer

        forms = ({"Content_Length": "0"}, {"Transfer_Encoding": "chunked"}, {})
        node = self.nodes[2]
        for number, target in enumerate(TARGETS * 3):
            fields = forms[number // len(TARGETS)]
            for position in range(1, 90, 11):
                self.set_answer(cut_at(position, **fields))
                for entry in (self.entry, node):
                    client = await self.connect(entry)
                    got = await client.fetch("r", target, body=b"b")
                    is_whole = got.status == 200 and got.is_complete
                    self.assertFalse(is_whole, (target, fields, position))

    async def test_an_answer_without_a_length_is_whole(self):
        self.set_answer(fakes.echo_unframed_body)
        client = await self.connect(self.entry)
        got = await client.fetch("r", "/booking/", body=b"body")
        self.assertEqual((got.status, got.is_complete, got.body), (200, True, b"body"))

    # The connection of a relay that is killed ends like that of a server.
    async def test_an_answer_whose_relay_is_killed_is_not_complete(self):
        async def begin(seen, writer):
            await fakes.make_unframed_answer(2)(seen, writer)
            await asyncio.sleep(WAIT_S)

        self.set_answer(begin)
        client = await self.connect(self.entry)
        client.send("r", "/chat/", body=b"b")
        async with asyncio.timeout(WAIT_S):
            await client.reader.readuntil(make_event(2))
        for node in self.nodes:
            for relay in list(node.relay_server._relay_by_token.values()):
                relay.peer_side.transport.close()
        async with asyncio.timeout(WAIT_S):
            rest = await client.reader.read()
        self.assertNotIn(b"0\r\n\r\n", rest)

    async def test_large_bodies_pass_both_ways(self):
        self.set_answer(fakes.echo_body)
        body = os.urandom(3_000_000)
        client = await self.connect(self.entry)
        got = await client.fetch("r", "/booking/", body=body)
        self.assertEqual((got.status, got.body == body), (200, True))

    async def test_relays_of_a_node_that_drains_end_before_it_does(self):
        self.set_answer(make_stream_answer(EVENTS, pause_s=0.2))
        client = await self.connect(self.entry)
        client.send("r", "/chat/", body=b"b")
        await self.wait_for(lambda: self.relaying())
        relaying = next(node for node in self.nodes if len(node.relay_server))
        reading = asyncio.ensure_future(client.read())
        async with asyncio.timeout(2 * WAIT_S):
            await drain(relaying)
        self.assertEqual((await reading).is_complete, True)

    async def test_what_a_server_says_of_itself_binds_its_relay(self):
        server = self.servers[0]
        for name in [one.name for one in self.servers[1:]]:
            self.store.drop(f"servers/{name}")
        for node in self.nodes:
            await self.wait_in_force(node)
        server.answer = want_none
        await self.send(self.entry, 0)
        engine = self.entry.fleet.configuration.engine_by_name[server.name]
        notices = [node.engine_notices for node in self.nodes if node is not self.entry]
        await self.wait_for(lambda: any(one.pause_left_ms(engine) for one in notices))

    async def test_a_leaving_server_is_not_reached_through_a_peer_that_knows(self):
        server = self.servers[0]
        for node in self.nodes:
            if node is not self.entry:
                engine = node.fleet.configuration.engine_by_name[server.name]
                node.engine_notices.record(engine, Notice(is_leaving=True))
        for number in range(REQUESTS):
            self.assertEqual((await self.send(self.entry, 100 + number)).status, 200)
        self.assertEqual(server.seen, [])


class RelayServerTest(PartitionedEntryBase):
    """A node relays for authenticated peers, to the engines that it knows."""

    async def open(self, token, address=None, preamble=RELAY_PREFIX):
        """Open a connection to a node, and return what it answers."""
        if address is not None:
            self.node.relay_server.receive("peer", OpenRelay(token, address))
        nodes = self.node.settings.nodes
        reader, writer = await asyncio.open_connection(nodes.host, nodes.port)
        writer.write(preamble + token)
        async with asyncio.timeout(WAIT_S):
            with contextlib.suppress(ConnectionError):
                return await reader.read(1)
        return b""

    async def test_only_engines_are_reached(self):
        server = self.servers[0]
        address = f"{HOST}:{self.store.address.rpartition(':')[2]}"
        self.assertEqual(await self.open(b"a" * 16, server.address), RELAY_OPEN)
        for number, other in enumerate((address, "", "x", "127.0.0.1:x", ":")):
            with self.subTest(address=other):
                got = await self.open(bytes([number]) * 16, other)
                self.assertEqual(got, RELAY_UNREACHED)

    async def test_connections_without_a_request_are_closed(self):
        address = self.servers[0].address
        self.assertEqual(await self.open(b"a" * 16), b"")
        self.assertEqual(await self.open(b"a" * 17, address), b"")
        self.assertEqual(await self.open(b"b" * 16, preamble=b"RELAX "), b"")
        self.assertEqual(await self.open(b"", preamble=b"R"), b"")
        self.assertEqual(await self.open(b"c" * 15), b"")
        await self.wait_for(lambda: not self.relaying())
        self.assertEqual(self.node.relay_server._unclaimed_by_token, {})

    async def test_connections_without_a_request_are_bounded(self):
        nodes = self.node.settings.nodes
        writers = []
        for number in range(MAX_UNCLAIMED + 10):
            _, writer = await asyncio.open_connection(nodes.host, nodes.port)
            writer.write(RELAY_PREFIX + number.to_bytes(TOKEN_BYTES, "big"))
            writers.append(writer)
        unclaimed = self.node.relay_server._unclaimed_by_token
        await self.wait_for(lambda: len(unclaimed) == MAX_UNCLAIMED)
        await self.wait_for(lambda: not self.node.relay_server._unclaimed_by_token)
        for writer in writers:
            writer.close()

    async def test_a_token_opens_one_connection(self):
        address = self.servers[0].address
        self.assertEqual(await self.open(b"a" * 16, address), RELAY_OPEN)
        self.assertEqual(await self.open(b"a" * 16, address), b"")

    async def test_requests_that_are_not_picked_up_end(self):
        self.node.relay_server.receive(
            "peer", OpenRelay(b"a" * 16, self.servers[0].address)
        )
        self.assertEqual(self.relaying(), 1)
        await self.wait_for(lambda: not self.relaying())
        self.assertEqual(self.node.request_counter.count, 0)


async def want_none(seen, writer):
    """Refuse a request, and want none for some seconds."""
    writer.write(fakes.make_head(seen, 503, 0, X_Not_Run="1", Retry_After="4"))


def count_relayed(node):
    """Return how many requests of a node went through a peer."""
    return sum(event.kind == "request-relayed" for event in node.timeline.events())
