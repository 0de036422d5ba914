"""Configurations with keys that only some builds of the fleet know.

``recorded_keys.json`` has the keys that builds of earlier commits know.
"""

import json
import pathlib
import random
import typing
import unittest
from unittest import mock

import attrs

from peridotcove.clock import MS_PER_S
from peridotcove.configuration_parts import make_part
from peridotcove.configuration_protocols import PROTOCOL_BY_KEY, find_needed_protocol
from peridotcove.control_plane import ControlPlane
from peridotcove.models import Configuration, Instance
from peridotcove.nodes.configuration_messages import (
    AskConfiguration,
    Delta,
    Offer,
    PartData,
    RevisionRefused,
)
from peridotcove.nodes.membership_messages import READS_FAIL, Heartbeat
from peridotcove.nodes.messages import PROTOCOL
from tests.fakes import FakeClock

# A key of customers stands for one that the older build lacks.
ADDED = {"priority": PROTOCOL}
RECORDED_KEYS = json.loads(
    pathlib.Path(__file__).with_name("recorded_keys.json").read_text()
)
OLD, NEW, OWN = "old", "new", "own"
EMPTY = Offer(0, [])


def list_keys(cls):
    """Return the keys of a class and of the classes of its fields, by class."""
    specs = attrs.fields(cls)
    keys_by_class = {cls.__name__: [one.metadata.get("key", one.name) for one in specs]}
    for spec in specs:
        for kind in (spec.type, *typing.get_args(spec.type)):
            if isinstance(kind, type) and attrs.has(kind):
                keys_by_class |= list_keys(kind)
    return keys_by_class


def publish(control, revision, priority):
    """Put a configuration in force, as if it was read from the service."""
    customers = {"customers": {"c": {"priority": priority} if priority else {}}}
    part = make_part("all", revision, b"", json.dumps(customers).encode())
    return control.revisions._replace(revision, {"all": part})


class FindNeededProtocolTest(unittest.TestCase):
    """Only keys that are used need a later protocol."""

    def test_used_keys(self):
        unused = make_part("one", 1, b"", b'{"customers": {"priority-1": {}}}')
        used = make_part("two", 1, b"", b'{"customers": {"c": {"priority": 0}}}')
        self.assertEqual(find_needed_protocol([unused], ADDED), 0)
        self.assertEqual(find_needed_protocol([unused, used], ADDED), PROTOCOL)

    def test_keys_that_older_builds_lack_name_their_protocol(self):
        """Without it, an older build gets a key that makes it refuse a revision."""
        current = list_keys(Configuration)
        for record in RECORDED_KEYS:
            known = {key for keys in record["keys"].values() for key in keys}
            for name, keys in current.items():
                added = set(keys) - set(record["keys"].get(name, keys))
                for key in added:
                    with self.subTest(commit=record["commit"], key=f"{name}.{key}"):
                        since = PROTOCOL_BY_KEY.get(key, 0)
                        self.assertGreater(since, record["protocol"])
                        self.assertNotIn(key, known)

    def test_keys_of_older_builds_stay(self):
        current = list_keys(Configuration)
        for record in RECORDED_KEYS:
            for name, keys in record["keys"].items():
                with self.subTest(commit=record["commit"], name=name):
                    self.assertEqual(set(keys) - set(current.get(name, ())), set())


