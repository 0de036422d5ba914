"""Tests of the lease protocol between entry nodes and owners, with lost messages."""

import asyncio
import random
import unittest
from collections import Counter

from attrs import evolve

from peridotcove.configuration import parse_configuration
from peridotcove.crash_suspects import (
    CRASH_WINDOW_MS,
    CUT,
    CUT_BEFORE_ANSWER,
    LEARNING_MS,
    QUARANTINE_CRASHES,
)
from peridotcove.dispatch import LEASE_RECOVERY_MS
from peridotcove.exceptions import LinkDown, RequestRefused
from peridotcove.fleet_view import FleetView
from peridotcove.lease_client import (
    OWNER_ANSWER_TIMEOUT_MS,
    QUARANTINED,
    UNRESPONSIVE_OWNER_MS,
    LeaseClient,
)
from peridotcove.lease_server import STANDBY_IDLE_MS, LeaseServer
from peridotcove.models import Instance, LeaseRequest, LifecycleStatus
from peridotcove.nodes.messages import (
    AskLease,
    GiveLease,
    HoldLeases,
    RefuseLease,
    ReleaseLease,
    ShareSuspects,
)
from peridotcove.nodes.network import Network
from peridotcove.outlier_detection import CONSECUTIVE_FAILURES
from peridotcove.timeline import Timeline
from tests.virtual import VirtualClock, run

NAMES = ("n1", "n2", "n3")
CAPACITY = 4
RAW = {
    "revision": 1,
    "zones": {"a": {"region": "r"}},
    "models": {"m": {}},
    "engines": {
        f"e{i}": {"url": f"http://127.0.0.1:{i}", "zone": "a", "model": "m"}
        | {"capacity": CAPACITY}
        for i in (1, 2)
    },
    "customers": {"c": {}},
}
OWNER_MESSAGES = (GiveLease, RefuseLease)
# Limit of the users' rules: load of an engine against the mean of its service.
LIMIT_FACTOR, LIMIT_EXTRA = 2, 3
MAX_SHARE_OVER_LIMIT = 0.03
MEAN_LOAD = 4
KIND_PART, SOUND_PART, DEADLY_PART = 1, 2, 3
# Fewer than the engines, so that the choices of several owners meet on some of them.
CHAT_KEYS = 4
TICK_MS = 20


def make_large_configuration():
    """Return a configuration with as many engines as a deployment of tens of nodes."""
    engine = {"zone": "a", "model": "m", "capacity": 4 * CAPACITY}
    engines = {
        f"e{i}": {"url": f"http://127.0.0.1:{i}", **engine} for i in range(1, 17)
    }
    return RAW | {"engines": engines, "customers": {"c": {"concurrency": 1_000}}}


class LossyNetwork(Network):
    """Delivers messages after the delay of the cluster unless a rule drops them."""

    def __init__(self, node, cluster):
        super().__init__()
        self.node = node
        self.cluster = cluster

    def send(self, peer, message):
        """Deliver or drop a message, or raise if the link is down."""
        if peer in self.cluster.down or self.node in self.cluster.down:
            raise LinkDown(peer)
        if not self.cluster.is_dropped(self.node, peer, message):
            receive = self.cluster.receive_by_node[peer]
            delay_s = self.cluster.delay_ms / 1000
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, receive, self.node, message)


