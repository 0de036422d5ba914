"""Tests that checking a change finds the same faults as checking the whole."""

import unittest

from attrs import evolve

from peridotcove.configuration import parse_configuration
from peridotcove.configuration_checks import find_faults
from peridotcove.models import (
    Customer,
    Endpoint,
    Engine,
    HostRoute,
    Model,
    Route,
    Service,
    Target,
    Zone,
)
from tests.test_leases import RAW

URL = "http://127.0.0.1:7"
INVALID = {
    "zone_by_name": {"a": Zone("a", "no such region!")},
    "model_by_name": {"m": Model("m", adapters=("x", "x"))},
    "engine_by_name": {
        "e1": Engine("e1", URL, "nowhere", "m", role="idle"),
        "e2": Engine("e2", URL, "a", "no-model"),
        "bad name": Engine("bad name", "ftp://x", "a", "m"),
    },
    "service_by_name": {
        "s": Service("s", (Endpoint("x y", "no url", "b"),), (Route("no-slash"),))
    },
    "customer_by_name": {
        "c": Customer("c", ("ab",)),
        "d e": Customer("d e", ("cd" * 32, "cd" * 32)),
    },
}


class ChecksTest(unittest.TestCase):
    """A check may be skipped only if its result can't have changed."""

    def test_invalid_change_of_each_section(self):
        base = parse_configuration(RAW)
        for section, invalid in INVALID.items():
            with self.subTest(section=section):
                changed = evolve(base, **{section: invalid})
                whole = [str(fault) for fault in find_faults(changed, "x")]
                found = [str(fault) for fault in find_faults(changed, "x", base)]
                self.assertEqual(found, whole)
                self.assertTrue(found)

    def test_removed_sections_invalidate_references(self):
        base = parse_configuration(RAW)
        for section in ("zone_by_name", "model_by_name"):
            with self.subTest(section=section):
                changed = evolve(base, **{section: {}})
                self.assertTrue(list(find_faults(changed, "x", base)))

    def test_odd_or_repeated_regions_are_faults(self):
        base = parse_configuration(RAW)
        route = HostRoute("r", "h", targets=(Target("m"),), regions=("east", "east"))
        for section, entry in (
            ("customer_by_name", Customer("c", regions=("no such region!",))),
            ("customer_by_name", Customer("c", regions=("",))),
            ("host_route_by_name", route),
            ("zone_by_name", Zone("a", "r", residency_region="x y")),
        ):
            with self.subTest(entry=entry):
                changed = evolve(base, **{section: {entry.name: entry}})
                faults = list(find_faults(changed, "x", base))
                self.assertTrue(faults)
                self.assertIn("region", faults[0].path)

    def test_a_newline_in_a_name_is_a_fault(self):
        base = parse_configuration(RAW)
        customers = {"good\nname": Customer("good\nname")}
        changed = evolve(base, customer_by_name=customers)
        self.assertEqual(len(list(find_faults(changed, "x"))), 1)
