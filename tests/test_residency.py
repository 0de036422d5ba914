"""Tests of `peridotcove.residency`, and histories of nodes in several regions.

In the histories owners run an older version or know another configuration, entries are
cut off from the engines, engines fail, and limits change while requests are on their
way. A plain checker judges what engines and relays receive.
"""

import asyncio
import contextlib
import random
import types
import unittest
from unittest import mock

from attrs import evolve
from hypothesis import HealthCheck, Phase, given, settings, strategies
from tornado.httputil import HTTPHeaders

from peridotcove.answer_memory import AnswerMemory
from peridotcove.configuration import parse_configuration
from peridotcove.engine_notices import NO_NOTICE, EngineNotices
from peridotcove.exceptions import EndpointFailed, RequestError, RequestRefused
from peridotcove.forwarding import Forwarder, _RequestState
from peridotcove.forwarding_types import Dialect, ForwardedRequest, ResponseHead
from peridotcove.models import Customer, HostRoute, Instance
from peridotcove.nodes.messages import (
    AskLease,
    ShareOrigins,
    ShareVersions,
    decode,
    encode,
)
from peridotcove.nodes.relay_client import RelayClient
from peridotcove.residency import (
    ANY_REGION,
    OTHER_REGION,
    RegionLimit,
    check_engine,
    find_engines_outside,
    find_region_limit,
    find_serving_regions,
    may_pass_through,
)
from peridotcove.retries import RetryBudget
from peridotcove.verdict import Verdict
from tests.platform.fakes import make_event
from tests.test_leases import Cluster, deliver
from tests.virtual import VirtualClock, run

ANSWER_BYTES = 1 << 20
ZONE_BY_NODE = {"n1": "a", "n2": "b", "n3": "c", "n4": "a", "n5": "b"}
REGION_BY_ZONE = {"a": "east", "b": "west", "c": "north"}
ENGINES = {"e1": "a", "e2": "a", "e3": "b", "e4": "b", "e5": "c", "e6": "c"}
REGIONS = ("east", "west", "north")
ROUTES = ("stream", "lookup", "booking")
DEADLINE_MS = 1_000
DELAY_MS = 3
EVENTS = 4


def make_raw(revision=1, route_regions=(), customer_regions=(), leaving=(), regions=3):
    """Return a configuration of one to three regions."""
    names = REGIONS[:regions]
    zones = {
        zone: {"region": "r", "residency_region": region}
        for zone, region in REGION_BY_ZONE.items()
        if region in names
    }
    engines = {
        name: {
            "url": f"http://127.0.0.1:{port}",
            "zone": zone,
            "model": "m",
            "shares_cache": True,
            "status": "leaving" if name in leaving else "in-service",
        }
        for port, (name, zone) in enumerate(ENGINES.items(), 1)
        if zone in zones
    }
    common = {"host": "h", "targets": [{"model": "m"}], "timeout_ms": DEADLINE_MS}
    common |= {"attempts": 4, "regions": list(route_regions)}
    return {
        "revision": revision,
        "bounds": {"load_bound": 50.0},
        "zones": zones,
        "models": {"m": {}},
        "engines": engines,
        "customers": {"c": {"concurrency": 1_000, "regions": list(customer_regions)}},
        "host_routes": {
            "stream": common | {"prefix": "/s/", "streaming": True, "resumable": True},
            "lookup": common | {"prefix": "/l/", "repeatable": True},
            "booking": common | {"prefix": "/b/"},
        },
    }


