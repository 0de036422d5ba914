"""Tests of `peridotcove.engine_notices`."""

import unittest

from attrs import evolve
from hypothesis import given, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from peridotcove.cold_engines import MAX_COLD_MS
from peridotcove.engine_notices import (
    COLD_NEWS_MS,
    KEEP_MS,
    MAX_NOTICES,
    MAX_PAUSE_MS,
    MAX_REFUSAL_PAUSE_MS,
    EngineNotices,
    Notice,
    find_pause_ms,
    read_cold_time,
    read_max_refusals,
    read_pause,
)
from peridotcove.exceptions import RequestRefused
from peridotcove.models import Configuration, Engine, LifecycleStatus
from tests.fakes import FakeClock, count_history

LEAVING = Notice(is_leaving=True)
NAMES = ("e1", "e2", "e3")


def make_engine(name="e1", incarnation=5):
    return Engine(name, "http://127.0.0.1:1", "z", "m", incarnation=incarnation)


def make_configuration(*engines):
    return Configuration(engine_by_name={one.name: one for one in engines})


class EngineNoticesTest(unittest.TestCase):
    """Notices hold for an incarnation, and pauses until their end."""

    def setUp(self):
        self.clock = FakeClock()
        self.notices = EngineNotices(self.clock)

    def find_status(self, *engines, name="e1"):
        found = self.notices.withhold_engines(make_configuration(*engines))
        return found.engine_by_name[name].status

    def check_refused(self, engine, code):
        with self.assertRaises(RequestRefused) as caught:
            self.notices.check_available(engine)
        self.assertEqual(caught.exception.code, code)

    def test_engine_that_leaves_gets_no_work_although_it_is_listed_as_ready(self):
        engine = make_engine()
        self.assertTrue(self.notices.record(engine, LEAVING))
        self.assertFalse(self.notices.record(engine, LEAVING))
        for _ in range(5):
            self.assertIs(self.find_status(engine), LifecycleStatus.LEAVING)
            self.check_refused(engine, "leaving")
            self.clock.advance(KEEP_MS)

    def test_restarted_engine_gets_work_at_once(self):
        old, new = make_engine(), make_engine(incarnation=6)
        self.notices.record(old, Notice(is_leaving=True, pause_ms=9_000))
        self.assertIs(self.find_status(new), LifecycleStatus.IN_SERVICE)
        self.notices.check_available(new)
        nothing = {"leaving": [], "cold_ms": {}, "paused_ms": {}}
        self.assertEqual(self.notices.describe(), nothing)

    def test_new_engine_on_the_address_gets_work(self):
        self.notices.record(make_engine(), LEAVING)
        other = make_engine("e2")
        status = self.find_status(make_engine(), other, name="e2")
        self.assertIs(status, LifecycleStatus.IN_SERVICE)

    def test_entry_that_an_outage_lost_leaves_as_before(self):
        engine = make_engine()
        self.notices.record(engine, LEAVING)
        self.notices.withhold_engines(make_configuration())
        self.clock.advance(KEEP_MS - 1)
        self.assertIs(self.find_status(engine), LifecycleStatus.LEAVING)
        self.clock.advance(KEEP_MS)
        self.notices.withhold_engines(make_configuration())
        self.assertEqual(self.notices.leaving_keys(), [])

    def test_notice_of_an_unknown_incarnation_ends(self):
        engine = make_engine(incarnation=0)
        self.notices.record(engine, LEAVING)
        self.assertIs(self.find_status(engine), LifecycleStatus.LEAVING)
        self.clock.advance(KEEP_MS)
        self.assertIs(self.find_status(engine), LifecycleStatus.IN_SERVICE)

    def test_pause_ends_with_its_time(self):
        engine = make_engine()
        self.notices.record(engine, Notice(pause_ms=400))
        self.notices.record(engine, Notice(pause_ms=100))
        self.clock.advance(399)
        self.check_refused(engine, "paused")
        self.assertEqual(self.notices.pause_left_ms(engine), 1)
        self.clock.advance(1)
        self.notices.check_available(engine)
        self.assertFalse(self.notices.has_pauses)

    def test_pause_is_no_state_of_the_fleet(self):
        engine = make_engine()
        self.assertFalse(self.notices.record(engine, Notice(pause_ms=400)))
        self.assertIs(self.find_status(engine), LifecycleStatus.IN_SERVICE)
        self.assertEqual(self.notices.leaving_keys(), [])

    def test_number_of_notices_is_bounded(self):
        for number in range(MAX_NOTICES + 10):
            engine = make_engine(f"e{number}")
            self.notices.record(engine, Notice(is_leaving=True, pause_ms=9_000))
        self.assertEqual(len(self.notices.leaving_keys()), MAX_NOTICES)
        self.assertEqual(len(self.notices.describe()["paused_ms"]), MAX_NOTICES)


