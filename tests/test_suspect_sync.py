"""Tests of the exchange of suspected prompt parts between nodes."""

import unittest

from peridotcove.clock import FakeClock
from peridotcove.crash_suspects import (
    CRASH_WINDOW_MS,
    CUT_BEFORE_ANSWER,
    LEARNING_MS,
    QUARANTINE_CRASHES,
)
from peridotcove.exceptions import LinkDown
from peridotcove.fleet_view import FleetView
from peridotcove.models import Instance
from peridotcove.nodes.messages import ShareSuspects, decode, encode
from peridotcove.nodes.network import Network
from peridotcove.suspect_sync import SuspectSync
from peridotcove.timeline import Timeline

NAMES = ("n1", "n2", "n3")
DEADLY = 2**63 + 1


class RecordingNetwork(Network):
    """Records messages; the link to one node is down."""

    def __init__(self):
        super().__init__()
        self.sent = []

    def send(self, peer, message):
        """Record a message, or raise if the link is down."""
        if peer == "n3":
            raise LinkDown(peer)
        self.sent.append((peer, message))


class SuspectSyncTest(unittest.TestCase):
    """Which messages a node sends, and which events it records."""

    def setUp(self):
        self.clock = FakeClock()
        self.network = RecordingNetwork()
        fleet = FleetView("r")
        fleet.set_nodes(tuple(Instance(n, "node", "", 1, "a") for n in NAMES))
        self.timeline = Timeline(self.clock, "n1")
        self.sync = SuspectSync("n1", fleet, self.network, self.clock, self.timeline)

    def crash(self, number):
        """Let an engine crash under two requests with the deadly part."""
        ids = [bytes([number, one]) for one in range(2)]
        for lease_id in ids:
            self.sync.suspects.record_grant(lease_id, f"e{number}", (DEADLY,))
        for lease_id in ids:
            self.sync.record_outcome(lease_id, CUT_BEFORE_ANSWER)
        self.clock.advance(CRASH_WINDOW_MS + 1)

    def kinds(self):
        return [event.kind for event in self.timeline.events()]

    def test_each_change_is_sent_once_to_the_other_nodes(self):
        self.crash(0)
        self.assertTrue(self.sync.tick())
        self.assertFalse(self.sync.tick())
        ((peer, message),) = self.network.sent
        self.assertEqual(peer, "n2")
        self.assertEqual([record[:2] for record in message.records], [[DEADLY, 1]])
        self.assertEqual(self.kinds(), ["engine-crashed"])

    def test_quarantine_and_its_end_are_recorded(self):
        self.sync.suspects.record_grant(b"x", "e", ())
        self.clock.advance(LEARNING_MS)
        for number in range(QUARANTINE_CRASHES):
            self.crash(number)
            self.sync.tick()
        self.sync.suspects.record_grant(b"y", "e", (DEADLY,))
        self.sync.record_outcome(b"y", "done")
        self.sync.tick()
        self.assertEqual(self.kinds()[-2:], ["part-quarantined", "part-cleared"])
        cleared = self.network.sent[-1][1].records
        self.assertEqual([record[:2] for record in cleared], [[DEADLY, 0]])

    def test_records_survive_their_encoding(self):
        self.crash(0)
        self.sync.tick()
        message = self.network.sent[0][1]
        self.assertEqual(decode(encode(message, 1)), (message, 1))

    def test_malformed_records_change_nothing(self):
        self.sync.receive("n2", ShareSuspects([["x"]]))
        self.assertEqual(self.sync.suspects.suspect_by_part, {})

    def test_a_node_that_joins_gets_all_suspects(self):
        self.sync.send_suspects("n2")
        self.assertEqual(self.network.sent, [])
        self.crash(0)
        self.sync.tick()
        self.sync.send_suspects("n2")
        self.assertEqual(len(self.network.sent), 2)
