"""States of engines and endpoints: which may get new requests.

An endpoint counts as leaving as soon as one source reports it: the configuration, the
platform's list, or another node. A report of the list or of a node is held for
`LEAVING_HOLD_MS`, because lists can lag; a node's report is also held until this node
reads the list. After a pause of this process, no new requests are sent until the list
or another node has confirmed the view.
"""

from peridotcove.exceptions import RequestRefused
from peridotcove.models import InstanceState, LifecycleStatus

# The process counts as paused if it did not run for longer than this.
PAUSE_THRESHOLD_MS = 1_000
# Time for which a report of a leaving endpoint outweighs a list that doesn't have it.
LEAVING_HOLD_MS = 30_000
# Time after a pause after which requests are sent although no other source answered.
CONFIRM_TIMEOUT_MS = 3_000
RETRY_AFTER_MS = 100
# A list that lacks a larger share of the endpoints than this is not trusted on them.
MASS_LOSS_RATIO = 0.5


class EndpointStates:
    """One node's view of which endpoints are leaving.

    Parameters
    ----------
    clock : Clock
        Time in ms, including the time for which the system was suspended.

    Attributes
    ----------
    pauses : int
        Number of detected pauses of this process.
    unconfirmed_pauses : int
        Number of pauses after which no other source answered in time.
    """

    def __init__(self, clock):
        self.clock = clock
        self.pauses = 0
        self.unconfirmed_pauses = 0
        self._status_by_name = {}
        self._state_by_name = {}
        self._unlisted = frozenset()
        self._held_until_ms = {}
        self._held_by_list = set()
        self._leaving = None
        self._last_run_ms = clock.now()
        self._resumed_ms = None

    def set_configuration(self, configuration):
        """Set the configuration in force.

        Parameters
        ----------
        configuration : Configuration
            The configuration.
        """
        item_by_name = dict(configuration.engine_by_name)
        for service in configuration.service_by_name.values():
            item_by_name.update((item.name, item) for item in service.endpoints)
        self._status_by_name = {
            name: item.status for name, item in item_by_name.items()
        }
        self._leaving = None

    def set_instances(self, instances, asked_ms):
        """Set the platform's list; return the names of newly leaving endpoints.

        Parameters
        ----------
        instances : iterable of Instance
            The whole list. An endpoint that was in an earlier list and isn't in this
            one counts as leaving, unless more than `MASS_LOSS_RATIO` are missing.
        asked_ms : int
            Time in ms at which the list was requested.

        Returns
        -------
        list of str
        """
        state_by_name = {
            item.name: item.state for item in instances if item.kind != "node"
        }
        previous = set(self._state_by_name) | self._unlisted
        unlisted = previous - set(state_by_name)
        if len(unlisted) > MASS_LOSS_RATIO * len(previous):
            unlisted = set()
        listed_leaving = {
            name
            for name, state in state_by_name.items()
            if state is InstanceState.LEAVING
        }
        new_names = {
            name for name in unlisted | listed_leaving if not self._is_held(name)
        }
        self._state_by_name, self._unlisted = state_by_name, frozenset(unlisted)
        self._leaving = None
        self._release_expired(self._held_until_ms)
        self._hold(unlisted | listed_leaving)
        self._held_by_list |= unlisted | listed_leaving
        self._confirm_view(asked_ms)
        return sorted(new_names)

    def handle_report(self, names, asked_ms):
        """Handle a report of another node; return the names of newly leaving endpoints.

        Parameters
        ----------
        names : iterable of str
            Names of the leaving endpoints.
        asked_ms : int or None
            Time in ms at which the report was requested, or None if it was not.

        Returns
        -------
        list of str
        """
        new_names = {name for name in names if not self._is_held(name)}
        self._hold(new_names)
        if asked_ms is not None:
            self._confirm_view(asked_ms)
        return sorted(new_names)

    def tick(self):
        """Return whether to ask other nodes; call it every 250 ms."""
        now = self.clock.now()
        self._detect_pause(now)
        self._release_expired(self._held_by_list)
        return self._resumed_ms is not None

    def leaving(self):
        """Return the sorted names of the leaving and retired endpoints."""
        if self._leaving is None:
            self._leaving = self._find_leaving()
        return self._leaving

    def _find_leaving(self):
        excluded = (LifecycleStatus.LEAVING, LifecycleStatus.RETIRED)
        names = {
            name for name, status in self._status_by_name.items() if status in excluded
        }
        names |= set(self._held_until_ms) | set(self._state_by_name) | self._unlisted
        status_by_name = self._status_by_name
        return sorted(
            name
            for name in names
            if self._is_held(name) or status_by_name.get(name) in excluded
        )

    def fresh(self):
        """Return whether the view has been confirmed since the last pause."""
        self._detect_pause(self.clock.now())
        return self._resumed_ms is None

    def check_available(self, name):
        """Raise an error if an endpoint may not get new requests.

        Call this right before anything is sent to the endpoint.

        Parameters
        ----------
        name : str
            Name of the engine or endpoint.

        Raises
        ------
        RequestRefused
            If the endpoint is leaving or not in service, or if this view has not been
            confirmed since a pause of the process.
        """
        if not self.fresh():
            text = "this node's view of the fleet is out of date; it is being refreshed"
            raise RequestRefused("stale-view", text, 503, RETRY_AFTER_MS)
        status = self._status_by_name.get(name)
        if status is not LifecycleStatus.IN_SERVICE or self._is_held(name):
            text = f"endpoint {name!r} accepts no new requests"
            raise RequestRefused("leaving", text, 503, RETRY_AFTER_MS)

    def _is_held(self, name):
        if (
            name in self._unlisted
            or self._state_by_name.get(name) is InstanceState.LEAVING
        ):
            return True
        return name in self._held_until_ms

    def _hold(self, names):
        until_ms = self.clock.now() + LEAVING_HOLD_MS
        for name in names:
            self._held_until_ms[name] = until_ms
            self._leaving = None

    def _release_expired(self, names):
        now = self.clock.now()
        for name in [name for name in names if now >= self._held_until_ms[name]]:
            del self._held_until_ms[name]
            self._held_by_list.discard(name)
            self._leaving = None

    def _detect_pause(self, now):
        if now - self._last_run_ms > PAUSE_THRESHOLD_MS:
            self.pauses += 1
            self._resumed_ms = now
        elif (
            self._resumed_ms is not None
            and now - self._resumed_ms >= CONFIRM_TIMEOUT_MS
        ):
            self.unconfirmed_pauses += 1
            self._resumed_ms = None
        self._last_run_ms = now

    def _confirm_view(self, asked_ms):
        self._detect_pause(self.clock.now())
        if self._resumed_ms is not None and asked_ms >= self._resumed_ms:
            self._resumed_ms = None