class ResidencyTest(unittest.TestCase):
    """The decisions, by the configuration in force."""

    def setUp(self):
        self.configuration = parse_configuration(make_raw())
        self.engine_by_name = self.configuration.engine_by_name

    def find_limit(self, route_regions, customer_regions):
        raw = make_raw(1, route_regions, customer_regions)
        return find_region_limit(
            parse_configuration(raw), HostRoute("lookup", "h"), Customer("c")
        )

    def test_route_and_customer_both_bind(self):
        self.assertIs(self.find_limit((), ()), ANY_REGION)
        for route, customer, expected in (
            (["east"], (), {"east"}),
            ((), ["east", "west"], {"east", "west"}),
            (["east", "west"], ["west", "north"], {"west"}),
            (["east"], ["west"], set()),
        ):
            limit = self.find_limit(route, customer)
            self.assertEqual(limit.regions, expected)
            self.assertEqual(limit.list_regions(), tuple(sorted(expected)))

    def test_an_entry_that_is_gone_counts_as_it_was(self):
        route = HostRoute("gone", "h", regions=("east",))
        limit = find_region_limit(self.configuration, route)
        self.assertEqual(limit.regions, {"east"})

    def test_a_limit_without_a_region_allows_none(self):
        limit = RegionLimit(frozenset())
        outside = find_engines_outside(
            self.configuration, self.engine_by_name.values(), limit
        )
        self.assertEqual(outside, set(ENGINES))

    def test_a_zone_that_is_not_described_is_in_no_limit(self):
        engine = evolve(self.engine_by_name["e1"], zone="unknown")
        limit = RegionLimit(frozenset(("", "east")))
        with self.assertRaises(RequestRefused) as caught:
            check_engine(self.configuration, engine, limit)
        self.assertEqual(caught.exception.code, OTHER_REGION)
        self.assertEqual(caught.exception.verdict, Verdict.NOT_RUN)
        self.assertFalse(may_pass_through(self.configuration, "unknown", limit))
        self.assertTrue(may_pass_through(self.configuration, "unknown", ANY_REGION))

    def test_only_engines_in_service_serve_a_region(self):
        configuration = parse_configuration(make_raw(leaving=("e1", "e3", "e4")))
        regions = find_serving_regions(configuration, ENGINES)
        self.assertEqual(regions, {"east", "north"})

    def test_requests_without_a_limit_cost_no_byte(self):
        ask = AskLease(b"12345678", "s", "c", "", b"", 0, "", 100, 7, 1)
        plain, limited = encode(ask, 1), encode(evolve(ask, regions=["east"]), 1)
        self.assertEqual(decode(plain)[0], ask)
        self.assertEqual(decode(limited)[0].regions, ["east"])
        self.assertNotIn(b"\x80", plain)


class RelayChoiceTest(unittest.TestCase):
    """A relay is asked only if the body may be sent through it."""

    def test_peers_outside_of_the_limit_are_not_asked(self):
        nodes = [Instance(n, "node", "", 1, zone) for n, zone in ZONE_BY_NODE.items()]
        paths, asked = mock.Mock(rank_relays=list), []

        async def answer_nothing(peer, address):
            asked.append(peer.zone)
            raise OSError

        relays = RelayClient(paths, None, lambda: nodes, list, None)
        relays._open = answer_nothing
        with self.assertRaises(EndpointFailed):
            run(relays.connect("127.0.0.1:1", lambda node: node.zone == "b"))
        self.assertEqual(asked, ["b", "b"])


class _PlainDialect(Dialect):
    def write_headers(self, forward, attempt):
        source = "" if attempt.source is None else attempt.source.name
        return [("resume", attempt.resume_after), ("source", source)]

    def read_head(self, forward, status, headers):
        return ResponseHead(status, not_run=status == 503)

    def read_notice(self, status, headers):
        return NO_NOTICE


class _Sink:
    def __init__(self):
        self.started = self.closed = False
        self.transfer = None
        self.events = 0

    def write(self, data):
        self.started = True
        self.events += data.count(b"\n\n")
        return False


class _MemoryClient:
    """Sends requests of one node to engines that live in this process."""

    def __init__(self, node, fleet):
        self.node = node
        self.fleet = fleet

    async def fetch(self, method, url, headers, body, transfer):
        fleet, rng = self.fleet, self.fleet.rng
        number = int(url.rpartition(":")[2].partition("/")[0])
        engine = list(ENGINES)[number - 1]
        if self.node in fleet.cut_off:
            nodes = fleet.fleet_by_node[self.node].nodes
            peers = [one for one in nodes if one.name not in fleet.cut_off]
            peers = list(filter(transfer.may_relay, peers))
            if not peers:
                raise EndpointFailed("no-relay", "no peer", Verdict.NOT_RUN)
            chosen = rng.choice(peers)
            transfer.relay = types.SimpleNamespace(peer=chosen.name, zone=chosen.zone)
        await asyncio.sleep(rng.uniform(0, DELAY_MS) / 1000)
        transfer.before_send()
        transfer.connected = True
        relay = None if transfer.relay is None else transfer.relay.zone
        fleet.record(self.node, body, engine, relay, headers["source"])
        await self.answer(engine, int(body), headers, transfer)

    async def answer(self, engine, number, headers, transfer):
        await asyncio.sleep(DELAY_MS / 1000)
        transfer.headers = HTTPHeaders({"Content-Length": "1"})
        fault = self.fleet.fault_by_engine.get(engine)
        transfer.status = 503 if fault == "refuses" else 200
        if fault == "refuses":
            transfer.on_data(b"no")
            return
        self.fleet.run_numbers.add(number)
        first = int(headers["resume"] or 0) + 1
        last = min(first, EVENTS) if fault == "cuts" else EVENTS
        for event in range(first, last + 1):
            transfer.received_bytes += 1
            transfer.on_data(make_event(event))
        if fault == "cuts":
            raise EndpointFailed("cut", "cut", Verdict.MAY_HAVE_RUN)


