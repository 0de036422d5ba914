"""Tests of the descriptions of differences between configurations."""

import unittest

from examples import cake_stands
from peridotcove.configuration_differences import find_differences
from peridotcove.schema import dump


def changed(change):
    """Return the differences caused by a change to the cake-stand deployment."""
    old = cake_stands.describe().configuration()
    fleet = cake_stands.describe(dump(old))
    change(fleet)
    return [str(item) for item in fleet.changes()]


# A change, and the beginnings of the expected descriptions.
CHANGES = (
    (lambda fleet: None, []),
    (
        lambda fleet: fleet.start("engine-7"),
        [
            "engines: engine-7: status on-order -> in-service",
            "orders: engine-7: to run assistant version 3, role mixed, adapters",
            "chats: about 1",
        ],
    ),
    (
        lambda fleet: fleet.drain("engine-1"),
        ["engines: engine-1: status in-service -> leaving", "chats: about 1"],
    ),
    (
        lambda fleet: fleet._raw["customers"]["hotels"].update(concurrency=30),
        ["customers: the limits of hotels shrink: concurrency 60 -> 30"],
    ),
    (
        lambda fleet: fleet._raw["customers"]["hotels"].update(key_digests=["0" * 64]),
        ["customers: hotels: key_digests change"],
    ),
    (
        lambda fleet: fleet._raw["customers"]["hotels"].update(regions=["nowhere"]),
        [
            "customers: hotels: regions () -> ('nowhere',)",
            "regions: customer hotels: nothing is in service in nowhere",
        ],
    ),
    (
        lambda fleet: fleet.remove("customers", "clubs"),
        ["customers: removed: clubs"],
    ),
    (
        lambda fleet: fleet.bounds(load_bound=1.5),
        ["bounds: load_bound 1.25 -> 1.5"],
    ),
    (
        lambda fleet: fleet._raw["models"]["assistant"].update(version="4"),
        ["orders: engine-1, engine-2, engine-3, engine-4, engine-5 and 1 more: to run"],
    ),
    (
        lambda fleet: fleet._raw["services"]["booking"].update(routes=[]),
        ["services: booking: the rules on which calls may be repeated change"],
    ),
)


class DifferencesTest(unittest.TestCase):
    """Each difference is described, and nothing else."""

    def test_description_of_each_change(self):
        for number, (change, expected) in enumerate(CHANGES):
            with self.subTest(number=number):
                lines = changed(change)
                self.assertEqual(len(lines), len(expected), lines)
                for line, words in zip(lines, expected, strict=True):
                    self.assertTrue(line.startswith(words), line)

    def test_a_revision_that_does_not_increase_is_reported(self):
        old = cake_stands.describe().configuration()
        fleet = cake_stands.describe()
        fleet.bounds(queue_ms=1)
        lines = [str(item) for item in find_differences(old, fleet.configuration())]
        self.assertTrue(lines[0].startswith("revision: 1 does not follow on 1"), lines)
