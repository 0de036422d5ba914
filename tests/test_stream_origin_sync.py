"""Generated histories of streams at several software versions, with nodes that end."""

import asyncio
import unittest
from unittest import mock

from attrs import evolve
from hypothesis import HealthCheck, Phase, given, settings, strategies

from peridotcove.configuration import parse_configuration
from peridotcove.exceptions import PeerTooOld, RequestRefused
from peridotcove.lease_client import UNKNOWN_ORIGIN
from peridotcove.lease_server import LeaseServer
from peridotcove.models import Instance, LeaseRequest
from peridotcove.nodes.messages import ShareOrigins, ShareVersions
from peridotcove.software_versions import STREAM_LIFE_MS, SoftwareVersions
from tests.test_leases import RAW, Cluster, deliver
from tests.virtual import run

NAMES = ("n1", "n2", "n3", "n4")
ENGINES = ("e1", "e2", "e3")
VERSIONS = ("v1", "v2", "v3")
SHARE_MS = 300


def make_raw(versions, revision):
    """Return a configuration whose engines have these versions; none is missing."""
    engine = {"zone": "a", "model": "m", "capacity": 1_000}
    engines = {
        name: {"url": f"http://127.0.0.1:{port}", "software_version": version} | engine
        for port, (name, version) in enumerate(zip(ENGINES, versions, strict=True), 1)
        if version
    }
    customers = {"c": {"concurrency": 100_000}}
    changes = {"revision": revision, "engines": engines, "customers": customers}
    return RAW | changes | {"bounds": {"load_bound": 50.0}}


class StreamFleet(Cluster):
    """Nodes that begin streams and take them up as the forwarder does.

    Attributes
    ----------
    joined : list of tuple
        Begun version and the other one of each stream that went on elsewhere.
    went_on, refused : int
        Number of streams that were taken up, and of those that were refused.
    """

    def __init__(self, versions):
        self.joined = []
        self.went_on = self.refused = 0
        self._revision = 1
        self._begun = []
        self._number = 0
        self._refusal = ""
        super().__init__(make_raw(versions, 1), NAMES)

    def add(self, name):
        """Add a node, or replace one by a process that knows nothing."""
        super().add(name)
        server, receive = self.server_by_node[name], self.receive_by_node[name]

        def receive_all(peer, message):
            if isinstance(message, (ShareOrigins, ShareVersions)):
                server.receive(peer, message)
            else:
                receive(peer, message)

        self.receive_by_node[name] = receive_all

    def set_versions(self, versions):
        """Put a configuration with other versions in force at all nodes."""
        self._revision += 1
        self.raw = make_raw(versions, self._revision)
        for name in NAMES:
            self.fleet_by_node[name].set_configuration(parse_configuration(self.raw))
        self.update_dispatchers()

    def limit_view(self, name, known):
        """Let a node know only some of the nodes."""
        instances = tuple(Instance(one, "node", "", 1, "a") for one in known)
        self.fleet_by_node[name].set_nodes(instances)
        self.server_by_node[name].update_dispatchers()

    def kill(self, names):
        """Replace nodes by processes that have just started, as others notice."""
        for name in names:
            self.add(name)
        self.update_dispatchers()
        for name, server in self.server_by_node.items():
            for started in names:
                if name != started and name not in names:
                    server.inform_joined(started)

    async def begin(self, entry):
        """Begin a stream at a node."""
        self._number += 1
        stream = self._number
        engine = await self._request(entry, stream)
        if engine is not None:
            self._begun.append((stream, engine.software_version, self._now()))

    async def take_up(self, index, entry):
        """Take up one of the last streams at a node."""
        recent = [
            (stream, version)
            for stream, version, since_ms in self._begun
            if self._now() - since_ms < STREAM_LIFE_MS
        ]
        if not recent:
            return
        stream, version = recent[-1 - index % len(recent)]
        origins = self.server_by_node[entry].stream_origins
        known = origins.origins.find(stream)
        allowed = () if known is None else (known.software_version,)
        engine = await self._request(entry, stream, True, allowed)
        only = origins.find_only_origin(["m"])
        if engine is None and self._refusal == UNKNOWN_ORIGIN and only is not None:
            allowed = (only.software_version,)
            engine = await self._request(entry, stream, True, allowed)
        if engine is None:
            self.refused += 1
            return
        self.went_on += 1
        if engine.software_version != version:
            self.joined.append((version, engine.software_version))

    async def _request(self, entry, stream, is_resumed=False, allowed=()):
        self._number += 1
        request = LeaseRequest(
            self._number.to_bytes(8, "big"),
            entry,
            "c",
            "m",
            (),
            deadline_ms=500,
            stream=stream,
            is_resumed=is_resumed,
            software_versions=allowed,
        )
        client = self.client_by_node[entry]
        try:
            grant = await client.request_lease(self.shard, request)
        except RequestRefused as error:
            self._refusal = error.code
            return None
        engine = self.fleet_by_node[entry].configuration.engine_by_name.get(
            grant.engine
        )
        if engine is not None:
            self.server_by_node[entry].stream_origins.record(stream, engine)
        client.release(request.request_id, "done")
        return engine

    def _now(self):
        return self.server_by_node[NAMES[0]]._clock.now()


