"""What engines say in answers to this node: that they leave, want no work or are cold.

A notice is one of an incarnation of an engine, not of its name or address: a restarted
engine gets work at once. That an engine leaves holds until the engine is gone; no other
source cancels it. That it wants no work for a time holds for this node only. That it is
cold holds for that time, whatever the configuration says.
"""

from attrs import evolve, frozen

from peridotcove.clock import MS_PER_S
from peridotcove.cold_engines import MAX_COLD_MS
from peridotcove.exceptions import RequestRefused
from peridotcove.models import LifecycleStatus

# Longest pause that is granted to an engine; a longer one is taken for a fault of it.
MAX_PAUSE_MS = 86_400_000
# Time for which a notice is kept after the configuration has lost its engine, whose
# entry may come back after an outage, or of an engine whose incarnation is unknown.
KEEP_MS = 120_000
MAX_NOTICES = 4_096
RETRY_AFTER_MS = 100
# Longest time for which a node spares an engine that fails if it refuses too much.
MAX_REFUSAL_PAUSE_MS = 5_000
# Digits of a number of requests that are read; larger numbers bound nothing.
MAX_DIGITS = 9
# An engine that names a later end of its cold time than before by at least this is cold
# anew; less is the delay of its answers.
COLD_NEWS_MS = 250
# Numbers of reports that come from notices; those of the configuration are smaller.
FIRST_COLD_REPORT = 1 << 60


@frozen
class Notice:
    """What an answer says of its engine.

    Attributes
    ----------
    is_leaving : bool
        Whether the engine leaves.
    pause_ms : int
        Time in ms for which it wants no requests; 0 if it names none.
    fault : str
        Why a number that it names can't be used; empty if it can.
    max_refusals : int or None
        Requests that it can refuse in a second without failing, over all nodes, if it
        has just refused one; None if it names no such number.
    cold_ms : int
        Time in ms for which it stays cold; 0 if it names none.
    """

    is_leaving: bool = False
    pause_ms: int = 0
    fault: str = ""
    max_refusals: int | None = None
    cold_ms: int = 0


NO_NOTICE = Notice()


