"""Tests of `peridotcove.zone_evacuations`."""

import asyncio
import logging
import unittest
from unittest import mock

from attrs import evolve
from hypothesis import HealthCheck, Phase, settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from peridotcove import zone_evacuations
from peridotcove.clock import Clock
from peridotcove.configuration import parse_configuration
from peridotcove.exceptions import PlatformDown
from peridotcove.models import LifecycleStatus
from peridotcove.nodes.configuration_messages import AskConfiguration
from peridotcove.platform import store, translation
from peridotcove.platform.configuration_client import StoreConfigurationClient
from peridotcove.platform.settings import StoreSettings
from peridotcove.revision_numbers import get_count
from peridotcove.revisions import Revisions
from peridotcove.zone_evacuations import (
    find_evacuated_engines,
    find_evacuated_zones,
    find_unserved_models,
    withhold_evacuated,
)
from tests.fakes import count_history
from tests.platform.fakes import MemoryHttp, StoreStandin, make_document, make_route

ZONES = ("z1", "z2", "elsewhere")
SERVERS = ("s1", "s2", "s3", "s4")
NODES = ("n1", "n2", "n3")
SETTINGS = StoreSettings("", {"z1": "r", "z2": "r"}, 2.0, 0.2, 50)
STEPS = 25
RAW = {
    "revision": 1,
    "zones": {"a": {"region": "r", "evacuated": True}, "b": {"region": "r"}},
    "models": {"m": {}, "only-a": {}},
    "engines": {
        "e1": {"url": "http://127.0.0.1:1", "zone": "a", "model": "m"},
        "e2": {"url": "http://127.0.0.1:2", "zone": "b", "model": "m"},
        "e3": {"url": "http://127.0.0.1:3", "zone": "a", "model": "only-a"},
        "e4": {"url": "http://127.0.0.1:4", "zone": "a", "model": "m"}
        | {"status": "on-order"},
    },
    "services": {
        "s": {
            "endpoints": [
                {"name": "p1", "url": "http://127.0.0.1:5", "zone": "a"},
                {"name": "p2", "url": "http://127.0.0.1:6", "zone": "b"},
            ]
        }
    },
}
logging.getLogger("peridotcove").setLevel(logging.CRITICAL)


class ZoneEvacuationsTest(unittest.TestCase):
    """Servers of evacuated zones get no new work, on both interfaces."""

    def test_servers_of_evacuated_zones_are_withheld(self):
        configuration = parse_configuration(RAW)
        withheld = withhold_evacuated(configuration)
        statuses = {
            name: engine.status.value
            for name, engine in withheld.engine_by_name.items()
        }
        expected = {"e1": "leaving", "e2": "in-service", "e3": "leaving"}
        self.assertEqual(statuses, expected | {"e4": "on-order"})
        endpoints = withheld.service_by_name["s"].endpoints
        self.assertEqual(
            [one.status.value for one in endpoints], ["leaving", "in-service"]
        )
        self.assertEqual(find_evacuated_zones(configuration), ["a"])
        self.assertEqual(find_evacuated_engines(configuration), ["e1", "e3", "e4"])
        self.assertEqual(find_unserved_models(configuration), ["only-a"])

    def test_without_an_evacuation_the_configuration_is_unchanged(self):
        zones = {name: {"region": "r"} for name in "ab"}
        configuration = parse_configuration(RAW | {"zones": zones})
        self.assertIs(withhold_evacuated(configuration), configuration)
        self.assertEqual(find_evacuated_engines(configuration), [])
        self.assertEqual(find_unserved_models(configuration), [])


