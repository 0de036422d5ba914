"""Tests of `peridotcove.platform.configuration_client`: odd content of the store."""

import asyncio
import json
import random
import unittest
from unittest import mock

from hypothesis import given

from peridotcove.clock import Clock
from peridotcove.nodes.configuration_messages import AskConfiguration
from peridotcove.nodes.messages import decode, encode
from peridotcove.revisions import Revisions
from tests.platform.fakes import (
    KEY,
    MemoryHttp,
    StoreStandin,
    make_document,
    make_route,
)
from tests.platform.odd_values import (
    ODD_SEQUENCES,
    encode_entry,
    make_odd_entries,
    make_odd_items,
)
from tests.platform.test_restored_store import SERVER, make_client

GOOD_SERVER = SERVER | {"version": "v1", "addr": "127.0.0.1:8001"}
ODD_SERVER = SERVER | {"version": "v1"}
GOOD_TENANT = {"name": "bakery", "api_keys": [KEY], "priority": 1}
ODD_TENANT = {"name": "odd", "api_keys": ["k2"], "priority": 2}
LONE_SURROGATE = "\ud800"


class OddContentTest(unittest.TestCase):
    """An entry that can't be read costs itself alone, at the reader and its peers."""

    def setUp(self):
        self.store = StoreStandin()
        self.client = make_client(MemoryHttp(self.store))
        self.reader = Revisions(Clock(), mock.Mock())
        self.peer = Revisions(Clock(), random.Random(1))
        self.put_version(7)
        self.store.put("servers/good", GOOD_SERVER)
        self.update()

    def put_version(self, version, *routes, tenants=()):
        route = make_route(f"v{version}", "idempotent")
        tenants = [GOOD_TENANT, *tenants]
        document = make_document(route, *routes, version=version, tenants=tenants)
        self.store.put("op/config", encode_entry(document))

    def update(self):
        """Read the store, and send what is new from the reader to its peer."""
        call = self.client.read_manifest(self.reader.revision, 0)
        manifest = asyncio.run(call)
        self.reader.apply_manifest(manifest, manifest.data_by_name)
        questions = [AskConfiguration(self.peer.revision)]
        while questions:
            for answer in self.reader.receive("n2", questions.pop()):
                message, _ = decode(encode(answer.message, self.reader.revision))
                sent = self.peer.receive("n1", message)
                questions += [one.message for one in sent]

    def check_in_force(self, version):
        """Check that the newest version is in force, and return the configuration."""
        found = self.peer.current()
        self.assertEqual(self.peer.revision, self.reader.revision)
        self.assertEqual(found, self.reader.current())
        self.assertIn(f"v{version}", found.host_route_by_name)
        self.assertIn("good", found.engine_by_name)
        self.assertIn("bakery", found.customer_by_name)
        return found

    # An entry whose text can't be encoded stopped all changes of the configuration.
    def test_server_entry_that_is_no_utf8_names_no_server(self):
        data = json.dumps(ODD_SERVER).encode()
        for version, sequence in enumerate(ODD_SEQUENCES, 8):
            for text in (b"v1", b'"version"', b"127.0.0.1:8000", b"z1", b"ready"):
                entry = data.replace(text, text[:1] + sequence + text[1:])
                with self.subTest(sequence=sequence, text=text):
                    self.store.put("servers/odd", entry)
                    self.put_version(version)
                    self.update()
                    found = self.check_in_force(version)
                    self.assertEqual(list(found.engine_by_name), ["good"])

    def test_server_entry_with_a_lone_surrogate_names_no_server(self):
        for version, field in enumerate(ODD_SERVER, 8):
            with self.subTest(field=field):
                self.store.put("servers/odd", ODD_SERVER | {field: LONE_SURROGATE})
                self.put_version(version)
                self.update()
                found = self.check_in_force(version)
                self.assertEqual(list(found.engine_by_name), ["good"])

    def test_lone_surrogate_in_an_unused_field_costs_nothing(self):
        self.store.put("servers/odd", ODD_SERVER | {"more": LONE_SURROGATE})
        self.update()
        self.assertEqual(set(self.check_in_force(7).engine_by_name), {"good", "odd"})

    def test_tenant_with_a_lone_surrogate_costs_itself_alone(self):
        tenant = ODD_TENANT | {"name": f"a{LONE_SURROGATE}"}
        self.put_version(8, tenants=[tenant])
        self.update()
        self.assertEqual(list(self.check_in_force(8).customer_by_name), ["bakery"])

    def test_route_with_a_lone_surrogate_costs_itself_alone(self):
        for version, (field, value) in enumerate(
            [("host", LONE_SURROGATE), ("prefix", f"/{LONE_SURROGATE}/")], 8
        ):
            with self.subTest(field=field):
                self.put_version(version, make_route("odd", "stream", **{field: value}))
                self.update()
                found = self.check_in_force(version)
                self.assertEqual(list(found.host_route_by_name), [f"v{version}"])

    def test_odd_keys_cost_nothing(self):
        keys = ("servers/", "op/evacuate/", "op/", "")
        for version, prefix in enumerate(keys, 8):
            with self.subTest(prefix=prefix):
                self.store.put(f"{prefix}{LONE_SURROGATE}", ODD_SERVER)
                self.put_version(version)
                self.update()
                found = self.check_in_force(version)
                self.assertEqual(list(found.engine_by_name), ["good"])

    @given(make_odd_entries(ODD_SERVER))
    def test_any_entry_leaves_the_others(self, odd):
        self.setUp()
        self.store.put("servers/odd", encode_entry(odd))
        self.put_version(8)
        self.update()
        self.check_in_force(8)

    @given(make_odd_items(make_route("odd", "stream")), make_odd_items(ODD_TENANT))
    def test_any_route_and_tenant_leave_the_others(self, route, tenant):
        self.setUp()
        self.put_version(8, route, tenants=[tenant])
        self.update()
        self.check_in_force(8)