nodes = strategies.sampled_from(NAMES)
versions = strategies.tuples(
    strategies.sampled_from(VERSIONS),
    *[strategies.sampled_from((*VERSIONS, ""))] * (len(ENGINES) - 1),
)
steps = strategies.lists(
    strategies.one_of(
        strategies.tuples(strategies.just("begin"), nodes),
        strategies.tuples(strategies.just("take up"), strategies.integers(0, 3), nodes),
        strategies.tuples(strategies.just("take up"), strategies.integers(0, 3), nodes),
        strategies.tuples(strategies.just("kill"), strategies.sets(nodes, min_size=1)),
        strategies.tuples(strategies.just("versions"), versions),
        strategies.tuples(
            strategies.just("wait"), strategies.sampled_from([50, SHARE_MS, 21_000])
        ),
    ),
    max_size=30,
)


async def play(first_versions, history):
    """Return a fleet after a history."""
    fleet = StreamFleet(first_versions)
    for kind, *values in history:
        if kind == "begin":
            await fleet.begin(*values)
        elif kind == "take up":
            await fleet.take_up(*values)
        elif kind == "kill":
            fleet.kill(*values)
        elif kind == "versions":
            fleet.set_versions(*values)
        else:
            await deliver(*values)
        for server in fleet.server_by_node.values():
            server.tick()
    return fleet


def find_current(self, model):
    """Return the only version that serves now, whatever served before."""
    current = self._current_by_model.get(model, set())
    return next(iter(current)) if len(current) == 1 else None


def ignore_unknown(self, request, tracked):
    """Restrict nothing if it is not known where a stream began."""
    origin = self.stream_origins.origins.find(request.stream)
    if request.is_resumed and not request.software_versions and origin is None:
        return request
    return restrict_versions(self, request, tracked)


def report_current(self):
    """Return reports that lack the versions that have left."""
    return [
        evolve(
            report,
            unseen_ms_by_version={
                version: unseen_ms
                for version, unseen_ms in report.unseen_ms_by_version.items()
                if not unseen_ms
            },
        )
        for report in make_reports(self)
    ]


restrict_versions = LeaseServer._restrict_versions
make_reports = SoftwareVersions.reports
FAULTY = {
    "the version of now is taken for that of then": (
        SoftwareVersions,
        "find_only",
        find_current,
    ),
    "streams of unknown version go on anywhere": (
        LeaseServer,
        "_restrict_versions",
        ignore_unknown,
    ),
    "owners grant any version": (
        LeaseServer,
        "_restrict_versions",
        lambda self, request, tracked: evolve(request, software_versions=()),
    ),
}