class EngineNotices:
    """The notices of engines that are in force at this node.

    Parameters
    ----------
    clock : Clock
        Time in ms, including the time for which the system was suspended.
    """

    def __init__(self, clock):
        self._clock = clock
        self._seen_ms_by_leaving = {}
        self._pause_end_by_key = {}
        # End of the cold time and number of the report.
        self._cold_by_key = {}
        self._cold_reports = 0
        self._changed = False

    @property
    def has_pauses(self):
        """Whether some engine may want no requests at the moment."""
        return bool(self._pause_end_by_key)

    def record(self, engine, notice):
        """Record the notice of an answer; return whether it is news that it leaves.

        Parameters
        ----------
        engine : Engine
            The engine as it was when the request was sent.
        notice : Notice
            The notice.
        """
        key = _make_key(engine)
        if notice.pause_ms:
            wait_ms = min(notice.pause_ms, MAX_PAUSE_MS)
            end_ms = self._clock.now() + wait_ms
            end_ms = max(end_ms, self._pause_end_by_key.get(key, 0))
            self._pause_end_by_key[key] = end_ms
            _drop_oldest(self._pause_end_by_key)
        return notice.is_leaving and self._record_leaving(key)

    def record_cold(self, key, left_ms):
        """Record that an engine is cold; return whether that is news.

        Parameters
        ----------
        key : tuple
            Name and incarnation of the engine.
        left_ms : int
            Time in ms for which it stays cold.
        """
        end_ms = self._clock.now() + min(left_ms, MAX_COLD_MS)
        known_end_ms, _ = self._cold_by_key.get(key, (self._clock.now(), 0))
        if left_ms <= 0 or end_ms < known_end_ms + COLD_NEWS_MS:
            return False
        self._cold_reports += 1
        self._cold_by_key[key] = end_ms, FIRST_COLD_REPORT + self._cold_reports
        self._changed = True
        _drop_oldest(self._cold_by_key)
        return True

    def list_cold(self):
        """Return name, incarnation and time left in ms of the engines that are cold."""
        now = self._clock.now()
        return [
            (*key, end_ms - now)
            for key, (end_ms, _) in sorted(self._cold_by_key.items())
            if end_ms > now
        ]

    def mark_cold_engines(self, current):
        """Return the current configuration with the engines that are cold marked so.

        Parameters
        ----------
        current : Configuration
            Configuration that was read last.

        Returns
        -------
        Configuration
            The object `current` itself if no engine is marked.
        """
        engine_by_name = current.engine_by_name
        marked = {
            name: evolve(
                engine_by_name[name],
                cold_ms=left_ms,
                cold_report=self._cold_by_key[name, incarnation][1],
            )
            for name, incarnation, left_ms in self.list_cold()
            if name in engine_by_name
            and engine_by_name[name].incarnation == incarnation
        }
        if not marked:
            return current
        return evolve(current, engine_by_name=engine_by_name | marked)

    def handle_report(self, keys):
        """Record engines that leave by the report of another node; return the new ones.

        Parameters
        ----------
        keys : iterable of tuple
            Name and incarnation of each engine.
        """
        return [key for key in map(tuple, keys) if self._record_leaving(key)]

    def _record_leaving(self, key):
        is_new = key not in self._seen_ms_by_leaving
        self._seen_ms_by_leaving[key] = self._clock.now()
        if is_new:
            self._changed = True
            _drop_oldest(self._seen_ms_by_leaving)
        return is_new

    def leaving_keys(self):
        """Return name and incarnation of the engines that leave by a notice."""
        return sorted(self._seen_ms_by_leaving)

    def is_leaving(self, engine):
        """Return whether an engine has said that it leaves.

        Parameters
        ----------
        engine : Engine
            The engine.
        """
        return _make_key(engine) in self._seen_ms_by_leaving

    def pause_left_ms(self, engine):
        """Return the time in ms for which an engine wants no requests; 0 if it does.

        Parameters
        ----------
        engine : Engine
            The engine.
        """
        key = _make_key(engine)
        end_ms = self._pause_end_by_key.get(key)
        if end_ms is None:
            return 0
        left_ms = end_ms - self._clock.now()
        if left_ms <= 0:
            del self._pause_end_by_key[key]
            return 0
        return left_ms

    def check_available(self, engine):
        """Raise an error if an engine has asked for no requests.

        Call this right before anything is sent to the engine.

        Parameters
        ----------
        engine : Engine
            The engine.

        Raises
        ------
        RequestRefused
            If the engine leaves or has asked for a pause that is not over.
        """
        if self.is_leaving(engine):
            text = f"engine {engine.name!r} says that it leaves"
            raise RequestRefused("leaving", text, 503, RETRY_AFTER_MS)
        left_ms = self.pause_left_ms(engine)
        if left_ms:
            text = f"engine {engine.name!r} wants no requests for {left_ms} ms"
            raise RequestRefused("paused", text, 503, left_ms)

    def pop_changed(self):
        """Return whether an engine was recorded since the last call."""
        changed, self._changed = self._changed, False
        return changed

    def withhold_engines(self, current):
        """Return the current configuration with the engines that leave marked so.

        Notices of incarnations that a newer one has replaced are dropped, and after
        `KEEP_MS` those of engines that the configuration lacks.

        Parameters
        ----------
        current : Configuration
            Configuration that was read last.

        Returns
        -------
        Configuration
            The object `current` itself if no engine is marked.
        """
        engine_by_name = current.engine_by_name
        self._drop_outdated(engine_by_name)
        withheld = {
            name: evolve(engine_by_name[name], status=LifecycleStatus.LEAVING)
            for name, incarnation in self._seen_ms_by_leaving
            if name in engine_by_name
            and engine_by_name[name].incarnation == incarnation
            and engine_by_name[name].status is LifecycleStatus.IN_SERVICE
        }
        if not withheld:
            return current
        return evolve(current, engine_by_name=engine_by_name | withheld)

    def _drop_outdated(self, engine_by_name):
        now = self._clock.now()
        for key, seen_ms in list(self._seen_ms_by_leaving.items()):
            name, incarnation = key
            engine = engine_by_name.get(name)
            if engine is None or not incarnation:
                # Without a known incarnation a restart can't be told from the same run.
                if now - seen_ms >= KEEP_MS:
                    del self._seen_ms_by_leaving[key]
            elif engine.incarnation > incarnation:
                del self._seen_ms_by_leaving[key]
            else:
                self._seen_ms_by_leaving[key] = now
        for key, end_ms in list(self._pause_end_by_key.items()):
            engine = engine_by_name.get(key[0])
            replaced = engine is not None and engine.incarnation > key[1]
            if end_ms <= now or replaced:
                del self._pause_end_by_key[key]
        for key, (end_ms, _) in list(self._cold_by_key.items()):
            engine = engine_by_name.get(key[0])
            if end_ms <= now or (engine is not None and engine.incarnation > key[1]):
                del self._cold_by_key[key]

    def describe(self):
        """Return the notices in force as a value for JSON."""
        now = self._clock.now()
        return {
            "leaving": [name for name, _ in self.leaving_keys()],
            "cold_ms": {name: left_ms for name, _, left_ms in self.list_cold()},
            "paused_ms": {
                name: end_ms - now
                for (name, _), end_ms in sorted(self._pause_end_by_key.items())
                if end_ms > now
            },
        }