class Cluster:
    """Three nodes that know each other, and the links between them.

    Parameters
    ----------
    raw : dict
        Configuration of the nodes, in its file format.
    names : tuple of str
        Names of the nodes.
    """

    def __init__(self, raw=RAW, names=NAMES):
        self.raw = raw
        self.names = names
        self.down = set()
        self.delay_ms = 0
        self.is_dropped = lambda sender, peer, message: False
        self.receive_by_node = {}
        self.client_by_node = {}
        self.server_by_node = {}
        self.fleet_by_node = {}
        self.timeline_by_node = {}
        for name in names:
            self.add(name)
        for server in self.server_by_node.values():
            server.update_dispatchers()
        self.shard = next(iter(self.fleet_by_node["n1"].shard_by_name))
        self.owners = self.fleet_by_node["n1"].rank_owners(self.shard)
        self.entries = [name for name in names if name not in self.owners[:2]]
        self.entry = self.entries[0]

    def add(self, name):
        """Add a node."""
        fleet, network = FleetView("r"), LossyNetwork(name, self)
        fleet.set_configuration(parse_configuration(self.raw))
        fleet.set_nodes(tuple(Instance(n, "node", "", 1, "a") for n in self.names))
        clock = VirtualClock()
        timeline = Timeline(clock, name)
        server = LeaseServer(name, fleet, network, clock, timeline)
        client = LeaseClient(name, fleet, network, server, clock, timeline)
        server.client = client

        def receive(peer, message):
            owner_side = (AskLease, ReleaseLease, HoldLeases, ShareSuspects)
            part = server if isinstance(message, owner_side) else client
            part.receive(peer, message)

        self.receive_by_node[name] = receive
        self.client_by_node[name] = client
        self.server_by_node[name] = server
        self.fleet_by_node[name] = fleet
        self.timeline_by_node[name] = timeline

    def start_request(
        self,
        number,
        deadline_ms=3000,
        entry=None,
        chat_key=0,
        parts=(),
        excluded=(),
    ):
        """Return a task that requests a lease as an entry node."""
        entry = entry or self.entry
        request_id = number.to_bytes(8, "big")
        request = LeaseRequest(
            request_id,
            entry,
            "c",
            "m",
            parts,
            deadline_ms=deadline_ms,
            chat_key=chat_key,
            part_ends=tuple(range(1, len(parts) + 1)),
            excluded=excluded,
        )
        asking = self.client_by_node[entry].request_lease(self.shard, request)
        return asyncio.ensure_future(asking)

    def silence(self, owner):
        """Drop all messages from and to a node, or none if it is empty."""
        self.is_dropped = lambda sender, peer, message: owner in (sender, peer)

    def update_dispatchers(self):
        """Update the dispatchers of all nodes, as each new revision does."""
        for server in self.server_by_node.values():
            server.update_dispatchers()

    async def tick_forever(self):
        """Run the periodic work of all owners."""
        while True:
            for server in self.server_by_node.values():
                server.tick()
            await asyncio.sleep(TICK_MS / 1000)

    def load(self, owner):
        """Return the number of leases that an owner knows."""
        dispatcher = self.server_by_node[owner].dispatcher_by_shard.get(self.shard)
        return sum(dispatcher.load_by_engine().values()) if dispatcher else 0


class CrashingFleet:
    """A cluster whose engines crash under requests with one part."""

    def __init__(self):
        self.cluster = Cluster(make_large_configuration())
        self.owner = self.cluster.owners[0]
        self.server = self.cluster.server_by_node[self.owner]
        self._number = 0

    async def learn(self):
        """Answer a request, and end the time in which nothing is known yet."""
        grant = await self.request((KIND_PART, SOUND_PART))
        self.release(grant, "done")
        await deliver(LEARNING_MS)

    async def request(self, shared_parts):
        """Request a lease for a prompt with the given parts and one of its own."""
        self._number += 1
        parts = (*shared_parts, 10_000 + self._number)
        return await self.cluster.start_request(self._number, parts=parts)

    def release(self, grant, outcome):
        """Release a lease as the entry node."""
        client = self.cluster.client_by_node[self.cluster.entry]
        client.release(grant.request_id, outcome)

    async def crash(self):
        """Let an engine crash under a request with the deadly part, and others."""
        deadly = await self.request((KIND_PART, DEADLY_PART))
        others = [await self.request((KIND_PART, SOUND_PART)) for _ in range(40)]
        for other in others:
            crashed = other.engine == deadly.engine
            self.release(other, CUT if crashed else "done")
        self.release(deadly, CUT_BEFORE_ANSWER)
        await deliver(2 * CRASH_WINDOW_MS)


async def deliver(ms=0):
    """Wait until messages have been delivered."""
    await asyncio.sleep(ms / 1000 + 0.001)