class ColdNoticesTest(unittest.TestCase):
    """A cold time holds for an incarnation, whatever the configuration says."""

    def setUp(self):
        self.clock = FakeClock()
        self.notices = EngineNotices(self.clock)
        self.engine = make_engine()
        self.key = self.engine.name, self.engine.incarnation

    def find_marked(self, *engines):
        found = self.notices.mark_cold_engines(make_configuration(*engines))
        return found.engine_by_name[self.engine.name]

    def test_the_configuration_has_the_time_that_is_left(self):
        self.assertTrue(self.notices.record_cold(self.key, 5_000))
        self.assertTrue(self.notices.pop_changed())
        self.clock.advance(2_000)
        marked = self.find_marked(self.engine)
        self.assertEqual(marked.cold_ms, 3_000)
        self.assertTrue(marked.cold_report)
        self.clock.advance(3_000)
        self.assertIs(self.find_marked(self.engine), self.engine)

    def test_only_a_later_end_is_news(self):
        self.assertTrue(self.notices.record_cold(self.key, 5_000))
        report = self.find_marked(self.engine).cold_report
        self.clock.advance(1_000)
        for left_ms in (4_000, 4_000 + COLD_NEWS_MS - 1, 100, 0, -1):
            self.assertFalse(self.notices.record_cold(self.key, left_ms))
        self.assertEqual(self.find_marked(self.engine).cold_report, report)
        self.assertTrue(self.notices.record_cold(self.key, 4_000 + COLD_NEWS_MS))
        self.assertNotEqual(self.find_marked(self.engine).cold_report, report)

    def test_another_incarnation_is_not_cold(self):
        self.notices.record_cold(self.key, 5_000)
        new = evolve(self.engine, incarnation=self.engine.incarnation + 1)
        self.assertIs(self.find_marked(new), new)
        self.notices.withhold_engines(make_configuration(new))
        self.assertEqual(self.notices.list_cold(), [])

    def test_times_that_are_none_are_ignored(self):
        for text in ("", "soon", "-1", "1.5", "1e3", "\u0663", "nan", "0"):
            with self.subTest(text=text):
                notice = read_cold_time(text)
                self.assertEqual(notice.cold_ms, 0)
                self.assertEqual(bool(notice.fault), text != "0")
        self.assertEqual(read_cold_time("2500").cold_ms, 2_500)
        for text in ("999999999", "9" * 5_000):
            self.assertEqual(read_cold_time(text).cold_ms, MAX_COLD_MS)


class ReadPauseTest(unittest.TestCase):
    """Seconds of a refusal; what is none is ignored, and a day is the most."""

    def test_values(self):
        for text, pause_ms, has_fault in (
            ("4", 4_000, False),
            ("0.25", 250, False),
            ("0", 0, False),
            ("86400", MAX_PAUSE_MS, False),
            ("86401", MAX_PAUSE_MS, True),
            ("1e300", MAX_PAUSE_MS, True),
            ("-1", 0, True),
            ("nan", 0, True),
            ("inf", 0, True),
            ("1,2", 0, True),
            ("", 0, True),
            ("soon", 0, True),
            ("Wed, 21 Oct 2026 07:28:00 GMT", 0, True),
        ):
            with self.subTest(text=text):
                notice = read_pause(text)
                self.assertEqual(notice.pause_ms, pause_ms)
                self.assertEqual(bool(notice.fault), has_fault)

    @given(strategies.text())
    def test_any_text_gives_a_bounded_pause(self, text):
        self.assertLessEqual(0, read_pause(text).pause_ms)
        self.assertLessEqual(read_pause(text).pause_ms, MAX_PAUSE_MS)


