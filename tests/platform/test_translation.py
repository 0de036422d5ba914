"""Tests of `peridotcove.platform.translation`."""

import functools
import hashlib
import json
import unittest

from attrs import evolve
from hypothesis import given

from peridotcove.cold_engines import MAX_COLD_MS
from peridotcove.configuration import parse_configuration
from peridotcove.models import LifecycleStatus
from peridotcove.ownership import compute_shards
from peridotcove.platform.document import parse_document
from peridotcove.platform.settings import StoreSettings
from peridotcove.platform.store import StoreItem
from peridotcove.platform.translation import MAX_VERSION_CHARS, REGION, translate
from tests.platform.fakes import KEY, make_document, make_route
from tests.platform.odd_values import encode_entry, make_odd_entries

STORE = StoreSettings("", {"z1": "r"}, 2.0, 0.2, 50)
DEEP = functools.reduce(lambda inner, _: [inner], range(60), 0)
ENTRY = {
    "service": "llm",
    "addr": "127.0.0.1:8000",
    "zone": "z1",
    "slots": 64,
    "state": "ready",
}


def make_items(document, **entries):
    items = {"op/config": StoreItem(1, 1, json.dumps(document).encode())}
    for created, (name, entry) in enumerate(entries.items(), 2):
        value = entry if isinstance(entry, bytes) else json.dumps(entry).encode()
        items[f"servers/{name}"] = StoreItem(created, created, value)
    return items


def make_configuration(document, **entries):
    items = make_items(document, **entries)
    raw = translate(parse_document(items["op/config"]), items, STORE)
    return parse_configuration({"revision": 1, **raw})