class LeaseTest(unittest.TestCase):
    """Results at the entry node and leases at the owners, under faults."""

    def test_owner_grants_no_lease_on_an_excluded_engine(self):
        async def request_with_one_allowed(index):
            cluster = Cluster()
            configuration = cluster.fleet_by_node[cluster.entry].configuration
            names = sorted(configuration.engine_by_name)
            excluded = tuple(names[:index] + names[index + 1 :])
            grant = await cluster.start_request(1, excluded=excluded)
            return grant.engine, names[index]

        for index in range(2):
            with self.subTest(index=index):
                found, expected = run(request_with_one_allowed(index))
                self.assertEqual(found, expected)

    def test_lease_is_granted_despite_lost_messages(self):
        lost_kinds_by_fault = {
            "none": (),
            "ask": (AskLease,),
            "answer": OWNER_MESSAGES,
        }
        for fault, lost in lost_kinds_by_fault.items():
            with self.subTest(lost=fault):
                run(self._grant_with_lost_messages(lost))

    async def _grant_with_lost_messages(self, lost):
        cluster = Cluster()
        first = cluster.owners[0]
        cluster.is_dropped = lambda sender, peer, message: (
            first in (sender, peer) and isinstance(message, lost)
        )
        began = VirtualClock().now()
        grant = await cluster.start_request(1)
        waited = VirtualClock().now() - began
        self.assertIn(grant.engine, ("e1", "e2"))
        owner = cluster.owners[1] if lost else first
        self.assertEqual(cluster.load(owner), 1)
        self.assertLessEqual(waited, OWNER_ANSWER_TIMEOUT_MS if lost else 0)
        await deliver()
        self.assertEqual(cluster.load(first), 0 if lost else 1)
        cluster.client_by_node[cluster.entry].release(grant.request_id, "done")
        await deliver()
        self.assertEqual(cluster.load(owner), 0)

    def test_request_is_refused_in_time_if_no_owner_is_reachable(self):
        async def case():
            cluster = Cluster()
            cluster.down = set(cluster.owners[:2])
            with self.assertRaises(RequestRefused) as caught:
                await cluster.start_request(1, deadline_ms=2000)
            self.assertEqual(caught.exception.code, "no-owner")
            self.assertLessEqual(VirtualClock().now(), 2000)

        run(case())

    def test_node_may_grant_locally_while_no_owner_answers(self):
        async def case():
            cluster = Cluster()
            cluster.client_by_node[cluster.entry]._grants_locally = True
            cluster.down = set(cluster.owners[:2])
            grant = await cluster.start_request(1, deadline_ms=2000)
            self.assertIn(grant.engine, ("e1", "e2"))
            self.assertEqual(VirtualClock().now(), 0)
            self.assertEqual(cluster.load(cluster.entry), 1)

        run(case())

    def test_unresponsive_owner_is_tried_last_for_a_while(self):
        async def case():
            cluster = Cluster()
            first = cluster.owners[0]
            cluster.is_dropped = lambda sender, peer, message: peer == first
            waits = []
            for number in (1, 2, 3):
                before = VirtualClock().now()
                await cluster.start_request(number)
                waits.append(VirtualClock().now() - before)
            self.assertEqual(waits, [OWNER_ANSWER_TIMEOUT_MS, 0, 0])
            await deliver(UNRESPONSIVE_OWNER_MS)
            cluster.is_dropped = lambda sender, peer, message: False
            grant = await cluster.start_request(4)
            lease = cluster.client_by_node[cluster.entry].lease_by_id[grant.request_id]
            self.assertEqual(lease.owner, first)
            self.assertEqual(cluster.load(first), 4)

        run(case())

    def test_second_owner_does_not_forget_leases_when_a_revision_comes(self):
        async def case():
            cluster = Cluster()
            cluster.silence(cluster.owners[0])
            grants = [await cluster.start_request(n) for n in range(3)]
            cluster.update_dispatchers()
            self.assertEqual(cluster.load(cluster.owners[1]), len(grants))
            for grant in grants:
                cluster.client_by_node[cluster.entry].release(grant.request_id, "done")
            await deliver()
            self.assertEqual(cluster.load(cluster.owners[1]), 0)

        run(case())

    def test_owner_that_is_asked_instead_counts_the_leases_of_the_other(self):
        async def case():
            cluster = Cluster()
            first, second = cluster.owners[:2]
            grants = [await cluster.start_request(1)]
            cluster.silence(first)
            grants.append(await cluster.start_request(2))
            await deliver()
            self.assertEqual(cluster.load(second), 2)
            cluster.silence("")
            await deliver(UNRESPONSIVE_OWNER_MS)
            grants.append(await cluster.start_request(3))
            await deliver()
            self.assertEqual(cluster.load(first), 3)
            for grant in grants:
                cluster.client_by_node[cluster.entry].release(grant.request_id, "done")
            await deliver()
            self.assertEqual((cluster.load(first), cluster.load(second)), (0, 0))

        run(case())

    def test_second_owner_drops_its_dispatcher_once_nobody_asks_it(self):
        async def case():
            cluster = Cluster()
            first, second = cluster.owners[:2]
            cluster.silence(first)
            await cluster.start_request(1)
            server = cluster.server_by_node[second]
            server.tick()
            self.assertIn(cluster.shard, server.dispatcher_by_shard)
            await deliver(STANDBY_IDLE_MS)
            server.tick()
            self.assertNotIn(cluster.shard, server.dispatcher_by_shard)

        run(case())

    def test_second_owner_that_becomes_the_first_waits_for_announcements(self):
        async def case():
            cluster = Cluster()
            first, second = cluster.owners[:2]
            cluster.silence(first)
            await cluster.start_request(1)
            dispatcher = cluster.server_by_node[second].dispatcher_by_shard[
                cluster.shard
            ]
            await deliver(LEASE_RECOVERY_MS)
            self.assertFalse(dispatcher.is_recovering)
            live = tuple(Instance(n, "node", "", 1, "a") for n in NAMES if n != first)
            cluster.fleet_by_node[second].set_nodes(live)
            cluster.server_by_node[second].update_dispatchers()
            self.assertTrue(dispatcher.is_recovering)
            cluster.client_by_node[cluster.entry].announce_leases()
            self.assertEqual(cluster.load(second), 1)

        run(case())

    def test_load_stays_below_the_limit_while_two_owners_grant(self):
        for seed in range(20):
            with self.subTest(seed=seed):
                run(self._grant_while_first_owner_is_flaky(random.Random(seed)))

    async def _grant_while_first_owner_is_flaky(self, rng):
        cluster = Cluster(make_large_configuration(), NAMES + ("n4", "n5", "n6"))
        engine_count = len(cluster.raw["engines"])
        ticking = asyncio.create_task(cluster.tick_forever())
        await deliver(LEASE_RECOVERY_MS)
        held = []
        for number in range(1_200):
            if not number % 100:
                cluster.silence(cluster.owners[0] if rng.random() < 0.5 else "")
            if not number % 30:
                cluster.update_dispatchers()
            entry = rng.choice(cluster.entries)
            chat_key = rng.randint(1, CHAT_KEYS)
            grant = await cluster.start_request(number, entry=entry, chat_key=chat_key)
            held.append((grant, entry))
            load_by_engine = Counter(item.engine for item, _ in held)
            limit = LIMIT_FACTOR * len(held) / engine_count + LIMIT_EXTRA
            self.assertLessEqual(max(load_by_engine.values()), limit)
            if len(held) > MEAN_LOAD * engine_count:
                ended, entry = held.pop(rng.randrange(len(held)))
                cluster.client_by_node[entry].release(ended.request_id, "done")
            await deliver(10)
        ticking.cancel()

    def test_load_stays_below_the_limit_while_all_nodes_grant_locally(self):
        for seed in range(3):
            with self.subTest(seed=seed):
                run(self._grant_without_owners(random.Random(seed)))

    async def _grant_without_owners(self, rng):
        names = tuple(f"n{number}" for number in range(40))
        cluster = Cluster(make_large_configuration(), names)
        engine_count = len(cluster.raw["engines"])
        cluster.down = set(cluster.owners[:2])
        for client in cluster.client_by_node.values():
            client._grants_locally = True
        held, over_limit = [], 0
        for number in range(1_000):
            entry = rng.choice(cluster.entries)
            chat_key = rng.randint(1, CHAT_KEYS)
            grant = await cluster.start_request(number, entry=entry, chat_key=chat_key)
            load_by_engine = Counter(item.engine for item, _ in held)
            limit = LIMIT_FACTOR * len(held) / engine_count + LIMIT_EXTRA
            over_limit += load_by_engine[grant.engine] > limit
            held.append((grant, entry))
            if len(held) > MEAN_LOAD * engine_count:
                ended, entry = held.pop(rng.randrange(len(held)))
                cluster.client_by_node[entry].release(ended.request_id, "done")
            await deliver(10)
        self.assertLessEqual(over_limit, MAX_SHARE_OVER_LIMIT * 1_000)

    def test_owner_is_not_blamed_for_a_pause_of_the_entry(self):
        async def case():
            cluster = Cluster()
            cluster.delay_ms = 5
            loop = asyncio.get_running_loop()
            loop.call_later(0.004, loop.skip_time, 1.0)
            grant = await cluster.start_request(1)
            client = cluster.client_by_node[cluster.entry]
            lease = client.lease_by_id[grant.request_id]
            self.assertEqual(lease.owner, cluster.owners[0])
            self.assertEqual(client._order_owners(cluster.shard)[0], cluster.owners[0])

        run(case())

    def test_lost_release_is_corrected_by_the_next_announcement(self):
        async def case():
            cluster = Cluster()
            grant = await cluster.start_request(1)
            cluster.is_dropped = lambda sender, peer, message: isinstance(
                message, ReleaseLease
            )
            client = cluster.client_by_node[cluster.entry]
            client.release(grant.request_id, "done")
            await deliver(10_000)
            self.assertEqual(cluster.load(cluster.owners[0]), 1)
            client.announce_leases()
            await deliver()
            self.assertEqual(cluster.load(cluster.owners[0]), 0)

        run(case())

    def test_cancelled_wait_leaves_no_lease(self):
        async def case():
            cluster = Cluster()
            await deliver(3000)
            held = [await cluster.start_request(n) for n in range(2 * CAPACITY)]
            waiting = cluster.start_request(99)
            await deliver()
            waiting.cancel()
            await deliver()
            for grant in held:
                cluster.client_by_node[cluster.entry].release(grant.request_id, "done")
            await deliver()
            self.assertEqual(cluster.load(cluster.owners[0]), 0)

        run(case())

    def test_new_owner_learns_leases_from_announcements(self):
        async def case():
            cluster = Cluster()
            grants = [await cluster.start_request(n) for n in range(3)]
            failed_owner, successor = cluster.owners[:2]
            cluster.down = {failed_owner}
            live = tuple(
                Instance(n, "node", "", 1, "a") for n in NAMES if n != failed_owner
            )
            for name in NAMES:
                cluster.fleet_by_node[name].set_nodes(live)
                cluster.server_by_node[name].update_dispatchers()
            cluster.client_by_node[cluster.entry].announce_leases()
            await deliver()
            self.assertEqual(cluster.load(successor), len(grants))
            for grant in grants:
                cluster.client_by_node[cluster.entry].release(grant.request_id, "done")
            await deliver()
            self.assertEqual(cluster.load(successor), 0)

        run(case())

    def test_dropped_entry_frees_its_leases(self):
        async def case():
            cluster = Cluster()
            await cluster.start_request(1)
            cluster.server_by_node[cluster.owners[0]].drop_entry(cluster.entry)
            self.assertEqual(cluster.load(cluster.owners[0]), 0)

        run(case())

    def test_failing_engine_is_ejected_and_tried_again(self):
        async def case():
            cluster = Cluster()
            server = cluster.server_by_node[cluster.owners[0]]
            client = cluster.client_by_node[cluster.entry]
            broken, engines = "e1", []
            for number in range(40):
                grant = await cluster.start_request(number)
                engines.append(grant.engine)
                outcome = "failed" if grant.engine == broken else "done"
                client.release(grant.request_id, outcome)
                await deliver(100)
                server.tick()
            failures = [i for i, engine in enumerate(engines) if engine == broken]
            self.assertLessEqual(len(failures), CONSECUTIVE_FAILURES + 3)
            self.assertGreater(
                len(failures), CONSECUTIVE_FAILURES, "the engine is never tried again"
            )

        run(case())

    def test_no_engine_is_ejected_while_all_fail(self):
        async def case():
            cluster = Cluster()
            server = cluster.server_by_node[cluster.owners[0]]
            for number in range(20):
                grant = await cluster.start_request(number)
                cluster.client_by_node[cluster.entry].release(
                    grant.request_id, "failed"
                )
                await deliver()
                server.tick()
            await cluster.start_request(99)

        run(case())


