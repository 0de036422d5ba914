"""Tests of streams while servers of several software versions serve side by side."""

import asyncio

from peridotcove.clock import Clock
from peridotcove.exceptions import LinkDown
from peridotcove.node import Node
from peridotcove.node_lifecycle import close, open_ports, start
from peridotcove.software_versions import STREAM_LIFE_MS
from tests.platform import fakes
from tests.platform.fakes import ServerStandin, make_event, make_stream_answer
from tests.platform.test_platform_node import WAIT_S, PlatformNodeBase

TARGET = "/resumed/"
EVENTS = 5
CUT_AFTER = 2
REPEATS = 10
VERSIONS = ("v1", "v2", "v1", "v2")
MAX_BEGINS = 40
# Time after which a node notices that it is cut off from all others.
CUT_S = 3.0


async def pause_after_events(seen, writer):
    """Stream some events and then nothing more."""
    await make_stream_answer(CUT_AFTER, cut=True)(seen, writer)
    await asyncio.sleep(WAIT_S)


class SoftwareVersionsBase(PlatformNodeBase):
    """Nodes before two servers of version v1, i-1 and i-3, and two of v2."""

    async def asyncSetUp(self):
        self.tasks_by_node = {}
        await super().asyncSetUp()
        for name in ("i-3", "i-4"):
            server = ServerStandin(name)
            await server.start()
            self.addAsyncCleanup(server.close)
            self.servers.append(server)
        self.version_by_name = {}
        for server, version in zip(self.servers, VERSIONS, strict=True):
            self.put_version(server, version)
            server.answer = make_stream_answer(EVENTS)
        await self.wait_in_force(self.node)

    def put_version(self, server, version):
        self.version_by_name[server.name] = version
        entry = server.make_entry("llm", version=version)
        self.store.put(f"servers/{server.name}", entry)

    async def start(self, seeds=()):
        address = fakes.allocate_loopback_address()
        node = Node(fakes.make_settings(self.store, address, seeds), Clock())
        await open_ports(node)
        self.tasks_by_node[node] = await start(node)
        self.addAsyncCleanup(self.kill, node)
        return node

    async def kill(self, node):
        """End a node without a word to the others."""
        for task in self.tasks_by_node.pop(node, ()):
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            await asyncio.sleep(0)
        if node.links is not None:
            await close(node)
            node.links = None

    async def join(self, count=1):
        """Start further nodes, and wait until all know each other."""
        nodes = [await self.start((self.node.name,)) for _ in range(count)]
        everyone = [self.node, *nodes]
        for node in everyone:
            await self.wait_for(lambda node=node: len(node.fleet.nodes) == count + 1)
            await self.wait_for(node.control.revisions.ready)
            await self.wait_in_force(node)
        return nodes

    def let_break_off(self, cut_after=CUT_AFTER, refuses=False):
        """Let the first server that is asked break off its stream, and go on or not."""
        for server in self.servers:
            server.seen.clear()

        def make_answer(first):
            async def answer(seen, writer):
                for server in self.servers:
                    server.answer = make_stream_answer(EVENTS)
                if refuses:
                    first.answer = fakes.refuse
                await make_stream_answer(cut_after, cut=True)(seen, writer)

            return answer

        for server in self.servers:
            server.answer = make_answer(server)

    def asked_versions(self):
        """Return the versions of the servers that got requests, in no order."""
        return {self.version_by_name[one.name] for one in self.servers if one.seen}

    async def send(self, name, node=None, **fields):
        """Send a request for a stream, or take one up again; return the response."""
        client = await self.connect(node)
        return await client.fetch(name, TARGET, body=b"b", **fields)

    async def begin_stream(self, name, node=None):
        """Begin a stream and lose its connection; return the version that began it."""
        for server in self.servers:
            server.seen.clear()
            server.answer = pause_after_events
        client = await self.connect(node)
        client.send(name, TARGET, body=b"b")
        async with asyncio.timeout(WAIT_S):
            await client.reader.readuntil(make_event(CUT_AFTER))
        client.close()
        (version,) = self.asked_versions()
        (self.begun_at,) = {one.name for one in self.servers if one.seen}
        for server in self.servers:
            server.seen.clear()
            server.answer = make_stream_answer(EVENTS)
        return version

    async def take_up(self, name, begun, node=None):
        """Take a stream up again after its last event, as clients do."""
        return await self.send(name, node, Last_Event_Id=str(CUT_AFTER), Resumes=begun)

    def check_goes_on(self, got, version):
        rest = b"".join(map(make_event, range(CUT_AFTER + 1, EVENTS + 1)))
        self.assertEqual((got.status, got.is_complete, got.body), (200, True, rest))
        self.assertEqual(self.asked_versions(), {version})

    def check_refused(self, got):
        self.assertEqual(got.status, 503)
        self.assertEqual(self.asked_versions(), set())