class ControlPlaneTest(unittest.TestCase):
    """Nodes that know an added key, and older ones, which would refuse it."""

    def setUp(self):
        """Make a node with two neighbours, one of an older build."""
        found = mock.patch(
            "peridotcove.control_plane.find_needed_protocol",
            lambda parts: find_needed_protocol(parts, ADDED),
        )
        found.start()
        self.addCleanup(found.stop)
        self.clock = FakeClock()
        instances = [Instance(name, "node", "h", 1, "a") for name in (OLD, NEW, OWN)]
        self.control = ControlPlane(instances[2], "r", self.clock, random.Random(1))
        self.control.find_peer_protocol = {OLD: PROTOCOL - 1, NEW: PROTOCOL}.get
        self.control.membership.set_instances(instances)
        self.sequence = 0
        self.run_for(3)

    def run_for(self, seconds):
        """Run the node while it hears its neighbours; return what it sends."""
        sent = []
        for _ in range(4 * seconds):
            self.sequence += 1
            for name in (OLD, NEW):
                heartbeat = Heartbeat(1, self.sequence, self.sequence, 0, {}, [])
                sent += self.control.receive(name, heartbeat, 0)
            self.clock.advance(MS_PER_S // 4)
            sent += self.control.tick()
        return sent

    def ask(self, name, message=None, revision=0):
        message = message or AskConfiguration(0)
        answers = self.control.receive(name, message, revision)
        return [item.message for item in answers if item.peer == name]

    def find_flags(self):
        """Return by neighbour whether the node tells it that its reads fail."""
        sent = self.run_for(2)
        return {
            item.peer: bool(item.message.flags & READS_FAIL)
            for item in sent
            if isinstance(item.message, Heartbeat)
        }

    def test_a_configuration_of_known_keys_is_shared_with_all(self):
        pushed = [item.peer for item in publish(self.control, 1, 0)]
        self.assertEqual(pushed, [])
        pushed = [item.peer for item in publish(self.control, 2, 0)]
        if self.control.reader.reads_for_zone():
            self.assertEqual(sorted(pushed), [NEW, OLD])
        self.assertEqual(self.ask(OLD)[0].revision, 2)
        self.assertEqual(self.find_flags(), {OLD: False, NEW: False})

    def test_a_configuration_with_an_added_key_is_not_sent_to_older_builds(self):
        """They would refuse the whole revision, and not take it from others then."""
        publish(self.control, 1, 0)
        pushed = [item.peer for item in publish(self.control, 2, 7)]
        self.assertNotIn(OLD, pushed)
        self.assertEqual(self.ask(OLD), [EMPTY])
        self.assertEqual(self.ask(NEW)[0].revision, 2)

    def test_older_builds_read_the_service_themselves_then(self):
        publish(self.control, 1, 7)
        self.assertEqual(self.find_flags(), {OLD: True, NEW: False})
        self.assertTrue(self.control._reads_fail(OLD))
        self.assertFalse(self.control._reads_fail(NEW))

    def test_a_node_that_starts_reads_the_service_before_it_asks_older_builds(self):
        """What they hold may lack a key, under the number that the service has."""
        part = make_part("all", 1, b"", b'{"customers": {"c": {}}}')
        descriptor = part.descriptor
        row = ["all", 1, descriptor.published_digest, descriptor.digest]
        self.assertEqual(self.ask(OLD, Offer(1, [row]), 1), [])
        data = PartData("all", descriptor.digest, part.data)
        self.assertEqual(self.ask(OLD, data, 1), [])
        self.assertEqual(self.control.revisions.revision, 0)
        self.control.reader.handle_failure()
        self.assertEqual(len(self.ask(OLD, Offer(1, [row]), 1)), 1)
        self.ask(OLD, data, 1)
        self.assertEqual(self.control.revisions.revision, 1)

    def test_a_node_that_starts_does_not_wait_for_older_builds(self):
        publish(self.control, 1, 7)
        self.control.revisions.record_read_result()
        self.run_for(1)
        self.ask(NEW, Offer(1, []), 1)
        self.assertTrue(self.control.revisions.ready())

    def test_what_older_builds_send_is_ignored_then(self):
        """It lacks the key, or says that they refuse what this build accepts."""
        publish(self.control, 1, 7)
        for message in (Delta(1, 2, [], []), Offer(2, []), RevisionRefused(2, ["x"])):
            with self.subTest(message=type(message).__name__):
                self.assertEqual(self.ask(OLD, message, 2), [])
                self.assertEqual(self.control.revisions.revision, 1)
                self.assertEqual(self.control.revisions.refused_revision, 0)
        self.control.record_peer_revision(OLD, 2)
        asked = {
            item.peer
            for item in self.run_for(3)
            if isinstance(item.message, AskConfiguration)
        }
        self.assertEqual(asked - {NEW}, set())