class QuarantineTest(unittest.TestCase):
    """Requests with a part that crashes engines."""

    def _run(self, case):
        """Run a test case with a fleet that has quarantined the deadly part."""
        run(self._run_case(case))

    async def _run_case(self, case):
        fleet = CrashingFleet()
        ticking = asyncio.create_task(fleet.cluster.tick_forever())
        try:
            await fleet.learn()
            for _ in range(QUARANTINE_CRASHES):
                await fleet.crash()
            await case(fleet)
        finally:
            ticking.cancel()

    async def _assert_refused(self, fleet):
        with self.assertRaises(RequestRefused) as caught:
            await fleet.request((KIND_PART, DEADLY_PART))
        self.assertEqual(caught.exception.code, QUARANTINED)
        self.assertEqual(caught.exception.status, 503)
        self.assertGreater(caught.exception.retry_after_ms, 0)

    def test_part_that_crashed_engines_is_refused_and_others_are_granted(self):
        async def case(fleet):
            await self._assert_refused(fleet)
            await fleet.request((KIND_PART, SOUND_PART))

        self._run(case)

    def test_quarantine_outlives_the_owner_that_found_it(self):
        async def case(fleet):
            fleet.cluster.down = {fleet.owner}
            await self._assert_refused(fleet)

        self._run(case)

    def test_restarted_owner_learns_the_quarantine_from_the_entries(self):
        async def case(fleet):
            cluster = fleet.cluster
            cluster.silence(fleet.owner)
            await fleet.request((KIND_PART, SOUND_PART))
            cluster.add(fleet.owner)
            cluster.silence("")
            await deliver(UNRESPONSIVE_OWNER_MS)
            await self._assert_refused(fleet)

        self._run(case)

    def test_waiting_request_with_a_quarantined_part_is_refused(self):
        async def case(fleet):
            other = Cluster()
            owner = other.owners[0]
            await deliver(LEASE_RECOVERY_MS)
            for number in range(2 * CAPACITY):
                await other.start_request(number)
            waiting = other.start_request(99, parts=(KIND_PART, DEADLY_PART, 77))
            await deliver()
            self.assertEqual(other.server_by_node[owner].waiting, 1)
            records = ShareSuspects(fleet.server.suspect_sync.suspects.records())
            other.server_by_node[owner].receive(other.entry, records)
            await deliver()
            self.assertEqual(other.server_by_node[owner].waiting, 0)
            with self.assertRaises(RequestRefused) as caught:
                await waiting
            self.assertEqual(caught.exception.code, QUARANTINED)

        self._run(case)

    def test_malformed_suspects_of_a_peer_are_ignored(self):
        async def case(fleet):
            fleet.server.receive("n9", ShareSuspects([["x"]]))
            await self._assert_refused(fleet)

        self._run(case)


