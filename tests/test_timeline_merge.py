"""Tests of the merge of several nodes' timelines and of its two output formats."""

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


def make_lease_timelines(ahead_ms=0, offset_ms=0):
    """Return the timelines of an entry node and an owner whose clock is ahead."""
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
    """Events are ordered by cause first, then by corrected time."""

    def test_causal_order_is_independent_of_clock_offsets(self):
        for ahead_ms, offset_ms in ((0, 0), (5000, 5000), (-70, 0), (900, 0)):
            with self.subTest(ahead_ms=ahead_ms, offset_ms=offset_ms):
                entries = merge_timelines(make_lease_timelines(ahead_ms, offset_ms))
                kinds = [entry.event.kind for entry in entries]
                self.assertEqual(kinds[1:4], list(KINDS[:3]))
                self.assertEqual(entries[2].cause, entries[1])
                self.assertEqual(entries[3].cause, entries[2])

    @given(steps, st.integers(-60, 60))
    def test_each_event_once_in_node_sequence(self, steps, ahead_ms):
        clocks = {name: FakeClock() for name in NODES}
        timelines = {name: Timeline(clocks[name], name) for name in NODES}
        for node, kind, peer, ms, request_id in steps:
            clocks[node].advance(ms)
            timelines[node].record(kind, request_id=request_id, peer=peer)
        exports = [
            parse_export(timeline.export(), 0) for timeline in timelines.values()
        ]
        exports[0] = parse_export(timelines["n1"].export(), ahead_ms)
        entries = merge_timelines(exports)
        self.assertEqual(len(entries), len(steps))
        index_by_entry = {entry: index for index, entry in enumerate(entries)}
        for entry in entries:
            if entry.cause is not None:
                self.assertLess(index_by_entry[entry.cause], index_by_entry[entry])
                self.assertLessEqual(entry.cause.at_ms, entry.at_ms)
        for name in NODES:
            own_sequences = [
                entry.event.sequence for entry in entries if entry.node == name
            ]
            self.assertEqual(own_sequences, sorted(own_sequences))

    def test_explicit_cause_precedes_effect(self):
        clock = FakeClock()
        sender, receiver = Timeline(clock, "n1"), Timeline(clock, "n2")
        receiver.record("peer-up", cause_node="n1", cause_sequence=1)
        clock.advance(3)
        sender.record("link-opened")
        timelines = [
            parse_export(timeline.export(), 0) for timeline in (sender, receiver)
        ]
        self.assertEqual(
            [entry.node for entry in merge_timelines(timelines)], ["n1", "n2"]
        )

    def test_cause_found_by_request_id_without_matching_peer(self):
        clock = FakeClock()
        entry, owner = Timeline(clock, "n2"), Timeline(clock, "n1")
        entry.record("lease-asked", request_id=ID, peer="a shard")
        owner.record("lease-granted", request_id=ID)
        timelines = [parse_export(timeline.export(), 0) for timeline in (entry, owner)]
        self.assertEqual(
            [item.node for item in merge_timelines(timelines)], ["n2", "n1"]
        )

    def test_filter_by_request_or_revision(self):
        entries = merge_timelines(make_lease_timelines())
        self.assertEqual(len(filter_entries(entries, ID)), 5)
        self.assertEqual(filter_entries(entries, b"\x02"), [])
        kinds = [entry.event.kind for entry in filter_entries(entries, revision=5)]
        self.assertEqual(kinds, ["revision-in-force"])

    def test_invalid_export_is_rejected(self):
        for raw in ([], {}, {**Timeline(FakeClock(), "n").export(), "events": [[1]]}):
            with self.subTest(raw=raw), self.assertRaises(ProtocolError):
                parse_export(raw, 0)


class OutputTest(unittest.TestCase):
    """Both output formats show subjects and causes."""

    def test_lines(self):
        lines = list(format_lines(merge_timelines(make_lease_timelines())))
        self.assertIn(ID.hex(), lines[0])
        self.assertIn("(e1) <- n1#2 +4.0 ms", lines[2])
        self.assertEqual(list(format_lines([])), [])

    def test_chrome_trace(self):
        rows = json.loads(
            json.dumps(make_chrome_trace(merge_timelines(make_lease_timelines())))
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