class TranslationTest(unittest.TestCase):
    """The operator's document and the servers' entries become a configuration."""

    def test_bounds_of_zones_are_in_it_only_if_the_settings_have_them(self):
        names = {"zone_traffic", "zone_crossing_ms", "zone_kilobyte_ms"}
        for values in ({}, {"zone_traffic": False, "zone_crossing_ms": 9.0}):
            with self.subTest(values=values):
                store = evolve(STORE, zone_bounds=values)
                items = make_items(make_document())
                document = parse_document(items["op/config"])
                bounds = translate(document, items, store)["bounds"]
                found = {name: bounds[name] for name in names & bounds.keys()}
                self.assertEqual(found, values)

    def test_routes(self):
        split = [{"service": "llm", "weight": 90}, {"service": "llm", "weight": 10}]
        document = make_document(
            make_route("a", "stream", resumable=True),
            make_route("b", "idempotent", public=True),
            make_route("c", "non_idempotent", split=split, attempts=1),
        )
        routes = make_configuration(document).host_route_by_name
        kinds = {
            name: (one.repeatable, one.streaming, one.resumable, one.public)
            for name, one in routes.items()
        }
        expected = {
            "a": (False, True, True, False),
            "b": (True, False, False, True),
            "c": (False, False, False, False),
        }
        self.assertEqual(kinds, expected)
        self.assertEqual([one.weight for one in routes["c"].targets], [90, 10])
        self.assertEqual(routes["c"].attempts, 1)

    def test_keys_are_kept_as_digests(self):
        customer = make_configuration(make_document()).customer_by_name["bakery"]
        digest = hashlib.sha256(KEY.encode()).hexdigest()
        self.assertEqual(customer.key_digests, (digest,))

    def test_times_for_which_servers_are_cold(self):
        cases = [
            # value of the entry, time in ms; None if the entry names no server
            (0, 0),
            (1.5, 2),
            (8_000, 8_000),
            (MAX_COLD_MS, MAX_COLD_MS),
            (MAX_COLD_MS + 1, MAX_COLD_MS),
            (10**30, MAX_COLD_MS),
            (-1, None),
            (float("inf"), None),
            ("8000", None),
            (True, None),
            (None, None),
            ([8], None),
        ]
        for value, expected in cases:
            with self.subTest(value=value):
                entry = encode_entry(ENTRY | {"cold_left_ms": value})
                engines = make_configuration(make_document(), one=entry).engine_by_name
                found = engines["one"].cold_ms if engines else None
                self.assertEqual(found, expected)
        engines = make_configuration(make_document(), one=ENTRY).engine_by_name
        self.assertEqual(engines["one"].cold_ms, 0)

    def test_rates_of_cold_servers(self):
        cases = [
            (12, 12.0),
            (0.5, 0.5),
            (10**9, 1e6),
            (0, 0.0),
            (-1, 0.0),
            ("12", 0.0),
            (True, 0.0),
            (None, 0.0),
        ]
        for value, expected in cases:
            with self.subTest(value=value):
                service = {"name": "llm", "cold_per_s": value}
                configuration = make_configuration(make_document(services=[service]))
                self.assertEqual(configuration.model_by_name["llm"].cold_rate, expected)

    def test_software_versions(self):
        cases = [
            ("v1", "v1"),
            ("", ""),
            ("x" * MAX_VERSION_CHARS, "x" * MAX_VERSION_CHARS),
            ("x" * (MAX_VERSION_CHARS + 1), None),
            (1, None),
            (None, None),
            (["v1"], None),
        ]
        for value, expected in cases:
            with self.subTest(value=str(value)[:10]):
                entry = ENTRY | {"version": value}
                engines = make_configuration(make_document(), one=entry).engine_by_name
                found = engines["one"].software_version if engines else None
                self.assertEqual(found, expected)

    def test_states(self):
        engines = make_configuration(
            make_document(),
            one=ENTRY,
            two=ENTRY | {"addr": "127.0.0.1:8001", "state": "draining"},
        ).engine_by_name
        self.assertIs(engines["one"].status, LifecycleStatus.IN_SERVICE)
        self.assertIs(engines["two"].status, LifecycleStatus.LEAVING)

    def test_invalid_entries_are_ignored(self):
        wrong = {
            "bytes": b"\xff{",
            "list": b"[]",
            "no-address": {k: v for k, v in ENTRY.items() if k != "addr"},
            "address": ENTRY | {"addr": 7},
            "port": ENTRY | {"addr": "127.0.0.1:99999"},
            "state": ENTRY | {"state": "asleep"},
            "state-type": ENTRY | {"state": ["ready"]},
            "service": ENTRY | {"service": "unknown"},
            "zone": ENTRY | {"zone": "unknown"},
            "slots": ENTRY | {"slots": "64"},
            "no-slots": ENTRY | {"slots": 0},
            # Deep values ended the task that read the store.
            "brackets": b"[" * 4_000,
            "more-brackets": b"[" * 100_000,
            "deep-field": json.dumps(ENTRY).encode()[:-1]
            + b', "more": '
            + b"[" * 900
            + b"]" * 900
            + b"}",
            "deep-slots": ENTRY | {"slots": DEEP},
            "deep-service": ENTRY | {"service": DEEP},
            "deep-address": ENTRY | {"addr": DEEP},
        }
        for name, entry in wrong.items():
            with self.subTest(entry=name):
                engines = make_configuration(make_document(), bad=entry, good=ENTRY)
                self.assertEqual(list(engines.engine_by_name), ["good"])

    def test_a_malformed_entry_does_not_invalidate_the_configuration(self):
        good = ENTRY | {"addr": "127.0.0.1:8001"}
        cases = [
            # key, changed fields
            ("bad", {"addr": "host:80"}),
            ("bad", {"addr": "1.2.3:80"}),
            ("bad", {"addr": " 127.0.0.1:80"}),
            ("bad", {"addr": "127.0.0.1/x:80"}),
            ("bad", {"slots": True}),
            ("bad", {"slots": 10**30}),
            ("bad", {"slots": 1.5}),
            ("", {}),
            ("a b", {}),
            ("x" * 65, {}),
        ]
        for name, fields in cases:
            with self.subTest(key=name, fields=fields):
                # An equal value of another type may have been checked before.
                make_configuration(make_document(), bad=ENTRY | {"slots": 1})
                entries = {name: ENTRY | fields, "good": good}
                found = make_configuration(make_document(), **entries)
                self.assertEqual(list(found.engine_by_name), ["good"])

    # An odd entry of another writer ended the processes of other operators' systems.
    @given(make_odd_entries(ENTRY))
    def test_any_entry_leaves_the_others(self, odd):
        good = ENTRY | {"addr": "127.0.0.1:8001"}
        found = make_configuration(make_document(), good=good, odd=encode_entry(odd))
        self.assertEqual(found.engine_by_name["good"].url, "http://127.0.0.1:8001")
        other = found.engine_by_name.get("odd")
        self.assertTrue(other is None or 0 < other.capacity <= 100_000)

    def test_a_start_time_of_another_type_or_range_is_unknown(self):
        for born in (True, "5", 1.5, None, -1, 2**53, 10**400):
            with self.subTest(born=born):
                found = make_configuration(make_document(), good=ENTRY | {"born": born})
                self.assertEqual(found.engine_by_name["good"].incarnation, 0)

    def test_an_address_belongs_to_its_newest_server(self):
        engines = make_configuration(
            make_document(), old=ENTRY, new=ENTRY
        ).engine_by_name
        self.assertEqual(list(engines), ["new"])

    def test_servers_of_a_service_have_one_owner(self):
        document = make_document(make_route("chat", "stream"))
        entries = {
            f"i-{number}": ENTRY | {"addr": f"127.0.0.1:{8000 + number}"}
            for number in range(100)
        }
        shards = compute_shards(make_configuration(document, **entries), REGION)
        self.assertEqual([len(shard.engines) for shard in shards], [100])
