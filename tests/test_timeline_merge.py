"""Tests of the merging of rings and of its two outputs."""

import json
import unittest

from hypothesis import given
from hypothesis import strategies as st

from peridotcove.clock import FakeClock
from peridotcove.exceptions import ProtocolError
from peridotcove.timeline import Timeline
from peridotcove.timeline_merge import filter_entries, merge_timelines, parse_export
from peridotcove.timeline_output import format_lines, make_chrome_trace

NODES = ("n1", "n2", "n3")
KINDS = ("lease-asked", "lease-granted", "grant-received", "peer-up")
ID = b"\x01" * 8
steps = st.lists(
    st.tuples(
        st.sampled_from(NODES),
        st.sampled_from(KINDS),
        st.sampled_from(NODES),
        st.integers(0, 50),
        st.sampled_from([b"", ID]),
    ),
    max_size=40,
)


def lease_rings(ahead_ms=0, offset_ms=0):
    """Return the rings of an entry and of an owner whose clock is ahead."""
    entry_clock, owner_clock = (
        FakeClock(),
        FakeClock(wall_ms=1_700_000_000_000 + ahead_ms),
    )
    entry, owner = Timeline(entry_clock, "n1"), Timeline(owner_clock, "n2")
    entry.record("request-arrived", request_id=ID)
    entry.record("lease-asked", request_id=ID, peer="n2")
    owner_clock.advance(4)
    owner.record("lease-granted", request_id=ID, peer="n1", detail="e1")
    entry_clock.advance(9)
    entry.record("grant-received", request_id=ID, peer="n2")
    entry.record("revision-in-force", revision=5)
    entry.record("request-ended", request_id=ID)
    return [
        parse_export(json.loads(json.dumps(entry.export())), 0),
        parse_export(json.loads(json.dumps(owner.export())), offset_ms),
    ]


class MergeTest(unittest.TestCase):
    """Order follows causes first, corrected clocks second."""

    def test_causes_hold_whatever_the_clocks_say(self):
        for ahead_ms, offset_ms in ((0, 0), (5000, 5000), (-70, 0), (900, 0)):
            with self.subTest(ahead_ms=ahead_ms, offset_ms=offset_ms):
                entries = merge_timelines(lease_rings(ahead_ms, offset_ms))
                kinds = [entry.event.kind for entry in entries]
                self.assertEqual(kinds[1:4], list(KINDS[:3]))
                self.assertEqual(entries[2].cause, entries[1])
                self.assertEqual(entries[3].cause, entries[2])

    @given(steps, st.integers(-60, 60))
    def test_every_event_once_in_its_sequence(self, steps, ahead_ms):
        clocks = {name: FakeClock() for name in NODES}
        rings = {name: Timeline(clocks[name], name) for name in NODES}
        for node, kind, peer, ms, request_id in steps:
            clocks[node].advance(ms)
            rings[node].record(kind, request_id=request_id, peer=peer)
        exports = [parse_export(ring.export(), 0) for ring in rings.values()]
        exports[0] = parse_export(rings["n1"].export(), ahead_ms)
        entries = merge_timelines(exports)
        self.assertEqual(len(entries), len(steps))
        place = {entry: index for index, entry in enumerate(entries)}
        for entry in entries:
            if entry.cause is not None:
                self.assertLess(place[entry.cause], place[entry])
                self.assertLessEqual(entry.cause.at_ms, entry.at_ms)
        for name in NODES:
            mine = [entry.event.sequence for entry in entries if entry.node == name]
            self.assertEqual(mine, sorted(mine))

    def test_explicit_cause_goes_first(self):
        clock = FakeClock()
        sender, receiver = Timeline(clock, "n1"), Timeline(clock, "n2")
        receiver.record("peer-up", cause_node="n1", cause_sequence=1)
        clock.advance(3)
        sender.record("link-opened")
        rings = [parse_export(ring.export(), 0) for ring in (sender, receiver)]
        self.assertEqual([entry.node for entry in merge_timelines(rings)], ["n1", "n2"])

    def test_one_event_of_the_request_is_cause_enough(self):
        clock = FakeClock()
        entry, owner = Timeline(clock, "n2"), Timeline(clock, "n1")
        entry.record("lease-asked", request_id=ID, peer="a shard")
        owner.record("lease-granted", request_id=ID)
        rings = [parse_export(ring.export(), 0) for ring in (entry, owner)]
        self.assertEqual([item.node for item in merge_timelines(rings)], ["n2", "n1"])

    def test_follow(self):
        entries = merge_timelines(lease_rings())
        self.assertEqual(len(filter_entries(entries, ID)), 5)
        self.assertEqual(filter_entries(entries, b"\x02"), [])
        kinds = [entry.event.kind for entry in filter_entries(entries, revision=5)]
        self.assertEqual(kinds, ["revision-in-force"])

    def test_garbage_is_refused(self):
        for raw in ([], {}, {**Timeline(FakeClock(), "n").export(), "events": [[1]]}):
            with self.subTest(raw=raw), self.assertRaises(ProtocolError):
                parse_export(raw, 0)


class OutputTest(unittest.TestCase):
    """Both outputs show subjects and causes."""

    def test_lines(self):
        lines = list(format_lines(merge_timelines(lease_rings())))
        self.assertIn(ID.hex(), lines[0])
        self.assertIn("(e1) <- n1#2 +4.0 ms", lines[2])
        self.assertEqual(list(format_lines([])), [])

    def test_chrome_trace(self):
        rows = json.loads(
            json.dumps(make_chrome_trace(merge_timelines(lease_rings())))
        )["traceEvents"]
        phases = "".join(row["ph"] for row in rows)
        self.assertEqual(
            {phase: phases.count(phase) for phase in "MiXsf"},
            {
                "M": 2,
                "i": 6,
                "X": 1,
                "s": 2,
                "f": 2,
            },
        )
        span = next(row for row in rows if row["ph"] == "X")
        self.assertEqual((span["name"], span["dur"]), (ID.hex(), 9000))
