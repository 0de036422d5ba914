"""Tests of `peridotcove.platform.document`."""

import hashlib
import json
import unittest

from hypothesis import given

from peridotcove.configuration import parse_configuration
from peridotcove.exceptions import PlatformDown
from peridotcove.platform.document import make_name, parse_document
from peridotcove.platform.store import StoreItem
from tests.platform.fakes import KEY, make_document, make_route
from tests.platform.odd_values import ODD_BYTES, encode_entry, make_odd_items

GOOD_ROUTE = make_route("good", "stream")
GOOD_TENANT = {"name": "bakery", "api_keys": [KEY], "priority": 1}


def digest(key):
    return hashlib.sha256(key.encode("utf-8", "surrogatepass")).hexdigest()


def parse(document):
    return parse_document(StoreItem(5, 5, encode_entry(document)))


def make_configuration(*routes, tenants=(GOOD_TENANT,), **changes):
    """Return the valid configuration of a document."""
    document = make_document(*routes, tenants=list(tenants), **changes)
    sections = parse(document).sections
    return parse_configuration({"revision": 1, **json.loads(json.dumps(sections))})


class ParseDocumentTest(unittest.TestCase):
    """What is odd costs its entry, or is moved into its range."""

    def test_what_is_no_document_is_an_error(self):
        for value in (
            *ODD_BYTES,
            {"routes": []},
            {"services": [], "routes": 7},
            make_document(version="8"),
            make_document(version=-1),
            make_document(version=True),
        ):
            with self.subTest(value=str(value)[:40]), self.assertRaises(PlatformDown):
                parse(value)

    # One value out of range refused the whole configuration, at all nodes.
    def test_values_out_of_range_are_moved_into_it(self):
        for field, value, expected in (
            ("priority", 10, 9),
            ("priority", 10**30, 9),
            ("priority", -1, 0),
            ("priority", "3", 5),
            ("priority", 3.0, 3),
            ("attempts", 0, 1),
            ("attempts", 1_000, 100),
            ("timeout_ms", 0, 1),
            ("timeout_ms", 10**12, 86_400_000),
            ("goal_ms", 0, 1),
            ("goal_ms", None, 1_000),
        ):
            with self.subTest(field=field, value=value):
                with (
                    self.assertLogs("peridotcove.store")
                    if value != 3.0
                    else (self.assertNoLogs("peridotcove.store"))
                ):
                    found = make_configuration(
                        make_route("a", "stream", **{field: value})
                    )
                route = found.host_route_by_name["a"]
                self.assertEqual(getattr(route, field), expected)
        tenant = GOOD_TENANT | {"priority": 12}
        found = make_configuration(GOOD_ROUTE, tenants=[tenant])
        self.assertEqual(found.customer_by_name["bakery"].priority, 9)

    def test_unusable_entries_cost_themselves_alone(self):
        for route in (
            make_route("a", "other"),
            make_route("a", "stream", service="unknown"),
            make_route("a", "stream", prefix="no-slash"),
            make_route("a", "stream", timeout_ms="soon"),
            make_route("a", "stream", host=7),
            make_route("a", "stream", split=[{"service": "llm", "weight": 0}]),
            {"name": "a"},
            make_route("good", "idempotent"),
            "a",
        ):
            with (
                self.subTest(route=route),
                self.assertLogs("peridotcove.store", "ERROR") as logged,
            ):
                found = make_configuration(GOOD_ROUTE, route)
                self.assertEqual(list(found.host_route_by_name), ["good"])
                self.assertTrue(found.host_route_by_name["good"].streaming)
                self.assertIn("is ignored", logged.output[-1])

    def test_odd_names_are_sent_as_they_are(self):
        for name in ("a b", "Bäckerei", "x" * 100, "-", "蛋糕"):
            tenant = GOOD_TENANT | {"name": name}
            with self.subTest(name=name):
                route = GOOD_ROUTE | {"name": name}
                found = make_configuration(route, tenants=[tenant])
                (customer,) = found.customer_by_name.values()
                self.assertEqual(
                    (customer.name, customer.label), (make_name(name), name)
                )
                self.assertEqual(customer.key_digests, (digest(KEY),))
                self.assertEqual(list(found.host_route_by_name), [make_name(name)])

    def test_name_that_can_not_be_sent_is_ignored(self):
        for name in ("a\r\nX-Tenant: b", "", "\x7f"):
            tenants = [GOOD_TENANT, {"name": name, "api_keys": ["k2"]}]
            with self.subTest(name=name):
                found = make_configuration(GOOD_ROUTE, tenants=tenants)
                self.assertEqual(list(found.customer_by_name), ["bakery"])

    def test_repeated_keys_belong_to_the_first_customer(self):
        tenants = [
            {"name": "one", "api_keys": ["k1", "k1", "k2"]},
            {"name": "two", "api_keys": ["k2", "k3"]},
        ]
        with self.assertLogs("peridotcove.store", "ERROR") as logged:
            found = make_configuration(GOOD_ROUTE, tenants=tenants)
        keys = {
            name: customer.key_digests
            for name, customer in found.customer_by_name.items()
        }
        expected = {"one": (digest("k1"), digest("k2")), "two": (digest("k3"),)}
        self.assertEqual(keys, expected)
        self.assertNotIn("k2", logged.output[0])

    @given(make_odd_items(make_route("odd", "stream")))
    def test_any_route_leaves_the_others(self, odd):
        found = make_configuration(GOOD_ROUTE, odd)
        self.assertIn("good", found.host_route_by_name)

    @given(make_odd_items({"name": "odd", "api_keys": ["k2"], "priority": 2}))
    def test_any_tenant_leaves_the_others(self, odd):
        found = make_configuration(GOOD_ROUTE, tenants=[GOOD_TENANT, odd])
        self.assertEqual(found.customer_by_name["bakery"].key_digests, (digest(KEY),))