class ResumedAnswerTest(SoftwareVersionsBase):
    """A node resumes a stream within its answer at the version that began it."""

    async def test_a_stream_goes_on_at_a_server_of_its_version(self):
        whole = b"".join(map(make_event, range(1, EVENTS + 1)))
        for number in range(REPEATS):
            self.let_break_off()
            got = await self.send(f"r{number}")
            self.assertEqual((got.is_complete, got.body), (True, whole))
            self.assertEqual(len(self.asked_versions()), 1)

    async def test_a_stream_ends_as_broken_off_if_only_another_version_serves(self):
        for name in ("i-3", "i-4"):
            self.store.drop(f"servers/{name}")
        await self.wait_in_force(self.node)
        for number in range(REPEATS):
            self.let_break_off(refuses=True)
            got = await self.send(f"r{number}")
            self.assertFalse(got.is_complete)
            self.assertEqual(len(self.asked_versions()), 1)

    async def test_a_stream_without_an_event_goes_on_anywhere(self):
        for name in ("i-3", "i-4"):
            self.store.drop(f"servers/{name}")
        await self.wait_in_force(self.node)
        self.let_break_off(cut_after=0)
        got = await self.send("r1")
        self.assertTrue(got.is_complete)


class TakenUpStreamTest(SoftwareVersionsBase):
    """Clients take streams up again, at any node."""

    async def test_a_stream_is_taken_up_at_its_node(self):
        for number in range(REPEATS):
            version = await self.begin_stream(f"a{number}")
            got = await self.take_up(f"b{number}", f"a{number}")
            self.check_goes_on(got, version)

    async def test_a_stream_is_taken_up_at_another_node(self):
        (other,) = await self.join()
        for number in range(REPEATS):
            version = await self.begin_stream(f"a{number}")
            got = await self.take_up(f"b{number}", f"a{number}", other)
            self.check_goes_on(got, version)

    async def test_a_stream_is_taken_up_twice(self):
        (other,) = await self.join()
        version = await self.begin_stream("a")
        for name, node in (("b", other), ("c", self.node), ("d", other)):
            got = await self.take_up(name, "a", node)
            self.check_goes_on(got, version)

    # The node that began a stream knew its version, and was gone.
    async def test_a_stream_is_taken_up_after_its_node_was_killed(self):
        others = await self.join(3)
        victim = others.pop()
        versions = [await self.begin_stream(f"a{n}", victim) for n in range(REPEATS)]
        await self.wait_for(lambda: self.is_shared_by(others, versions))
        await self.kill(victim)
        for number, version in enumerate(versions):
            node = others[number % len(others)]
            for server in self.servers:
                server.seen.clear()
            got = await self.take_up(f"b{number}", f"a{number}", node)
            self.check_goes_on(got, version)

    def is_shared_by(self, nodes, versions):
        """Return whether an owner that lives knows all streams."""
        return any(
            len(node.lease_server.stream_origins.origins) >= len(versions)
            for node in [self.node, *nodes]
        )

    async def test_a_stream_of_an_unknown_version_is_refused(self):
        for fields in (
            {"Resumes": "never-sent"},
            {"Resumes": ""},
            {},
        ):
            with self.subTest(fields=fields):
                got = await self.send("b", Last_Event_Id="2", **fields)
                self.check_refused(got)

    # All nodes lost power and came back, when the old version had just left.
    async def test_a_stream_is_refused_after_all_nodes_were_killed(self):
        await self.begin_stream("a")
        await self.kill(self.node)
        for server in self.servers[::2]:
            self.store.drop(f"servers/{server.name}")
        self.node = await self.start()
        await self.wait_for(self.node.control.revisions.ready)
        await self.wait_in_force(self.node)
        got = await self.take_up("b", "a")
        self.check_refused(got)

    async def test_a_stream_whose_version_has_left_is_refused_at_once(self):
        version = await self.begin_stream("a")
        for server in self.servers:
            if self.version_by_name[server.name] == version:
                self.store.drop(f"servers/{server.name}")
        await self.wait_in_force(self.node)
        started_ms = self.node.clock.now()
        got = await self.take_up("b", "a")
        self.check_refused(got)
        self.assertLess(self.node.clock.now() - started_ms, 500)

    async def test_new_streams_begin_at_every_version(self):
        for number in range(4 * REPEATS):
            self.assertTrue((await self.send(f"r{number}")).is_complete)
        self.assertEqual(self.asked_versions(), {"v1", "v2"})


