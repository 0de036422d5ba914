"""Tests of the quarantine of prompt parts that crash engines."""

import math
import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from peridotcove.clock import FakeClock
from peridotcove.crash_suspects import (
    CRASH_WINDOW_MS,
    CUT,
    CUT_BEFORE_ANSWER,
    FIRST_QUARANTINE_MS,
    FORGET_QUARANTINE_MS,
    LEARNING_MS,
    LEARNING_OPEN_REQUESTS,
    PROBE_PAUSE_MS,
    QUARANTINE_CRASHES,
    SOUND_QUARANTINE_CRASHES,
    CrashSuspects,
)
from peridotcove.exceptions import ProtocolError

# Parts: the instructions of a kind of request, a subject, and one that crashes engines.
KIND, SUBJECT, DEADLY = 1, 2, 666
STEP_MS = 500
# Limits of the users' rules: requests with a part that are sent later than a time after
# the crash by which it is known, and the share of sound requests that may be refused.
KNOWN_AFTER_CRASHES = 5
STABLE_MS = 3_000
MAX_SENT_LATE = 3
MAX_REFUSED_SHARE = 0.5


class Engines:
    """Engines that run requests and crash, and the suspects of their owner.

    Parameters
    ----------
    learned : bool
        Whether the time in which nothing is known yet has passed.
    """

    def __init__(self, learned=True):
        self.clock = FakeClock()
        self.suspects = CrashSuspects(self.clock)
        self._last_id = 0
        if learned:
            self.answer((KIND, SUBJECT))
            self.clock.advance(LEARNING_MS)

    def grant(self, parts, engine="e"):
        """Grant a lease and return its id, or None if the request is refused."""
        self._last_id += 1
        lease_id = self._last_id.to_bytes(8, "big")
        if self.suspects.find_quarantine(parts, lease_id, True) is not None:
            return None
        self.suspects.record_grant(lease_id, engine, parts)
        return lease_id

    def answer(self, parts, engine="e"):
        """Run a request to a good end; return whether it was granted."""
        lease_id = self.grant(parts, engine)
        if lease_id is not None:
            self.suspects.record_outcome(lease_id, "done")
        return lease_id is not None

    def crash(self, parts, engine="e", bystanders=2):
        """Crash an engine under a request and others; return whether it was granted."""
        lease_id = self.grant(parts, engine)
        if lease_id is None:
            return False
        others = [self.grant((KIND, 100 + i), engine) for i in range(bystanders)]
        self.suspects.record_outcome(lease_id, CUT_BEFORE_ANSWER)
        for other in filter(None, others):
            self.suspects.record_outcome(other, CUT)
        self.clock.advance(CRASH_WINDOW_MS)
        self.suspects.tick()
        return True

    def crash_in_turn(self, parts, count):
        """Crash engines one after the other; return how many requests were granted."""
        granted = 0
        for number in range(count):
            granted += self.crash(parts, f"e{number}")
            self.clock.advance(STEP_MS)
        return granted


