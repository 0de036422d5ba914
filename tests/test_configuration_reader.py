"""Tests of which nodes read the configuration service, and when."""

import random
import unittest

from peridotcove.clock import FakeClock
from peridotcove.configuration_parts import PartDescriptor, digest
from peridotcove.configuration_reader import (
    READER_SILENCE_MS,
    ConfigurationReader,
    ReadManifest,
    ReadPolicy,
)
from peridotcove.manifests import Manifest
from peridotcove.revisions import Revisions

RANK = ["n1", "n2", "n3", "n4"]


def make_reader(
    node, readers=1, failing=(), silent=(), rank=RANK, settled=True, capable=4
):
    clock, rng = FakeClock(), random.Random(1)
    return ConfigurationReader(
        node,
        clock,
        rng,
        Revisions(clock, rng),
        lambda: rank,
        lambda name: name in failing,
        lambda: settled,
        lambda name: READER_SILENCE_MS + 1 if name in silent else 0,
        ReadPolicy(readers=readers, watch_ms=2_000),
        lambda: capable,
    )


class ConfigurationReaderTest(unittest.TestCase):
    """Few nodes read, and others replace those that fail."""

    def test_which_nodes_read(self):
        cases = [
            # readers, failing, silent, nodes that read
            (1, (), (), {"n1"}),
            (1, ("n1",), (), {"n1", "n2"}),
            (1, (), ("n1",), set(RANK)),
            (3, (), (), {"n1", "n2", "n3"}),
            (3, ("n2",), (), set(RANK)),
            (3, (), ("n1", "n2"), {"n1", "n2", "n3"}),
            (3, (), ("n1", "n2", "n3"), set(RANK)),
            (1, ("n1", "n2"), (), {"n1", "n2", "n3"}),
            (1, ("n1", "n2", "n3"), (), set(RANK)),
            (1, ("n2",), (), {"n1"}),
            (1, ("n2",), ("n1",), set(RANK)),
            (2, ("n1", "n2", "n3"), (), set(RANK)),
        ]
        for readers, failing, silent, expected in cases:
            with self.subTest(readers=readers, failing=failing, silent=silent):
                found = {
                    node
                    for node in RANK
                    if make_reader(node, readers, failing, silent).reads_for_zone()
                }
                self.assertEqual(found, expected)

    def test_nodes_of_little_power_read_if_too_few_others_do(self):
        cases = [
            # readers, nodes with enough power, failing, nodes that read
            (3, 4, (), {"n1", "n2", "n3"}),
            (3, 2, (), {"n1", "n2"}),
            (3, 1, (), {"n1", "n2"}),
            (1, 2, (), {"n1"}),
            (3, 2, ("n1",), {"n1", "n2", "n3"}),
            (3, 2, ("n1", "n2"), set(RANK)),
        ]
        for readers, capable, failing, expected in cases:
            with self.subTest(readers=readers, capable=capable, failing=failing):
                found = {
                    node
                    for node in RANK
                    if make_reader(
                        node, readers, failing, capable=capable
                    ).reads_for_zone()
                }
                self.assertEqual(found, expected)

    def test_any_node_applies_a_manifest_with_its_parts_at_the_start(self):
        data = b'{"customers":{"c":{}}}'
        descriptors = {"customers": PartDescriptor(5, digest(data))}
        for data_by_name, revision in (({"customers": data}, 5), ({}, 0)):
            with self.subTest(whole=bool(data_by_name)):
                reader = make_reader("n4", settled=False)
                reader.handle_manifest(Manifest(5, descriptors, data_by_name))
                self.assertEqual(reader.revisions.revision, revision)

    def test_a_node_whose_first_calls_failed_keeps_reading_for_itself(self):
        data = b'{"customers":{"c":{}}}'
        descriptors = {"customers": PartDescriptor(5, digest(data))}
        reader = make_reader("n4", settled=False)
        clock = reader.clock
        clock.advance(300)
        for wait_ms in (200, 400):
            self.assertEqual(reader.next_call(), ReadManifest(0, 0))
            reader.handle_failure()
            clock.advance(wait_ms)
        self.assertEqual(reader.next_call(), ReadManifest(0, 0))
        reader.handle_manifest(Manifest(5, descriptors, {"customers": data}))
        self.assertEqual(reader.revisions.revision, 5)
        clock.advance(10_000)
        self.assertIsNone(reader.next_call())