class NoticeHistory(RuleBasedStateMachine):
    """Answers, entries and restarts in any order, against the rules as written."""

    def __init__(self):
        super().__init__()
        self.clock = FakeClock()
        self.notices = EngineNotices(self.clock)
        self.engine_by_name = {name: make_engine(name) for name in NAMES}
        self.listed = set(NAMES)
        self.leaving = set()
        self.pause_end_by_name = {}
        count_history("engine notices")

    @rule(name=strategies.sampled_from(NAMES))
    def answer_leaving(self, name):
        self.notices.record(self.engine_by_name[name], LEAVING)
        self.leaving.add(name)

    @rule(name=strategies.sampled_from(NAMES), wait_ms=strategies.integers(1, 9_000))
    def refuse(self, name, wait_ms):
        self.notices.record(self.engine_by_name[name], Notice(pause_ms=wait_ms))
        end_ms = self.clock.now() + wait_ms
        known_ms = self.pause_end_by_name.get(name, 0)
        self.pause_end_by_name[name] = max(end_ms, known_ms)

    @rule(name=strategies.sampled_from(NAMES))
    def report_leaving(self, name):
        incarnation = self.engine_by_name[name].incarnation
        self.notices.handle_report([[name, incarnation]])
        self.leaving.add(name)

    @rule(name=strategies.sampled_from(NAMES))
    def report_late(self, name):
        incarnation = self.engine_by_name[name].incarnation
        self.notices.handle_report([[name, incarnation - 1]])

    @rule(name=strategies.sampled_from(NAMES))
    def restart(self, name):
        engine = self.engine_by_name[name]
        incarnation = engine.incarnation + 1
        self.engine_by_name[name] = evolve(engine, incarnation=incarnation)
        self.leaving.discard(name)
        self.pause_end_by_name.pop(name, None)

    @rule(name=strategies.sampled_from(NAMES))
    def drop_or_list(self, name):
        self.listed ^= {name}

    @rule(wait_ms=strategies.integers(1, 2_000))
    def wait(self, wait_ms):
        self.clock.advance(wait_ms)

    @invariant()
    def notices_hold_for_their_incarnation(self):
        engines = [self.engine_by_name[name] for name in sorted(self.listed)]
        found = self.notices.withhold_engines(make_configuration(*engines))
        for name, engine in found.engine_by_name.items():
            is_leaving = engine.status is LifecycleStatus.LEAVING
            assert is_leaving == (name in self.leaving), name
        now = self.clock.now()
        for name, engine in self.engine_by_name.items():
            expected_ms = max(0, self.pause_end_by_name.get(name, 0) - now)
            assert self.notices.pause_left_ms(engine) == expected_ms, name


NoticeHistoryTest = NoticeHistory.TestCase


class MaxRefusalsTest(unittest.TestCase):
    """How long a node spares an engine that fails if it refuses too much."""

    def test_numbers_of_requests(self):
        for text, number in (("0", 0), ("7", 7), ("9" * 99, 999_999_999)):
            with self.subTest(text=text[:9]):
                self.assertEqual(read_max_refusals(text), Notice(max_refusals=number))

    def test_what_is_no_number_is_ignored(self):
        for text in ("", "-1", "1.5", "many", "\u0663"):
            with self.subTest(text=text):
                notice = read_max_refusals(text)
                self.assertIsNone(notice.max_refusals)
                self.assertTrue(notice.fault)

    def test_all_nodes_together_cause_no_more_refusals_than_the_engine_bears(self):
        for nodes in (1, 9, 70, 330):
            for number in (0, 1, 5, 40, 1_000):
                with self.subTest(nodes=nodes, number=number):
                    pause_ms = find_pause_ms(number, nodes)
                    self.assertTrue(1_000 <= pause_ms <= MAX_REFUSAL_PAUSE_MS)
                    refusals_per_s = nodes * 1_000 / pause_ms
                    if pause_ms < MAX_REFUSAL_PAUSE_MS:
                        self.assertLess(refusals_per_s, max(1, number) * 1.01)
