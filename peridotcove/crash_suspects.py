"""Finds the parts of prompts that crash engines, and quarantines them.

A crash is seen when most of the requests on an engine lose their connection at once.
It accuses the shared parts of the prompts whose answer had not begun. A complete answer
to a request clears all of its parts. A part that is accused of several crashes in
succession is quarantined: requests with it are refused, but for one probe each time the
quarantine ends, and each further crash doubles the quarantine.
"""

import math
from collections import Counter

from attrs import define, field, frozen

from peridotcove.exceptions import ProtocolError

# Outcomes of a lease whose connection ended early: before the first byte of the answer,
# or after it.
CUT_BEFORE_ANSWER = "cut-before-answer"
CUT = "cut"
CUT_OUTCOMES = (CUT_BEFORE_ANSWER, CUT)

# Requests of one engine whose connections end within this time were cut by one failure.
# Longer than the differences between the links of their entry nodes.
CRASH_WINDOW_MS = 100
# Time after a lone cut in which an unreachable engine confirms that it crashed.
LONE_CUT_WINDOW_MS = 2_000
# Share of the requests of an engine that a crash cuts at least; some may end meanwhile.
MIN_CUT_SHARE = 0.5
MIN_CUT_REQUESTS = 2
# Engines that fail within this time have a common cause, such as a power supply, and
# accuse a part once.
COMMON_CAUSE_MS = 100
# Crashes in succession after which a part is quarantined, and the same for a part that
# was sound before.
QUARANTINE_CRASHES = 2
SOUND_QUARANTINE_CRASHES = 4
FIRST_QUARANTINE_MS = 10_000
MAX_QUARANTINE_MS = 600_000
# A probe whose outcome is not known by then has no result.
PROBE_TIMEOUT_MS = 10_000
# Time from the end of a probe to the next one, in which its crash would be confirmed.
PROBE_PAUSE_MS = 500
# Time for which a part counts as sound after a complete answer.
SOUND_MS = 60_000
# A request that has run this long on an engine that lives has begun its answer.
ANSWER_BEGUN_MS = 1_000
# Time after the first request in which it is not known yet which parts are sound, and
# requests on engines that live by which a part may be sound then.
LEARNING_MS = 3_000
LEARNING_OPEN_REQUESTS = 3
# A part without a further crash is forgotten after this time.
FORGET_SUSPECT_MS = 60_000
FORGET_QUARANTINE_MS = 600_000
# A lease whose release was lost is forgotten after this time.
FORGET_LEASE_MS = 30_000
MAX_SOUND_PARTS = 8_192
MIN_RETRY_AFTER_MS = 500
RECORD_FIELDS = 5


@define
class Suspect:
    """A part that is accused of crashes.

    Attributes
    ----------
    crashes : int
        Crashes in succession that accuse it.
    last_crash_ms : int
        Time in ms of the last one.
    blocked_until_ms : int
        Time in ms at which its quarantine ends; 0 if it is not quarantined.
    rivals : frozenset of int
        Parts that are accused of all the same crashes.
    probe_until_ms : int
        Time in ms until which there is no other probe.
    """

    crashes: int = 0
    last_crash_ms: int = 0
    blocked_until_ms: int = 0
    rivals: frozenset = frozenset()
    probe_until_ms: int = 0


@frozen
class Quarantine:
    """Why a request is refused.

    Attributes
    ----------
    part : int
        Hash of the part that is quarantined.
    crashes : int
        Crashes in succession that accuse it.
    left_ms : int
        Time in ms until the next probe.
    """

    part: int
    crashes: int
    left_ms: int


@frozen
class EngineCrash:
    """A crash of an engine, as its requests showed it.

    Attributes
    ----------
    engine : str
        Name of the engine.
    cut_requests : int
        Number of its requests that were cut.
    crashes_by_part : dict of int
        Crashes in succession by accused part.
    quarantined : tuple of int
        Parts whose quarantine begins or is prolonged.
    """

    engine: str
    cut_requests: int
    crashes_by_part: dict
    quarantined: tuple


@frozen
class _OpenLease:
    engine: str
    parts: tuple
    since_ms: int


@frozen
class _Trust:
    """What speaks for a part: whether it may be sound, and its running requests."""

    may_be_sound: bool
    open_count: int


