"""Which engines and endpoints may get new work, whichever source says so first.

Signs that one is leaving come from the configuration, the platform's list and other
nodes. A sign from list or node holds for a while against a list that lags, and a node's
word also for as long as this node reads no list. After a pause of this process nothing
is sent until another source has been heard.
"""

from peridotcove.exceptions import RequestRefused
from peridotcove.models import InstanceState, LifecycleStatus

PAUSE_MS = 1_000
HOLD_MS = 30_000
ALONE_MS = 3_000
RETRY_AFTER_MS = 100
MASS_SHARE = 0.5


class EndpointStates:
    """One node's belief about which endpoints are leaving.

    Parameters
    ----------
    clock : Clock
        Time in ms; counts suspend.

    Attributes
    ----------
    pauses : int
        Pauses of this process that were noticed.
    unheard : int
        Pauses after which no other source answered in time.
    """

    def __init__(self, clock):
        self.clock = clock
        self.pauses = 0
        self.unheard = 0
        self._described = {}
        self._listed = {}
        self._gone = frozenset()
        self._hold_until = {}
        self._listed_as_held = set()
        self._leaving = None
        self._ticked = clock.now()
        self._woke = None

    def set_configuration(self, configuration):
        """Take a revision of the configuration.

        Parameters
        ----------
        configuration : Configuration
            The revision.
        """
        described = dict(configuration.engine_by_name)
        for service in configuration.service_by_name.values():
            described.update((item.name, item) for item in service.endpoints)
        self._described = {name: item.status for name, item in described.items()}
        self._leaving = None

    def set_instances(self, instances, asked_ms):
        """Take the platform's list; return the names first seen leaving in it.

        Parameters
        ----------
        instances : iterable of Instance
            The whole list. One that was in an earlier list and isn't in this counts as
            leaving, unless that would be true of most: then the list is doubted.
        asked_ms : int
            Time in ms at which the list was asked for.
        """
        listed = {item.name: item.state for item in instances if item.kind != "node"}
        before = set(self._listed) | self._gone
        gone = before - set(listed)
        if len(gone) > MASS_SHARE * len(before):
            gone = set()
        left = {
            name for name, state in listed.items() if state is InstanceState.LEAVING
        }
        news = {name for name in gone | left if not self._is_held(name)}
        self._listed, self._gone = listed, frozenset(gone)
        self._leaving = None
        self._release(self._hold_until)
        self._hold(gone | left)
        self._listed_as_held |= gone | left
        self._hear(asked_ms)
        return sorted(news)

    def hear(self, names, asked_ms):
        """Take what another node believes; return the names that are news.

        Parameters
        ----------
        names : iterable of str
            Endpoints that are leaving.
        asked_ms : int or None
            Time in ms at which it was asked, or None if it told by itself.
        """
        news = {name for name in names if not self._is_held(name)}
        self._hold(news)
        if asked_ms is not None:
            self._hear(asked_ms)
        return sorted(news)

    def tick(self):
        """Return whether other sources are to be asked; call it each 250 ms."""
        now = self.clock.now()
        self._notice(now)
        self._release(self._listed_as_held)
        return self._woke is not None

    def leaving(self):
        """Return the names of the endpoints believed to be leaving."""
        if self._leaving is None:
            self._leaving = self._find_leaving()
        return self._leaving

    def _find_leaving(self):
        out = (LifecycleStatus.LEAVING, LifecycleStatus.RETIRED)
        names = {name for name, status in self._described.items() if status in out}
        names |= set(self._hold_until) | set(self._listed) | self._gone
        described = self._described
        return sorted(
            name for name in names if self._is_held(name) or described.get(name) in out
        )

    def fresh(self):
        """Return whether another source was heard since the last pause."""
        self._notice(self.clock.now())
        return self._woke is None

    def check_available(self, name):
        """Refuse new work for an endpoint that may be leaving.

        Parameters
        ----------
        name : str
            Engine or endpoint; call this right before anything is sent to it.

        Raises
        ------
        RequestRefused
            If it is leaving, not in service, or this process has just woken up.
        """
        if not self.fresh():
            text = "the view of the fleet is being refreshed"
            raise RequestRefused("stale-view", text, 503, RETRY_AFTER_MS)
        status = self._described.get(name)
        if status is not LifecycleStatus.IN_SERVICE or self._is_held(name):
            text = f"{name!r} takes no new work"
            raise RequestRefused("leaving", text, 503, RETRY_AFTER_MS)

    def _is_held(self, name):
        if name in self._gone or self._listed.get(name) is InstanceState.LEAVING:
            return True
        return name in self._hold_until

    def _hold(self, names):
        until = self.clock.now() + HOLD_MS
        for name in names:
            self._hold_until[name] = until
            self._leaving = None

    def _release(self, names):
        now = self.clock.now()
        for name in [name for name in names if now >= self._hold_until[name]]:
            del self._hold_until[name]
            self._listed_as_held.discard(name)
            self._leaving = None

    def _notice(self, now):
        if now - self._ticked > PAUSE_MS:
            self.pauses += 1
            self._woke = now
        elif self._woke is not None and now - self._woke >= ALONE_MS:
            self.unheard += 1
            self._woke = None
        self._ticked = now

    def _hear(self, asked_ms):
        self._notice(self.clock.now())
        if self._woke is not None and asked_ms >= self._woke:
            self._woke = None