class StreamHistoriesTest(unittest.TestCase):
    """No history joins two software versions in one stream."""

    @given(versions, steps)
    def test_no_stream_goes_on_at_another_version(self, first_versions, history):
        fleet = run(play(first_versions, history))
        self.assertEqual(fleet.joined, [])

    def test_each_faulty_variant_is_found(self):
        for name, (cls, method, variant) in FAULTY.items():
            with self.subTest(variant=name), mock.patch.object(cls, method, variant):

                @settings(
                    max_examples=3_000,
                    phases=[Phase.generate],
                    database=None,
                    suppress_health_check=list(HealthCheck),
                )
                @given(versions, steps)
                def check(first_versions, history):
                    assert not run(play(first_versions, history)).joined

                with self.assertRaises(AssertionError):
                    check()

    def test_streams_go_on_while_one_owner_that_knows_them_lives(self):
        async def play_kills():
            fleet = StreamFleet(("v1", "v2", "v1"))
            await fleet.begin(NAMES[0])
            for number in range(40):
                await fleet.begin(NAMES[number % 4])
                for server in fleet.server_by_node.values():
                    server.tick()
                await deliver(SHARE_MS)
                fleet.kill([NAMES[number % 4]])
                await fleet.take_up(0, NAMES[(number + 1) % 4])
            return fleet

        fleet = run(play_kills())
        self.assertEqual((fleet.joined, fleet.refused), ([], 0))
        self.assertEqual(fleet.went_on, 40)

    def test_streams_go_on_after_restarts_while_one_version_serves(self):
        async def play_restarts(restarted):
            fleet = StreamFleet(("v1", "v1", "v1"))
            await deliver(STREAM_LIFE_MS)
            for number in range(40):
                await fleet.begin(NAMES[number % 4])
                fleet.kill(restarted(fleet, number))
                await deliver(SHARE_MS)
                await fleet.take_up(0, NAMES[(number + 1) % 4])
            return fleet

        cases = {
            "the owner and the next entry": lambda fleet, number: {
                fleet.owners[0],
                NAMES[(number + 1) % 4],
            },
            "each node in turn": lambda fleet, number: {NAMES[number % 4]},
            "all but one": lambda fleet, number: set(NAMES) - {NAMES[number % 4]},
        }
        for name, restarted in cases.items():
            with self.subTest(restarted=name):
                fleet = run(play_restarts(restarted))
                self.assertEqual((fleet.joined, fleet.refused), ([], 0))
                self.assertEqual(fleet.went_on, 40)

    def test_streams_that_begin_after_the_loss_of_all_nodes_go_on(self):
        async def play_loss(first_versions):
            fleet = StreamFleet(first_versions)
            await deliver(STREAM_LIFE_MS)
            fleet.kill(NAMES)
            for number in range(20):
                await fleet.begin(NAMES[number % 4])
                for server in fleet.server_by_node.values():
                    server.tick()
                await deliver(SHARE_MS)
                fleet.kill([fleet.owners[0]])
                await fleet.take_up(0, fleet.owners[1 + number % 3])
            return fleet

        for first_versions in (("v1", "v1", "v1"), ("v1", "v2", "v1")):
            with self.subTest(versions=first_versions):
                fleet = run(play_loss(first_versions))
                self.assertEqual((fleet.joined, fleet.refused), ([], 0))
                self.assertEqual(fleet.went_on, 20)

    def test_owners_that_come_into_force_later_learn_where_streams_began(self):
        async def play_change(entry):
            fleet = StreamFleet(("v1", "v2", "v1"))
            first, *later = fleet.owners
            # The entry has just started, and knows itself and one other node only.
            fleet.limit_view(entry, [entry, first])
            await fleet.begin(entry)
            fleet.server_by_node[entry].tick()
            await deliver(SHARE_MS)
            fleet.limit_view(entry, NAMES)
            fleet.server_by_node[entry].tick()
            await deliver(SHARE_MS)
            fleet.kill([entry, first])
            for server in fleet.server_by_node.values():
                server.tick()
            await deliver(SHARE_MS)
            await fleet.take_up(0, later[-1])
            return fleet

        for name in NAMES[1:]:
            with self.subTest(entry=name):
                fleet = run(play_change(name))
                self.assertEqual((fleet.joined, fleet.refused), ([], 0))
                self.assertEqual(fleet.went_on, 1)

    def test_nodes_that_start_learn_of_versions_that_have_left(self):
        async def play_release():
            fleet = StreamFleet(("v1", "v1", "v1"))
            await deliver(STREAM_LIFE_MS)
            *killed, _ = fleet.owners
            await fleet.begin(killed[0])
            fleet.set_versions(("v2", "v2", "v2"))
            await deliver(SHARE_MS)
            fleet.kill(killed)
            await deliver(SHARE_MS)
            await fleet.take_up(0, killed[0])
            return fleet

        self.assertEqual(run(play_release()).joined, [])
        with mock.patch.object(SoftwareVersions, "reports", report_current):
            self.assertEqual(run(play_release()).joined, [("v1", "v2")])

    # A node that is asked in place of owners that were killed knows little.
    def test_streams_wait_for_the_next_owners(self):
        async def play_loss():
            fleet = StreamFleet(("v1", "v2", "v1"))
            await fleet.begin(fleet.owners[2])
            for server in fleet.server_by_node.values():
                server.tick()
            await deliver(SHARE_MS)
            fleet.client_by_node[fleet.owners[3]]._grants_locally = True
            fleet.down.update(fleet.owners[:2])
            taking_up = asyncio.ensure_future(fleet.take_up(0, fleet.owners[3]))
            await deliver(SHARE_MS)
            for name in fleet.owners[2:]:
                fleet.limit_view(name, fleet.owners[2:])
            await taking_up
            return fleet

        fleet = run(play_loss())
        self.assertEqual((fleet.joined, fleet.refused, fleet.went_on), ([], 0, 1))

    def test_malformed_reports_of_versions_are_ignored(self):
        odd = ([], ["m"], ["m", 1, 2], ["m", -1, []], ["m", 30_000, [["v1", "x"]]])
        odd += (["m", 30_000, [[["v1"], 0]]], 5, [4, 30_000, [["v1", 0]]])

        async def receive(report):
            fleet = StreamFleet(("v1", "v1", "v1"))
            fleet.kill(["n1"])
            server = fleet.server_by_node["n1"]
            server.receive("n2", ShareVersions([report]))
            return server.stream_origins.versions.find_only("m")

        for report in odd:
            with self.subTest(report=report), self.assertLogs("peridotcove", "WARNING"):
                self.assertIsNone(run(receive(report)))
        self.assertEqual(run(receive(["m", STREAM_LIFE_MS, [["v1", 0]]])), "v1")

    def test_origins_are_sent_only_while_there_may_be_several_versions(self):
        async def count_messages(first_versions):
            fleet = StreamFleet(first_versions)
            await deliver(STREAM_LIFE_MS)
            sent = []

            def record(sender, peer, message):
                sent.append(message)
                return False

            fleet.is_dropped = record
            for number in range(8):
                await fleet.begin(NAMES[number % 4])
            for server in fleet.server_by_node.values():
                server.tick()
            await deliver(SHARE_MS)
            return sum(isinstance(message, ShareOrigins) for message in sent)

        self.assertEqual(run(count_messages(("v1", "v1", "v1"))), 0)
        self.assertGreater(run(count_messages(("v1", "v2", "v1"))), 0)

    def test_origins_are_not_sent_again_and_again_to_builds_that_lack_them(self):
        """Owners get origins that they missed at each tick, until these are sent."""

        async def count_tries():
            fleet = StreamFleet(("v1", "v2", "v1"))
            await deliver(STREAM_LIFE_MS)
            tries = []

            def refuse(sender, peer, message):
                if isinstance(message, ShareOrigins):
                    tries.append(message)
                    raise PeerTooOld(peer)
                return False

            fleet.is_dropped = refuse
            await fleet.begin("n1")
            for _ in range(8):
                for server in fleet.server_by_node.values():
                    server.tick()
                await deliver(SHARE_MS)
            return len(tries)

        self.assertIn(run(count_tries()), range(1, 7))