class RegionFleet(Cluster):
    """Nodes in three regions, with what engines and relays get of each request.

    Attributes
    ----------
    breaches : list of tuple
        What reached a region that it may not reach.
    outcomes : list of tuple
        Number of each request, and its status or the code of its error.
    run_numbers, refused_numbers : set of int
        Requests that an engine ran, and those whose callers were told "not run".
    """

    def __init__(self, seed=0, regions=3):
        self.rng = random.Random(seed)
        self.regions = regions
        self.breaches, self.outcomes, self.arrivals = [], [], []
        self.run_numbers, self.refused_numbers = set(), set()
        self.cut_off, self.older, self.fault_by_engine = set(), set(), {}
        self.forwarder_by_node, self.raw_by_node, self.client_region_by_id = {}, {}, {}
        self._tasks, self._revision = [], 1
        zones = [zone for zone in REGION_BY_ZONE if self._has(zone)]
        nodes = {n: zone for n, zone in ZONE_BY_NODE.items() if zone in zones}
        self.instances = tuple(
            Instance(n, "node", "", 1, zone) for n, zone in nodes.items()
        )
        super().__init__(make_raw(regions=regions), tuple(nodes))
        self.update_dispatchers()

    def _has(self, zone):
        return REGION_BY_ZONE[zone] in REGIONS[: self.regions]

    def add(self, name):
        """Add a node with its forwarder."""
        super().add(name)
        fleet, client = self.fleet_by_node[name], self.client_by_node[name]
        server, receive = self.server_by_node[name], self.receive_by_node[name]
        fleet.set_nodes(self.instances)
        client._grants_locally = True
        clock = VirtualClock()
        budget = RetryBudget(1.0, 1_000)
        budget.balance = 1_000
        self.raw_by_node[name] = self.raw

        def receive_all(peer, message):
            if isinstance(message, AskLease) and name in self.older:
                message = evolve(message, regions=[])
            shares = isinstance(message, (ShareOrigins, ShareVersions))
            (server.receive if shares else receive)(peer, message)

        self.receive_by_node[name] = receive_all
        self.forwarder_by_node[name] = Forwarder(
            name,
            ZONE_BY_NODE[name],
            fleet,
            client,
            types.SimpleNamespace(check_available=lambda engine: None),
            _MemoryClient(name, self),
            _PlainDialect(),
            clock,
            self.rng,
            mock.MagicMock(),
            mock.MagicMock(),
            types.SimpleNamespace(get=lambda model: budget),
            EngineNotices(clock),
            lambda *notice: None,
            server.stream_origins,
            AnswerMemory(ANSWER_BYTES),
        )

    def configure(self, nodes, route_regions, customer_regions, leaving=()):
        """Put a configuration in force at some nodes."""
        self._revision += 1
        raw = make_raw(
            self._revision, route_regions, customer_regions, leaving, self.regions
        )
        for name in set(nodes) & set(self.names):
            self.raw_by_node[name] = raw
            configuration = parse_configuration(raw)
            self.fleet_by_node[name].set_configuration(configuration)
            self.server_by_node[name].update_dispatchers()

    def send(self, node, route, client_region, resumes=None):
        """Send a request of a client of some region to a node; return its number."""
        number = len(self.client_region_by_id) + 1
        self.client_region_by_id[number] = client_region
        name = self.names[node % len(self.names)]
        found = self.fleet_by_node[name].configuration
        forward = ForwardedRequest(
            str(number),
            number.to_bytes(8, "big"),
            found.host_route_by_name[route],
            found.customer_by_name["c"],
            "POST",
            "/",
            (),
            b"%d" % number,
            VirtualClock().now() + DEADLINE_MS,
            (7, 8, 1_000 + number),
            (2_000, 4_000, 4_001),
            resume_after="" if resumes is None else "1",
            resumes_text="" if resumes is None else str(resumes),
        )
        task = asyncio.ensure_future(self._run(number, name, forward))
        self._tasks.append(task)
        return number

    async def _run(self, number, name, forward):
        try:
            answer = await self.forwarder_by_node[name].run(forward, _Sink())
            self.outcomes.append((number, answer.head.status))
        except RequestError as error:
            self.outcomes.append((number, error.code))
            if error.verdict is Verdict.NOT_RUN:
                self.refused_numbers.add(number)

    def record(self, node, body, engine, relay_zone, source):
        """Judge what an engine, and the node on the way to it, got of a request."""
        number = int(body)
        raw = self.raw_by_node[node]
        lists = [
            raw["host_routes"]["lookup"]["regions"],
            raw["customers"]["c"]["regions"],
        ]
        limits = [set(one) for one in lists if one]

        def is_home(zone):
            return all(REGION_BY_ZONE[zone] in limit for limit in limits)

        self.arrivals.append((number, engine))
        if not is_home(ENGINES[engine]):
            self.breaches.append(("engine", number, engine))
        if source and not is_home(ENGINES[source]):
            self.breaches.append(("source", number, source))
        is_clients = relay_zone and (
            REGION_BY_ZONE[relay_zone] == self.client_region_by_id[number]
        )
        if relay_zone and not is_clients and not is_home(relay_zone):
            self.breaches.append(("relay", number, relay_zone))

    async def finish(self):
        """Wait for the end of all requests."""
        for task in self._tasks:
            await task