class ZonesTest(unittest.TestCase):
    """What owners, and nodes without owners, do with the zone of a request."""

    ZONES = {"a": {"region": "r"}, "b": {"region": "r"}}
    ENGINES = {
        f"{zone}{i}": {
            "url": f"http://127.0.0.1:{i + 10 * (zone == 'b')}",
            "zone": zone,
            "model": "m",
            "capacity": 4 * CAPACITY,
        }
        for zone in "ab"
        for i in range(1, 5)
    }

    def make_cluster(self, **bounds):
        customers = {"c": {"concurrency": 1_000}}
        raw = RAW | {"zones": self.ZONES, "engines": self.ENGINES}
        return Cluster(raw | {"customers": customers, "bounds": bounds})

    def test_node_without_owners_keeps_requests_in_its_zone(self):
        async def find_zones(**bounds):
            cluster = self.make_cluster(**bounds)
            entry = cluster.entry
            server = cluster.server_by_node[entry]
            for number in range(1, 9):
                request_id = number.to_bytes(8, "big")
                ask = AskLease(request_id, cluster.shard, "c", "", b"", 0, "", 1_000, 0)
                server.receive(entry, ask)
            events = cluster.timeline_by_node[entry].events()
            return {one.detail[0] for one in events if one.kind == "lease-granted"}

        self.assertEqual(run(find_zones(zone_traffic=True)), {"a"})
        self.assertEqual(run(find_zones()), {"a", "b"})

    def test_change_of_a_share_is_one_event(self):
        async def record_changes():
            cluster = self.make_cluster(zone_traffic=True)
            owner = cluster.owners[0]
            server = cluster.server_by_node[owner]
            dispatcher = server.dispatcher_by_shard[cluster.shard]
            for one in cluster.names:
                dispatcher.set_held_leases(one, [])
            await deliver(LEASE_RECOVERY_MS)
            engines = [
                evolve(engine, status=LifecycleStatus.LEAVING)
                if engine.zone == "a"
                else engine
                for engine in dispatcher.engines()
            ]
            dispatcher.set_engines(engines)
            for _ in range(100):
                await deliver(TICK_MS)
                server.tick()
            events = cluster.timeline_by_node[owner].events()
            kinds = [event.kind for event in events]
            return kinds.count("zone-share-changed"), dispatcher.zones.describe()

        count, described = run(record_changes())
        self.assertEqual(count, 1)
        zone = described["a"]
        self.assertEqual((zone["may_leave"], zone["reason"]), (1.0, "no-engines"))
        self.assertEqual(
            (described["b"]["may_leave"], described["b"]["reason"]), (0, "")
        )