def read_pause(text):
    """Return the `Notice` of a time for which an engine wants no requests.

    A value that is no such time is ignored, since it names none that could be kept. One
    that is longer than a day is taken as a day: an engine that lies hurts only itself.

    Parameters
    ----------
    text : str
        Seconds, with fractions if any.
    """
    try:
        seconds = float(text)
    except ValueError:
        return Notice(fault=f"{text[:40]!r} is not a number of seconds; ignored")
    if not 0 <= seconds < float("inf"):
        return Notice(fault=f"{text[:40]!r} is not a time to wait; ignored")
    if seconds * MS_PER_S > MAX_PAUSE_MS:
        return Notice(pause_ms=MAX_PAUSE_MS, fault=f"{text[:40]!r} is taken as a day")
    return Notice(pause_ms=int(seconds * MS_PER_S))


def read_max_refusals(text):
    """Return the `Notice` of how many refusals in a second an engine bears.

    A value that is no number of requests is ignored.

    Parameters
    ----------
    text : str
        A whole number.
    """
    if not (text.isascii() and text.isdigit()):
        return Notice(fault=f"{text[:40]!r} is not a number of requests; ignored")
    return Notice(max_refusals=int(text[:MAX_DIGITS]))


def read_cold_time(text):
    """Return the `Notice` of a time for which an engine stays cold.

    A value that is no such time is ignored. A long one is cut to `MAX_COLD_MS`: an
    engine that lies hurts only itself.

    Parameters
    ----------
    text : str
        A whole number of ms.
    """
    if not (text.isascii() and text.isdigit()):
        return Notice(fault=f"{text[:40]!r} is not a time in ms; ignored")
    return Notice(cold_ms=min(int(text[:MAX_DIGITS]), MAX_COLD_MS))


def find_pause_ms(max_refusals, nodes):
    """Return the time in ms for which a node spares an engine that refused a request.

    If each of the nodes sends one request to an engine that refuses all, and then
    spares it for that time, the engine refuses no more in a second than it bears, as
    long as that time is below `MAX_REFUSAL_PAUSE_MS`.

    Parameters
    ----------
    max_refusals : int
        Requests that the engine can refuse in a second.
    nodes : int
        Number of nodes.
    """
    pause_ms = int(MS_PER_S * max(1.0, nodes / max(1, max_refusals)))
    return min(pause_ms, MAX_REFUSAL_PAUSE_MS)


def _make_key(engine):
    return engine.name, engine.incarnation


def _drop_oldest(notices):
    while len(notices) > MAX_NOTICES:
        del notices[next(iter(notices))]
