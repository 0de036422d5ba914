"""Tests of `peridotcove.software_versions`."""

import unittest

from peridotcove.clock import FakeClock
from peridotcove.models import Configuration, Engine, LifecycleStatus
from peridotcove.software_versions import (
    MAX_REPORT_AGE_MS,
    STREAM_LIFE_MS,
    SoftwareVersions,
)


def make_configuration(*versions, status=LifecycleStatus.IN_SERVICE):
    engines = {
        f"e{number}": Engine(
            f"e{number}", "", "", "m", status=status, software_version=version
        )
        for number, version in enumerate(versions)
    }
    return Configuration(engine_by_name=engines)


class SoftwareVersionsTest(unittest.TestCase):
    """Which version must have begun a stream, by what a node has seen."""

    def setUp(self):
        self.clock = FakeClock()
        self.versions = SoftwareVersions(self.clock)

    def test_a_node_that_has_just_started_is_not_certain(self):
        self.versions.set_configuration(make_configuration("v1"))
        self.clock.advance(STREAM_LIFE_MS - 1)
        self.assertIsNone(self.versions.find_only("m"))
        self.clock.advance(1)
        self.assertEqual(self.versions.find_only("m"), "v1")

    def test_a_version_that_has_left_counts_for_the_life_of_a_stream(self):
        self.versions.set_configuration(make_configuration("v1", "v2"))
        self.clock.advance(STREAM_LIFE_MS)
        self.assertIsNone(self.versions.find_only("m"))
        self.versions.set_configuration(make_configuration("v2"))
        self.clock.advance(STREAM_LIFE_MS - 1)
        self.assertEqual(self.versions.find_recent("m"), {"v1", "v2"})
        self.assertIsNone(self.versions.find_only("m"))
        self.clock.advance(1)
        self.assertEqual(self.versions.find_only("m"), "v2")

    def test_engines_that_leave_still_serve(self):
        leaving = make_configuration("v1", status=LifecycleStatus.LEAVING)
        self.versions.set_configuration(leaving)
        self.assertEqual(self.versions.find_recent("m"), {"v1"})
        ordered = make_configuration("v2", status=LifecycleStatus.ON_ORDER)
        self.versions.set_configuration(ordered)
        self.assertEqual(self.versions.find_recent("m"), {"v1"})

    def test_an_unknown_model_has_no_versions(self):
        self.versions.set_configuration(make_configuration("v1"))
        self.clock.advance(STREAM_LIFE_MS)
        self.assertEqual(self.versions.find_recent("other"), set())
        self.assertIsNone(self.versions.find_only("other"))

    def test_a_report_makes_a_node_that_has_started_certain(self):
        self.versions.set_configuration(make_configuration("v1"))
        self.clock.advance(STREAM_LIFE_MS)
        for first in ("report", "configuration"):
            with self.subTest(first=first):
                started = SoftwareVersions(self.clock)
                if first == "configuration":
                    started.set_configuration(make_configuration("v1"))
                for report in self.versions.reports():
                    started.merge(report)
                if first == "report":
                    self.assertIsNone(started.find_only("m"))
                    started.set_configuration(make_configuration("v1"))
                self.assertEqual(started.find_only("m"), "v1")

    def test_a_report_names_versions_that_have_left(self):
        self.versions.set_configuration(make_configuration("v1"))
        self.clock.advance(STREAM_LIFE_MS)
        self.versions.set_configuration(make_configuration("v2"))
        self.clock.advance(1_000)
        started = SoftwareVersions(self.clock)
        started.set_configuration(make_configuration("v2"))
        for report in self.versions.reports():
            started.merge(report)
        self.assertEqual(started.find_recent("m"), {"v1", "v2"})
        self.clock.advance(STREAM_LIFE_MS - 1_001)
        self.assertIsNone(started.find_only("m"))
        self.clock.advance(1)
        self.assertEqual(started.find_only("m"), "v2")

    # Engines of another version may have come and gone in between.
    def test_a_report_long_before_the_first_configuration_shows_nothing(self):
        self.versions.set_configuration(make_configuration("v1"))
        self.clock.advance(STREAM_LIFE_MS)
        started = SoftwareVersions(self.clock)
        for report in self.versions.reports():
            started.merge(report)
        self.clock.advance(MAX_REPORT_AGE_MS + 1)
        started.set_configuration(make_configuration("v1"))
        self.assertIsNone(started.find_only("m"))
        self.clock.advance(STREAM_LIFE_MS)
        self.assertEqual(started.find_only("m"), "v1")

    def test_a_report_of_a_node_that_knows_less_changes_nothing(self):
        self.versions.set_configuration(make_configuration("v1"))
        self.clock.advance(STREAM_LIFE_MS)
        started = SoftwareVersions(self.clock)
        started.set_configuration(make_configuration("v1"))
        for report in started.reports():
            self.versions.merge(report)
        self.assertEqual(self.versions.find_only("m"), "v1")
