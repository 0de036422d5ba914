"""Tests of `configuration_reader`: which nodes read the service, and for how long."""

import random
import unittest

from peridotcove.clock import FakeClock
from peridotcove.configuration_parts import PartDescriptor, digest
from peridotcove.configuration_reader import (
    UNHEARD_MS,
    ConfigurationReader,
    ReadManifest,
    ReadPolicy,
)
from peridotcove.manifests import Manifest
from peridotcove.revisions import Revisions

RANK = ["n1", "n2", "n3", "n4"]


def make_reader(node, readers=1, failing=(), unheard=(), rank=RANK, settled=True):
    clock, rng = FakeClock(), random.Random(1)
    return ConfigurationReader(
        node,
        clock,
        rng,
        Revisions(clock, rng),
        lambda: rank,
        lambda name: name in failing,
        lambda: settled,
        lambda name: UNHEARD_MS + 1 if name in unheard else 0,
        ReadPolicy(readers=readers, watch_ms=2_000),
    )


class ReaderTest(unittest.TestCase):
    """Few read, and others take their place."""

    def test_who_reads(self):
        cases = [
            # readers, failing, unheard, those that read
            (1, (), (), {"n1"}),
            (1, ("n1",), (), {"n1", "n2"}),
            (1, (), ("n1",), set(RANK)),
            (3, (), (), {"n1", "n2", "n3"}),
            (3, ("n2",), (), set(RANK)),
            (3, (), ("n1", "n2"), {"n1", "n2", "n3"}),
            (3, (), ("n1", "n2", "n3"), set(RANK)),
        ]
        for readers, failing, unheard, expected in cases:
            with self.subTest(readers=readers, failing=failing, unheard=unheard):
                found = {
                    node
                    for node in RANK
                    if make_reader(node, readers, failing, unheard).reads_for_zone()
                }
                self.assertEqual(found, expected)

    def test_what_came_whole_at_the_start_is_used_by_any_node(self):
        data = b'{"customers":{"c":{}}}'
        pointers = {"customers": PartDescriptor(5, digest(data))}
        for data_by_name, revision in (({"customers": data}, 5), ({}, 0)):
            with self.subTest(whole=bool(data_by_name)):
                reader = make_reader("n4", settled=False)
                reader.handle_manifest(Manifest(5, pointers, data_by_name))
                self.assertEqual(reader.revisions.revision, revision)

    def test_a_node_whose_first_calls_failed_goes_on_asking_for_itself(self):
        data = b'{"customers":{"c":{}}}'
        pointers = {"customers": PartDescriptor(5, digest(data))}
        reader = make_reader("n4", settled=False)
        clock = reader.clock
        clock.advance(300)
        for wait_ms in (200, 400):
            self.assertEqual(reader.next_call(), ReadManifest(0, 0))
            reader.handle_failure()
            clock.advance(wait_ms)
        self.assertEqual(reader.next_call(), ReadManifest(0, 0))
        reader.handle_manifest(Manifest(5, pointers, {"customers": data}))
        self.assertEqual(reader.revisions.revision, 5)
        clock.advance(10_000)
        self.assertIsNone(reader.next_call())