@define
class _Failure:
    """Cut requests of one engine that may turn out to be a crash."""

    engine: str
    since_ms: int
    open_count: int
    cut_count: int = 0
    unreachable: bool = False
    cut_probe: bool = False
    parts: set = field(factory=set)

    def is_crash(self):
        enough = self.cut_count >= MIN_CUT_REQUESTS or self.unreachable
        most = self.cut_count >= MIN_CUT_SHARE * self.open_count
        return self.cut_probe or (enough and most)


class CrashSuspects:
    """Suspected and quarantined parts, as one node knows them.

    Parameters
    ----------
    clock : Clock
        Time in ms.

    Attributes
    ----------
    suspect_by_part : dict of Suspect
        Accused parts by hash.
    """

    def __init__(self, clock):
        self.suspect_by_part = {}
        self._clock = clock
        self._lease_by_id = {}
        self._ids_by_engine = {}
        self._failure_by_engine = {}
        self._sound_ms_by_part = {}
        self._first_lease_ms = None
        self._incident_ms = -math.inf
        self._incident_parts = set()
        self._probed_parts_by_id = {}

    @property
    def quarantined_count(self):
        """Number of parts that are quarantined."""
        return sum(map(self._is_quarantined, self.suspect_by_part))

    def find_quarantine(self, parts, lease_id, may_probe):
        """Return the `Quarantine` that a request is refused for, or None.

        Parameters
        ----------
        parts : tuple of int
            Hashes of the shared parts of the request's prompt.
        lease_id : bytes
            Id of the lease that is requested.
        may_probe : bool
            Whether the request may be the probe of a part whose quarantine has ended.
        """
        if not self.suspect_by_part:
            return None
        now = self._clock.now()
        if lease_id in self._probed_parts_by_id:
            return None
        probed = []
        for part in parts:
            suspect = self.suspect_by_part.get(part)
            if suspect is None or not suspect.blocked_until_ms:
                continue
            left_ms = suspect.blocked_until_ms - now
            due = left_ms <= 0 or self._tells_rivals_apart(suspect, parts)
            if not may_probe or not due or now < suspect.probe_until_ms:
                left_ms = max(left_ms, MIN_RETRY_AFTER_MS)
                return Quarantine(part, suspect.crashes, left_ms)
            probed.append(part)
        for part in probed:
            self.suspect_by_part[part].probe_until_ms = now + PROBE_TIMEOUT_MS
        if probed:
            self._probed_parts_by_id[lease_id] = probed
        return None

    def _tells_rivals_apart(self, suspect, parts):
        """Return whether a request lacks a part that may be the cause instead."""
        return any(
            rival not in parts and self._is_quarantined(rival)
            for rival in suspect.rivals
        )

    def _is_quarantined(self, part):
        suspect = self.suspect_by_part.get(part)
        return suspect is not None and bool(suspect.blocked_until_ms)

    def record_grant(self, lease_id, engine, parts):
        """Record that a request is sent to an engine.

        Parameters
        ----------
        lease_id : bytes
            Id of its lease.
        engine : str
            Name of the engine.
        parts : tuple of int
            Hashes of the shared parts of its prompt.
        """
        now = self._clock.now()
        if self._first_lease_ms is None:
            self._first_lease_ms = now
        self._lease_by_id[lease_id] = _OpenLease(engine, parts, now)
        self._ids_by_engine.setdefault(engine, set()).add(lease_id)

    def record_outcome(self, lease_id, outcome):
        """Record how a request ended.

        Parameters
        ----------
        lease_id : bytes
            Id of its lease; an unknown one is ignored.
        outcome : str
            Outcome of the lease; see `peridotcove.nodes.messages.ReleaseLease`.

        Returns
        -------
        crashes : list of EngineCrash
            Crashes that are confirmed by it.
        cleared : list of int
            Accused parts that it clears.
        """
        lease = self._lease_by_id.get(lease_id)
        if lease is None:
            self.cancel_probe(lease_id)
            return [], []
        open_count = len(self._ids_by_engine[lease.engine])
        self._remove_lease(lease_id, lease)
        is_probe = self._end_probe(lease_id)
        if outcome == "done":
            return [], self._clear(lease)
        if outcome in CUT_OUTCOMES:
            self._add_cut(lease, outcome, open_count, is_probe)
        elif outcome == "unreachable" and lease.engine in self._failure_by_engine:
            self._failure_by_engine[lease.engine].unreachable = True
        return self.tick(), []

    def _remove_lease(self, lease_id, lease):
        del self._lease_by_id[lease_id]
        ids = self._ids_by_engine[lease.engine]
        ids.discard(lease_id)
        if not ids:
            del self._ids_by_engine[lease.engine]

    def _clear(self, lease):
        now = self._clock.now()
        for part in lease.parts:
            self._sound_ms_by_part.pop(part, None)
            self._sound_ms_by_part[part] = now
        while len(self._sound_ms_by_part) > MAX_SOUND_PARTS:
            del self._sound_ms_by_part[next(iter(self._sound_ms_by_part))]
        return [
            part
            for part in lease.parts
            if self.suspect_by_part.pop(part, None) is not None
        ]

    def _add_cut(self, lease, outcome, open_count, is_probe):
        failure = self._failure_by_engine.get(lease.engine)
        if failure is None:
            failure = _Failure(lease.engine, self._clock.now(), open_count)
            self._failure_by_engine[lease.engine] = failure
        failure.cut_count += 1
        if outcome == CUT_BEFORE_ANSWER:
            failure.parts.update(lease.parts)
            failure.cut_probe |= is_probe

    def cancel_probe(self, lease_id):
        """End the probe of a request that was not sent to an engine.

        Parameters
        ----------
        lease_id : bytes
            Id of the lease that was requested.
        """
        self._end_probe(lease_id)

    def _end_probe(self, lease_id):
        """End the probe of a request; return whether it was one.

        Until its crash is confirmed, the part is not probed again.
        """
        probed = self._probed_parts_by_id.pop(lease_id, ())
        for part in probed:
            suspect = self.suspect_by_part.get(part)
            if suspect is not None:
                suspect.probe_until_ms = self._clock.now() + PROBE_PAUSE_MS
        return bool(probed)

    def tick(self):
        """Return the crashes that are confirmed now; forget what is too old.

        Call it several times a second.

        Returns
        -------
        list of EngineCrash
        """
        crashes = []
        now = self._clock.now()
        for engine, failure in list(self._failure_by_engine.items()):
            age_ms = now - failure.since_ms
            if age_ms < CRASH_WINDOW_MS:
                continue
            is_crash = failure.is_crash()
            if is_crash:
                crashes.append(self._accuse(failure))
            is_lone = failure.cut_count < MIN_CUT_REQUESTS
            if is_crash or not is_lone or age_ms >= LONE_CUT_WINDOW_MS:
                del self._failure_by_engine[engine]
        self._forget_old(now)
        return crashes

    def _accuse(self, failure):
        now = self._clock.now()
        if failure.since_ms - self._incident_ms > COMMON_CAUSE_MS:
            self._incident_ms = failure.since_ms
            self._incident_parts = set()
        for part in failure.parts:
            self._add_crash(part, failure.parts, now)
        trust_by_part = self._assess_parts(failure.parts)
        quarantined = []
        for part in sorted(failure.parts):
            suspect = self.suspect_by_part[part]
            if self._is_conclusive(part, suspect, trust_by_part):
                suspect.blocked_until_ms = now + _quarantine_ms(suspect.crashes)
                quarantined.append(part)
        crashes_by_part = {
            part: self.suspect_by_part[part].crashes for part in sorted(failure.parts)
        }
        return EngineCrash(
            failure.engine, failure.cut_count, crashes_by_part, tuple(quarantined)
        )

    def _add_crash(self, part, accused, now):
        suspect = self.suspect_by_part.get(part)
        if suspect is None:
            rivals = frozenset(accused - {part})
            suspect = self.suspect_by_part[part] = Suspect(rivals=rivals)
        suspect.rivals &= accused
        if part not in self._incident_parts:
            self._incident_parts.add(part)
            suspect.crashes += 1
            suspect.last_crash_ms = now

    def _assess_parts(self, parts):
        """Return the `_Trust` of parts by hash."""
        now = self._clock.now()
        open_count_by_part = Counter()
        begun_parts = set()
        for lease in self._lease_by_id.values():
            if lease.engine not in self._failure_by_engine:
                open_count_by_part.update(lease.parts)
                if now - lease.since_ms >= ANSWER_BEGUN_MS:
                    begun_parts.update(lease.parts)
        is_learning = now - self._first_lease_ms < LEARNING_MS
        trust_by_part = {}
        for part in parts:
            open_count = open_count_by_part[part]
            may_be_sound = (
                part in begun_parts
                or now - self._sound_ms_by_part.get(part, -math.inf) < SOUND_MS
                or (is_learning and open_count >= LEARNING_OPEN_REQUESTS)
            )
            trust_by_part[part] = _Trust(may_be_sound, open_count)
        return trust_by_part

    def _is_conclusive(self, part, suspect, trust_by_part):
        if suspect.blocked_until_ms:
            return True
        is_sound = trust_by_part[part].may_be_sound
        min_crashes = SOUND_QUARANTINE_CRASHES if is_sound else QUARANTINE_CRASHES
        return suspect.crashes >= min_crashes and not any(
            self._explains(rival, part, trust_by_part) for rival in suspect.rivals
        )

    def _explains(self, rival, part, trust_by_part):
        """Return whether a rival explains the crashes of a part better.

        It is accused more often or, if as often, has fewer requests on engines that
        live. A part that may be sound does not explain those of one that was never.
        """
        rival_crashes = self.suspect_by_part[rival].crashes
        crashes = self.suspect_by_part[part].crashes
        trust, rival_trust = trust_by_part[part], trust_by_part[rival]
        if rival_crashes < crashes:
            return False
        if rival_trust.may_be_sound != trust.may_be_sound:
            return trust.may_be_sound
        return rival_crashes > crashes or rival_trust.open_count < trust.open_count

    def _forget_old(self, now):
        # Leases are in the order of their grants.
        while self._lease_by_id:
            lease_id, lease = next(iter(self._lease_by_id.items()))
            if now - lease.since_ms < FORGET_LEASE_MS:
                break
            self._remove_lease(lease_id, lease)
            self._end_probe(lease_id)
        for part, suspect in list(self.suspect_by_part.items()):
            if suspect.blocked_until_ms:
                end_ms = suspect.blocked_until_ms + FORGET_QUARANTINE_MS
            else:
                end_ms = suspect.last_crash_ms + FORGET_SUSPECT_MS
            if now >= end_ms:
                del self.suspect_by_part[part]

    def records(self, parts=None):
        """Return suspects in the form that nodes exchange.

        Parameters
        ----------
        parts : iterable of int or None
            Parts to return; all if None. A part that is not suspected is returned as
            cleared.

        Returns
        -------
        list of list
            Part, crashes, time in ms since the last crash, time in ms for which it is
            quarantined (-1 if it is not), and rivals.
        """
        now = self._clock.now()
        records = []
        for part in self.suspect_by_part if parts is None else parts:
            suspect = self.suspect_by_part.get(part)
            if suspect is None:
                records.append([part, 0, 0, -1, []])
                continue
            left_ms = -1
            if suspect.blocked_until_ms:
                left_ms = max(0, suspect.blocked_until_ms - now)
            age_ms = now - suspect.last_crash_ms
            rivals = sorted(suspect.rivals)
            records.append([part, suspect.crashes, age_ms, left_ms, rivals])
        return records

    def merge_records(self, records):
        """Merge the suspects of another node.

        Parameters
        ----------
        records : list of list
            Records of `records` at the other node.

        Raises
        ------
        ProtocolError
            If a record is malformed.
        """
        now = self._clock.now()
        for part, crashes, age_ms, left_ms, rivals in map(_check_record, records):
            if not crashes:
                self.suspect_by_part.pop(part, None)
                continue
            suspect = self.suspect_by_part.get(part)
            if suspect is None:
                suspect = self.suspect_by_part[part] = Suspect(rivals=frozenset(rivals))
            suspect.rivals &= frozenset(rivals)
            suspect.crashes = max(suspect.crashes, crashes)
            suspect.last_crash_ms = max(suspect.last_crash_ms, now - age_ms)
            if left_ms >= 0:
                blocked_until_ms = max(1, now + left_ms)
                suspect.blocked_until_ms = max(
                    suspect.blocked_until_ms, blocked_until_ms
                )


def _check_record(record):
    if not isinstance(record, list) or len(record) != RECORD_FIELDS:
        raise ProtocolError(f"malformed record of a suspected part: {record!r}")
    *numbers, rivals = record
    values = [*numbers, *rivals] if isinstance(rivals, list) else [None]
    if not all(type(value) is int for value in values):
        raise ProtocolError(f"malformed record of a suspected part: {record!r}")
    return record


def _quarantine_ms(crashes):
    doublings = min(max(0, crashes - QUARANTINE_CRASHES), 10)
    return min(MAX_QUARANTINE_MS, FIRST_QUARANTINE_MS << doublings)