class EvacuationHistories(RuleBasedStateMachine):
    """Readers and peers of a store in which zones are evacuated and restored."""

    @initialize()
    def start(self):
        count_history("evacuated zones are those of the revision in force")
        self.store = StoreStandin()
        self.store.put("op/config", make_document(make_route("r", "idempotent")))
        self.http_by_node, self.client_by_node, self.revisions_by_node = {}, {}, {}
        for node in NODES:
            self.restart(node)
        # What the rule says, by revision of the store: evacuated zones, and servers.
        self.expected_by_count = {}
        self.evacuated, self.zone_by_server = set(), {}
        self.note()

    def note(self):
        content = frozenset(self.evacuated - {"elsewhere"}), dict(self.zone_by_server)
        self.expected_by_count[self.store.revision] = content

    @rule(zone=strategies.sampled_from(ZONES))
    def evacuate(self, zone):
        self.store.put(f"op/evacuate/{zone}", b"")
        self.evacuated.add(zone)
        self.note()

    @rule(zone=strategies.sampled_from(ZONES))
    def end_evacuation(self, zone):
        self.store.drop(f"op/evacuate/{zone}")
        self.evacuated.discard(zone)
        self.note()

    @rule(
        server=strategies.sampled_from(SERVERS), zone=strategies.sampled_from(ZONES[:2])
    )
    def start_server(self, server, zone):
        port = 8000 + SERVERS.index(server)
        entry = {"service": "llm", "addr": f"127.0.0.1:{port}", "zone": zone}
        self.store.put(f"servers/{server}", entry | {"slots": 4, "state": "ready"})
        self.zone_by_server[server] = zone
        self.note()

    @rule(server=strategies.sampled_from(SERVERS))
    def end_server(self, server):
        self.store.drop(f"servers/{server}")
        self.zone_by_server.pop(server, None)
        self.note()

    @rule()
    def compact(self):
        self.store.compacted_revision = self.store.revision

    @rule(node=strategies.sampled_from(NODES), is_down=strategies.booleans())
    def cut(self, node, is_down):
        self.http_by_node[node].is_down = is_down

    @rule(node=strategies.sampled_from(NODES))
    def restart(self, node):
        http = self.http_by_node[node] = MemoryHttp(self.store)
        with mock.patch("peridotcove.platform.store.CurlClient", lambda **_: http):
            self.client_by_node[node] = StoreConfigurationClient(SETTINGS)
        self.revisions_by_node[node] = Revisions(Clock(), mock.Mock())

    @rule(node=strategies.sampled_from(NODES))
    def read(self, node):
        revisions, client = self.revisions_by_node[node], self.client_by_node[node]
        try:
            manifest = asyncio.run(client.read_manifest(revisions.revision, 0))
        except PlatformDown:
            return
        if manifest is not None:
            revisions.apply_manifest(manifest, manifest.data_by_name)

    @rule(node=strategies.sampled_from(NODES), peer=strategies.sampled_from(NODES))
    def fetch_from_peer(self, node, peer):
        revisions, source = self.revisions_by_node[node], self.revisions_by_node[peer]
        if source.revision <= revisions.revision:
            return
        pending = source.receive(node, AskConfiguration(revisions.revision))
        while pending:
            replies = [
                reply
                for item in pending
                for reply in revisions.receive(peer, item.message)
            ]
            pending = [
                answer
                for reply in replies
                for answer in source.receive(node, reply.message)
            ]

    @invariant()
    def withheld_engines_are_those_of_evacuated_zones(self):
        for revisions in getattr(self, "revisions_by_node", {}).values():
            if not revisions.revision:
                continue
            evacuated, zone_by_server = self.expected_by_count[
                get_count(revisions.revision)
            ]
            used = zone_evacuations.withhold_evacuated(revisions.current())
            found = {
                name: engine.status is LifecycleStatus.IN_SERVICE
                for name, engine in used.engine_by_name.items()
            }
            expected = {
                name: zone not in evacuated for name, zone in zone_by_server.items()
            }
            assert found == expected, (found, expected)


EvacuationHistories.TestCase.settings = settings(stateful_step_count=STEPS)
EvacuationHistoriesTest = EvacuationHistories.TestCase


def apply_without_removals(items, changes):
    """Apply changes of the store as if evacuations never ended."""
    kept = {key: item for key, item in items.items() if "evacuate" in key}
    apply_changes(items, changes)
    items.update(kept)


def withhold_first_zone(configuration):
    """Withhold the servers of one evacuated zone only."""
    zones = find_evacuated_zones(configuration)[:1]
    engines = configuration.engine_by_name.items()
    if not zones:
        return configuration
    withheld = withhold_evacuated(configuration).engine_by_name
    chosen = {
        name: withheld[name] if engine.zone in zones else engine
        for name, engine in engines
    }
    return evolve(configuration, engine_by_name=chosen)


apply_changes = store._apply_changes
make_zones = translation._make_zones


def make_no_second_zone(item_by_key, zones):
    """Read evacuations only while one zone is evacuated."""
    made = make_zones(item_by_key, zones)
    if sum("evacuated" in raw for raw in made.values()) > 1:
        return {zone: {"region": raw["region"]} for zone, raw in made.items()}
    return made


FAULTY = {
    "evacuations never end": (store, "_apply_changes", apply_without_removals),
    "one zone is withheld": (
        zone_evacuations,
        "withhold_evacuated",
        withhold_first_zone,
    ),
    "two evacuations cancel each other": (
        translation,
        "_make_zones",
        make_no_second_zone,
    ),
}


class FaultyVariantsTest(unittest.TestCase):
    """Histories find the fault of each variant."""

    def test_each_variant_is_found(self):
        phases = settings(
            stateful_step_count=STEPS,
            phases=[Phase.generate],
            max_examples=3_000,
            suppress_health_check=list(HealthCheck),
        )
        for name, (module, function, variant) in FAULTY.items():
            with (
                self.subTest(variant=name),
                mock.patch.object(module, function, variant),
                self.assertRaises(AssertionError),
            ):
                run_state_machine_as_test(EvacuationHistories, settings=phases)
