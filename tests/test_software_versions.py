"""Tests of `peridotcove.software_versions`."""

import unittest

from peridotcove.clock import FakeClock
from peridotcove.models import Configuration, Engine, LifecycleStatus
from peridotcove.software_versions import STREAM_LIFE_MS, SoftwareVersions


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