class CrashSuspectsTest(unittest.TestCase):
    """Which requests are granted after crashes."""

    def test_part_that_crashes_engine_after_engine_is_quarantined(self):
        engines = Engines()
        granted = engines.crash_in_turn((KIND, SUBJECT, DEADLY), 10)
        self.assertEqual(granted, QUARANTINE_CRASHES)

    def test_sound_requests_that_share_other_parts_are_granted(self):
        engines = Engines()
        engines.crash_in_turn((KIND, SUBJECT, DEADLY), 10)
        self.assertTrue(engines.answer((KIND, SUBJECT)))
        self.assertTrue(engines.answer((KIND, 55)))

    def test_part_is_quarantined_whatever_else_the_prompts_hold(self):
        engines = Engines()
        granted = 0
        for number in range(QUARANTINE_CRASHES + 3):
            granted += engines.crash((10 + number, DEADLY), f"e{number}")
            engines.clock.advance(STEP_MS)
        self.assertEqual(granted, QUARANTINE_CRASHES)

    def test_sound_part_that_always_comes_with_the_deadly_one_is_cleared(self):
        engines = Engines()
        engines.crash_in_turn((77, DEADLY), QUARANTINE_CRASHES)
        self.assertIsNone(engines.grant((77, DEADLY)))
        self.assertTrue(engines.answer((77, 5)), "it tells the two parts apart")
        self.assertTrue(engines.answer((77, 5)))
        self.assertIsNone(engines.grant((88, DEADLY)))

    def test_unrelated_crashes_accuse_no_part_that_is_answered_between(self):
        engines = Engines()
        for number in range(20):
            self.assertTrue(engines.crash((KIND, SUBJECT), f"e{number}"))
            self.assertTrue(engines.answer((KIND, SUBJECT)))

    def test_engines_that_crash_together_accuse_a_part_once(self):
        engines = Engines()
        leases = [engines.grant((KIND, 9), f"e{number % 6}") for number in range(18)]
        for lease_id in leases:
            engines.suspects.record_outcome(lease_id, CUT_BEFORE_ANSWER)
        engines.clock.advance(CRASH_WINDOW_MS)
        self.assertEqual(len(engines.suspects.tick()), 6)
        self.assertTrue(engines.answer((KIND, 9)))

    def test_connections_that_are_cut_one_by_one_accuse_no_part(self):
        engines = Engines()
        for _ in range(20):
            cut = engines.grant((KIND, SUBJECT, 9))
            others = [engines.grant((KIND, SUBJECT)) for _ in range(4)]
            engines.suspects.record_outcome(cut, CUT_BEFORE_ANSWER)
            for other in others:
                engines.suspects.record_outcome(other, "done")
            engines.clock.advance(STEP_MS)
            engines.suspects.tick()
        self.assertTrue(engines.answer((KIND, SUBJECT, 9)))

    def test_lone_request_accuses_its_parts_if_the_engine_is_unreachable_after(self):
        engines = Engines()
        for number in range(QUARANTINE_CRASHES):
            self.assertTrue(engines.crash((DEADLY,), f"e{number}", bystanders=0))
            after = engines.grant((KIND,), f"e{number}")
            engines.suspects.record_outcome(after, "unreachable")
            engines.clock.advance(STEP_MS)
        self.assertFalse(engines.crash((DEADLY,), "e9"))

    def test_engine_that_refuses_a_connection_but_runs_others_has_not_crashed(self):
        engines = Engines()
        for number in range(QUARANTINE_CRASHES + 1):
            cut = engines.grant((9,), f"e{number}")
            self.assertIsNotNone(cut)
            for _ in range(4):
                engines.grant((KIND,), f"e{number}")
            refused = engines.grant((KIND,), f"e{number}")
            engines.suspects.record_outcome(cut, CUT_BEFORE_ANSWER)
            engines.suspects.record_outcome(refused, "unreachable")
            engines.clock.advance(STEP_MS)
            self.assertEqual(engines.suspects.tick(), [])

    def test_part_that_was_sound_takes_more_crashes(self):
        engines = Engines()
        granted = engines.crash_in_turn((KIND, SUBJECT), 10)
        self.assertEqual(granted, SOUND_QUARANTINE_CRASHES)

    def test_sound_part_is_not_quarantined_for_one_that_was_never_sound(self):
        engines = Engines()
        for number in range(SOUND_QUARANTINE_CRASHES + 2):
            suspect = engines.suspects.suspect_by_part.get(DEADLY)
            if suspect is not None:
                suspect.blocked_until_ms = 0
            self.assertTrue(engines.crash((KIND, DEADLY), f"e{number}", bystanders=1))
            engines.clock.advance(STEP_MS)
        self.assertTrue(engines.answer((KIND, SUBJECT)))

    def test_part_that_runs_elsewhere_is_not_quarantined_for_a_rarer_one(self):
        engines = Engines()
        for number in range(QUARANTINE_CRASHES):
            self.assertIsNotNone(engines.grant((77,), f"f{number}"))
            self.assertTrue(engines.crash((77, DEADLY), f"e{number}"))
            engines.clock.advance(STEP_MS)
        self.assertIsNotNone(engines.grant((77,)))
        self.assertIsNotNone(engines.grant((77,)), "more than a probe")
        self.assertIsNone(engines.grant((88, DEADLY)))

    def test_part_is_not_quarantined_for_one_that_is_accused_more_often(self):
        engines = Engines()
        engines.crash_in_turn((DEADLY,), QUARANTINE_CRASHES)
        for number in range(QUARANTINE_CRASHES):
            engines.clock.advance(FIRST_QUARANTINE_MS << number)
            self.assertTrue(engines.crash((77, DEADLY), f"p{number}"))
        self.assertIsNotNone(engines.grant((77,)))
        self.assertIsNotNone(engines.grant((77,)), "more than a probe")

    def test_node_that_knows_nothing_yet_quarantines_the_rarest_part(self):
        engines = Engines(learned=False)
        for number in range(QUARANTINE_CRASHES):
            self.assertIsNotNone(engines.grant((KIND, 70 + number), f"f{number}"))
            self.assertTrue(engines.crash((KIND, DEADLY), f"e{number}"))
            engines.clock.advance(STEP_MS)
        self.assertIsNone(engines.grant((88, DEADLY)))
        self.assertIsNotNone(engines.grant((KIND, 80)))
        self.assertIsNotNone(engines.grant((KIND, 81)))

    def test_node_that_knows_nothing_yet_trusts_a_part_that_runs_elsewhere(self):
        engines = Engines(learned=False)
        for number in range(LEARNING_OPEN_REQUESTS):
            engines.grant((KIND,), f"f{number}")
        for number in range(QUARANTINE_CRASHES):
            self.assertTrue(engines.crash((KIND,), f"e{number}"))
            engines.clock.advance(STEP_MS)
        self.assertTrue(engines.answer((KIND,)))
        self.assertTrue(engines.answer((KIND,)))

    def test_quarantine_ends_with_one_probe_and_doubles_if_it_crashes(self):
        engines = Engines()
        engines.crash_in_turn((DEADLY,), QUARANTINE_CRASHES)
        engines.clock.advance(FIRST_QUARANTINE_MS)
        probe = engines.grant((DEADLY,), "p")
        self.assertIsNotNone(probe)
        self.assertIsNone(engines.grant((DEADLY,)), "one probe at a time")
        engines.suspects.record_outcome(probe, CUT_BEFORE_ANSWER)
        engines.clock.advance(PROBE_PAUSE_MS - 1)
        engines.suspects.tick()
        engines.clock.advance(FIRST_QUARANTINE_MS)
        self.assertIsNone(engines.grant((DEADLY,)))
        engines.clock.advance(FIRST_QUARANTINE_MS)
        self.assertIsNotNone(engines.grant((DEADLY,)))

    def test_probe_that_is_answered_ends_the_quarantine(self):
        engines = Engines()
        engines.crash_in_turn((DEADLY,), QUARANTINE_CRASHES)
        engines.clock.advance(FIRST_QUARANTINE_MS)
        self.assertTrue(engines.answer((DEADLY,)))
        self.assertTrue(engines.answer((DEADLY,)))

    def test_probe_that_was_not_sent_is_followed_by_another(self):
        engines = Engines()
        engines.crash_in_turn((DEADLY,), QUARANTINE_CRASHES)
        engines.clock.advance(FIRST_QUARANTINE_MS)
        engines.suspects.cancel_probe(engines.grant((DEADLY,)))
        engines.clock.advance(PROBE_PAUSE_MS)
        self.assertTrue(engines.answer((DEADLY,)))

    def test_quarantine_outlives_its_node_and_expires(self):
        engines, successor = Engines(), CrashSuspects(FakeClock())
        engines.crash_in_turn((DEADLY,), QUARANTINE_CRASHES)
        successor.merge_records(engines.suspects.records())
        self.assertIsNotNone(successor.find_quarantine((DEADLY,), b"x", True))
        successor._clock.advance(FIRST_QUARANTINE_MS + FORGET_QUARANTINE_MS)
        successor.tick()
        self.assertEqual(successor.suspect_by_part, {})

    def test_cleared_part_is_cleared_at_other_nodes(self):
        engines, other = Engines(), CrashSuspects(FakeClock())
        engines.crash_in_turn((DEADLY,), QUARANTINE_CRASHES)
        other.merge_records(engines.suspects.records())
        engines.clock.advance(FIRST_QUARANTINE_MS)
        engines.answer((DEADLY,))
        other.merge_records(engines.suspects.records([DEADLY]))
        self.assertIsNone(other.find_quarantine((DEADLY,), b"x", True))

    def test_malformed_records_are_rejected(self):
        for record in (7, [], [1, 2, 3, 4], [1, 2, 3, 4, 5], ["1", 2, 3, 4, []]):
            with self.subTest(record=record), self.assertRaises(ProtocolError):
                CrashSuspects(FakeClock()).merge_records([record])

    @given(st.integers(0, 10_000))
    def test_deadly_part_is_found_among_busy_engines(self, seed):
        rng = random.Random(seed)
        engines = Engines()
        refused_sound = sound = 0
        crash_times_ms = []
        end_ms_by_id_by_engine = {f"e{number}": {} for number in range(6)}
        for _ in range(300):
            engine = rng.choice(sorted(end_ms_by_id_by_engine))
            end_ms_by_id = end_ms_by_id_by_engine[engine]
            is_deadly = rng.random() < 0.05
            parts = (KIND, rng.randint(10, 14)) + ((DEADLY,) if is_deadly else ())
            lease_id = engines.grant(parts, engine)
            sound += not is_deadly
            refused_sound += lease_id is None and not is_deadly
            engines.clock.advance(rng.randint(0, 100))
            now = engines.clock.now()
            if lease_id is not None:
                end_ms_by_id[lease_id] = now + rng.randint(300, 3_000)
            if lease_id is not None and is_deadly:
                crash_times_ms.append(now)
                for other in end_ms_by_id:
                    begun = other != lease_id and rng.random() < 0.5
                    outcome = CUT if begun else CUT_BEFORE_ANSWER
                    engines.suspects.record_outcome(other, outcome)
                end_ms_by_id.clear()
            for end_ms_by_id in end_ms_by_id_by_engine.values():
                for ended in [one for one, end in end_ms_by_id.items() if end <= now]:
                    del end_ms_by_id[ended]
                    engines.suspects.record_outcome(ended, "done")
            engines.suspects.tick()
        known_ms = [*crash_times_ms, *[math.inf] * KNOWN_AFTER_CRASHES][
            KNOWN_AFTER_CRASHES - 1
        ]
        sent_late = [time for time in crash_times_ms if time > known_ms + STABLE_MS]
        self.assertLessEqual(len(sent_late), MAX_SENT_LATE)
        self.assertLessEqual(refused_sound, MAX_REFUSED_SHARE * sound)