class OutOfStepTest(SoftwareVersionsBase):
    """A node that missed a release joins no stream of the new version to the old."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.join(3)
        self.nodes = list(self.tasks_by_node)
        (shard,) = self.node.fleet.shard_by_name
        owners = self.node.fleet.rank_owners(shard)
        by_name = {node.name: node for node in self.nodes}
        self.owner, self.late = by_name[owners[0]], by_name[owners[-1]]
        newer = [one for one in self.servers if self.version_by_name[one.name] == "v2"]
        for server in newer:
            self.store.drop(f"servers/{server.name}")
        await self.wait_for_all(self.nodes)
        for node in self.nodes:
            # As if the old version had served alone for a long time.
            versions = node.lease_server.stream_origins.versions
            versions._seen_ms_by_model.clear()
            for model in versions._since_ms_by_model:
                versions._since_ms_by_model[model] -= STREAM_LIFE_MS
        self.late.apply_configuration = lambda: None
        for server in newer:
            self.put_version(server, "v2")
        self.others = [node for node in self.nodes if node is not self.late]
        await self.wait_for_all(self.others)

    async def wait_for_all(self, nodes):
        for node in nodes:
            await self.wait_in_force(node)

    async def begin_newer_stream(self, number):
        """Begin a stream at a server of the new version; return its id."""
        for attempt in range(MAX_BEGINS):
            name = f"a{number}-{attempt}"
            if await self.begin_stream(name, self.others[0]) == "v2":
                return name
        raise AssertionError("no stream began at the new version")

    async def check_not_joined(self):
        for number in range(REPEATS):
            begun = await self.begin_newer_stream(number)
            got = await self.take_up(f"b{number}", begun, self.late)
            self.assertLessEqual(self.asked_versions(), {"v2"})
            self.assertIn(got.status, (200, 503))

    async def test_streams_are_not_joined_at_a_node_that_missed_a_release(self):
        await self.check_not_joined()

    async def test_streams_are_not_joined_at_a_node_that_is_cut_off(self):
        for node in self.others:
            node.links.send = make_cut_send(node.links.send, self.late.name)

        def fail(peer, message):
            raise LinkDown(peer)

        self.late.links.send = fail
        # The store is not reached either.
        self.late.control.revisions.record_read_result = lambda ok=True: None
        await asyncio.sleep(CUT_S)
        await self.check_not_joined()


def make_cut_send(send, cut_off):
    """Return a function that sends to all nodes but one."""

    def send_or_fail(peer, message):
        if peer == cut_off:
            raise LinkDown(peer)
        send(peer, message)

    return send_or_fail


class SplitRouteTest(SoftwareVersionsBase):
    """A route leads to two services, each of one version for a long time."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.models = ("llm", "other")
        for server, service in zip(self.servers, self.models * 2, strict=True):
            entry = server.make_entry(service, version="v1")
            self.store.put(f"servers/{server.name}", entry)
        self.service_by_name = dict(
            zip([one.name for one in self.servers], self.models * 2, strict=True)
        )
        split = [{"service": name, "weight": 1} for name in self.models]
        route = fakes.make_route("resumed", "stream", resumable=True, split=split)
        services = [{"name": name, "health_path": "/health"} for name in self.models]
        document = fakes.make_document(route, version=8, services=services)
        self.store.put("op/config", document)
        await self.wait_in_force(self.node)
        (self.other,) = await self.join()
        for node in (self.node, self.other):
            versions = node.lease_server.stream_origins.versions
            versions._seen_ms_by_model.clear()
            for model in versions._since_ms_by_model:
                versions._since_ms_by_model[model] -= STREAM_LIFE_MS

    # The owner of one service took its only version for the origin of all streams.
    async def test_a_stream_that_no_owner_knows_is_not_passed_to_another_service(self):
        for number in range(REPEATS):
            for server in self.servers:
                server.seen.clear()
            got = await self.send(
                f"b{number}", self.other, Last_Event_Id="2", Resumes="never-sent"
            )
            self.check_refused(got)

    async def test_a_stream_goes_on_at_the_service_that_began_it(self):
        for number in range(REPEATS):
            await self.begin_stream(f"a{number}")
            begun = {self.service_by_name[self.begun_at]}
            await self.take_up(f"b{number}", f"a{number}", self.other)
            asked = {self.service_by_name[one.name] for one in self.servers if one.seen}
            self.assertEqual(asked, begun)