def play(history, seed=0, regions=3):
    """Return the fleet after a history."""

    async def run_history():
        fleet = RegionFleet(seed, regions)
        ticking = asyncio.ensure_future(fleet.tick_forever())
        await deliver(1_100)
        for kind, *values in history:
            if kind == "send":
                fleet.send(*values)
            elif kind == "take up":
                fleet.send(values[0], "stream", *values[1:])
            elif kind == "configure":
                fleet.configure(*values)
            elif kind == "fault":
                fleet.fault_by_engine[values[0]] = values[1]
            elif kind == "wait":
                await deliver(values[0])
            else:
                setattr(fleet, kind, set(values[0]))
        await fleet.finish()
        ticking.cancel()
        return fleet

    return run(run_history())


node_numbers = strategies.integers(0, len(ZONE_BY_NODE) - 1)
node_sets = strategies.sets(strategies.sampled_from(sorted(ZONE_BY_NODE)))
region_sets = strategies.lists(strategies.sampled_from(REGIONS), unique=True)
regions_of_clients = strategies.sampled_from(REGIONS)
sends = strategies.tuples(
    strategies.just("send"),
    node_numbers,
    strategies.sampled_from(ROUTES),
    regions_of_clients,
)
steps = strategies.lists(
    strategies.one_of(
        sends,
        sends,
        sends,
        strategies.tuples(
            strategies.just("take up"),
            node_numbers,
            regions_of_clients,
            strategies.integers(1, 4),
        ),
        strategies.tuples(
            strategies.just("configure"),
            node_sets | strategies.just(set(ZONE_BY_NODE)),
            region_sets,
            region_sets,
            strategies.sets(strategies.sampled_from(sorted(ENGINES)), max_size=2),
        ),
        strategies.tuples(strategies.sampled_from(["older", "cut_off"]), node_sets),
        strategies.tuples(
            strategies.just("fault"),
            strategies.sampled_from(sorted(ENGINES)),
            strategies.sampled_from([None, "refuses", "cuts"]),
        ),
        strategies.tuples(
            strategies.just("wait"), strategies.sampled_from([1, 5, 200])
        ),
    ),
    min_size=15,
    max_size=40,
)
find_limit = _RequestState._find_region_limit


def allow_any(self, *args):
    """Allow what the check in place of this would judge."""
    return True


