"""Tests of `peridotcove.engine_notice_sync`: what owners learn of cold engines."""

import types
import unittest
from unittest import mock

from peridotcove.clock import FakeClock
from peridotcove.configuration import parse_configuration
from peridotcove.engine_notice_sync import EngineNoticeSync
from peridotcove.engine_notices import EngineNotices, Notice
from peridotcove.fleet_view import FleetView
from peridotcove.models import Instance
from peridotcove.nodes.leaving_messages import EndpointsLeaving
from peridotcove.nodes.messages import decode, encode
from tests.test_leases import RAW

NAMES = ("n1", "n2", "n3", "n4")
COLD_MS = 4_000


class EngineNoticeSyncTest(unittest.TestCase):
    """Owners are told at once of an engine that turns cold, and once only."""

    def setUp(self):
        self.clock = FakeClock()
        self.fleet = FleetView("r")
        self.fleet.set_configuration(parse_configuration(RAW))
        self.fleet.set_nodes(tuple(Instance(n, "node", "", 1, "a") for n in NAMES))
        (shard,) = self.fleet.shard_by_name
        self.owners = set(self.fleet.rank_owners(shard)[:2])
        self.engine = self.fleet.configuration.engine_by_name["e1"]
        self.changes = mock.Mock()
        self.sent = []
        self.entry = self.make_sync(sorted(set(NAMES) - self.owners)[0])

    def make_sync(self, name):
        return EngineNoticeSync(
            name,
            EngineNotices(self.clock),
            self.fleet,
            mock.MagicMock(),
            mock.MagicMock(),
            self.sent.extend,
            self.changes,
        )

    def test_owners_learn_the_time_of_an_answer(self):
        for _ in range(3):
            self.entry.handle_answer(self.engine, Notice(cold_ms=COLD_MS))
        self.assertEqual({item.peer for item in self.sent}, self.owners)
        self.assertEqual(len(self.sent), 2)
        self.assertEqual(self.changes.call_count, 1)
        message, _ = decode(encode(self.sent[0].message, 1))
        owner = self.make_sync(self.sent[0].peer)
        owner.receive("n", message)
        self.assertEqual(owner.notices.list_cold(), [("e1", 0, COLD_MS)])
        self.assertEqual(self.changes.call_count, 2)

    def test_a_new_owner_learns_what_is_left(self):
        self.entry.handle_answer(self.engine, Notice(cold_ms=COLD_MS))
        self.clock.advance(1_000)
        (report,) = self.entry.make_report("n")
        self.assertEqual(report.message.cold, [["e1", 0, COLD_MS - 1_000]])
        self.clock.advance(COLD_MS)
        self.assertEqual(self.entry.make_report("n"), [])

    # Read as the names of engines that leave, they would get no work at all.
    def test_a_node_that_does_not_know_the_field_reads_nothing(self):
        self.entry.handle_answer(self.engine, Notice(cold_ms=COLD_MS))
        sent = self.sent[0].message
        older = EndpointsLeaving(sent.names, sent.asked_ms, sent.incarnations)
        self.assertTrue(older.incarnations)
        owner = self.make_sync(self.sent[0].peer)
        owner.receive("n", older)
        self.assertEqual(owner.leaving_names(), [])
        self.assertEqual(owner.notices.list_cold(), [])

    def test_odd_reports_are_ignored(self):
        odd = [7, [], ["e1"], ["e1", 0, "1"], ["e1", 0, -5], [["e1"], 0, 5], {}]
        owner = self.make_sync("n1")
        owner.receive("n", types.SimpleNamespace(names=[], incarnations=[], cold=odd))
        self.assertEqual(owner.notices.list_cold(), [])