# What is missing, and the kind of breach that it leads to.
NAIVE = {
    "a repeat goes anywhere": (
        "engine",
        (
            _RequestState,
            "_find_region_limit",
            lambda self: ANY_REGION if self.sent_count else find_limit(self),
        ),
    ),
    "a resumed stream goes anywhere": (
        "engine",
        (
            _RequestState,
            "_find_region_limit",
            lambda self: ANY_REGION if self.forward.resume_after else find_limit(self),
        ),
    ),
    "any node relays": ("relay", (_RequestState, "_allows_zone", allow_any)),
    "prefixes are fetched from anywhere": (
        "source",
        (Forwarder, "may_fetch_from", allow_any),
        (_RequestState, "_allows_zone", allow_any),
    ),
    "owners are trusted": ("engine", (_RequestState, "_check_region", allow_any)),
    "the limit of the arrival counts": (
        "engine",
        (
            _RequestState,
            "_find_region_limit",
            lambda self: RegionLimit.from_regions(self.forward.route.regions),
        ),
    ),
}


class RegionHistoriesTest(unittest.TestCase):
    """No request, body or fetched prefix leaves the allowed regions."""

    @given(steps, strategies.integers(0, 1 << 20), strategies.sampled_from([2, 3]))
    @settings(
        max_examples=100,
        deadline=None,
        derandomize=True,
        suppress_health_check=list(HealthCheck),
    )
    def test_nothing_leaves_the_allowed_regions(self, history, seed, regions):
        fleet = play(history, seed, regions)
        self.assertEqual(fleet.breaches, [])
        self.assertEqual(len(fleet.outcomes), len(fleet.client_region_by_id))
        self.assertFalse(fleet.run_numbers & fleet.refused_numbers)

    def test_each_variant_is_found(self):
        for name, (kind, *patches) in NAIVE.items():
            with self.subTest(variant=name), contextlib.ExitStack() as stack:
                for patch in patches:
                    stack.enter_context(mock.patch.object(*patch))
                with self.assertRaisesRegex(AssertionError, kind):
                    self.search(kind)

    def search(self, kind):
        """Raise an `AssertionError` if a history has a breach of a kind."""

        @given(steps, strategies.integers(0, 1 << 20))
        @settings(
            max_examples=400,
            deadline=None,
            derandomize=True,
            phases=[Phase.generate],
            suppress_health_check=list(HealthCheck),
        )
        def find_breach(history, seed):
            assert kind not in {one for one, *_ in play(history, seed).breaches}, kind

        find_breach()

    # The header that names the source was written before the connection was there.
    def test_a_limit_that_is_tightened_during_the_connect_binds_the_fetch_source(self):
        everywhere, west = set(ZONE_BY_NODE), ("e3", "e4")
        sends = [("send", n, "lookup", "east") for n in range(5)]
        history = [
            ("configure", everywhere, ["west"], []),
            *sends,
            ("wait", 200),
            ("configure", everywhere, [], [], west),
            *sends,
            ("wait", 1),
            ("configure", everywhere, ["east", "north"], [], west),
        ]
        for seed in range(10):
            fleet = play(history, seed)
            self.assertEqual(fleet.breaches, [])
            self.assertEqual({code for _, code in fleet.outcomes}, {200})

    def test_requests_are_served_in_their_regions(self):
        sends = [("send", n, route, "east") for n in range(5) for route in ROUTES]
        everywhere = ("configure", set(ZONE_BY_NODE), ["west"], ["west", "north"])
        for older in ((), ZONE_BY_NODE):
            with self.subTest(older=list(older)):
                fleet = play([("older", older), everywhere, *sends, ("wait", 200)])
                self.assertEqual({code for _, code in fleet.outcomes}, {200})
                engines = {engine for _, engine in fleet.arrivals}
                self.assertEqual(engines, {"e3", "e4"})

    def test_requests_that_wait_are_refused_when_their_region_loses_its_engines(self):
        everywhere = set(ZONE_BY_NODE)
        history = [
            ("configure", everywhere, ["west"], []),
            ("send", 0, "lookup", "east"),
            ("wait", 1),
            ("configure", everywhere, ["west"], [], ("e3", "e4")),
        ]
        with mock.patch("peridotcove.engine_loads.EngineLoad.has_free_slot") as free:
            free.return_value = False
            fleet = play(history)
        self.assertEqual(fleet.outcomes, [(1, "no-region")])
