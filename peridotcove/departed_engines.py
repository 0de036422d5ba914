"""Withholds engines that had left from work when an older backup lists them again.

After a configuration service came back from an older backup, its content has engines
that left in the seconds that were lost. A live engine writes its entry again; the entry
of one that is gone expires, but looks sound until then.
"""

import logging

from attrs import evolve, frozen

from peridotcove.models import LifecycleStatus
from peridotcove.revision_numbers import get_epoch

# Time for which a departure is remembered; backups are some seconds old.
MEMORY_MS = 60_000
# Time after the service's return within which the entries of gone engines expire.
HOLD_MS = 10_000

log = logging.getLogger("peridotcove.configuration")


@frozen
class _Departure:
    incarnation: int
    since_ms: int


class DepartedEngines:
    """Remembers the engines that have left, over the loss of their service's content.

    Parameters
    ----------
    clock : Clock
        Time in ms.
    """

    def __init__(self, clock):
        self._clock = clock
        self._current = None
        self._departure_by_name = {}
        self._withheld_by_name = {}
        self._end_ms = None

    @property
    def active(self):
        """Whether engines are withheld."""
        if self._withheld_by_name and self._clock.now() >= self._end_ms:
            self._withheld_by_name = {}
        return bool(self._withheld_by_name)

    def withhold_engines(self, current):
        """Return the current configuration with departed engines marked as leaving.

        Parameters
        ----------
        current : Configuration
            Configuration that was read last.

        Returns
        -------
        Configuration
            The object `current` itself if no engine is withheld.
        """
        if current is not self._current:
            self._record_departures(current)
            self._current = current
        if not self.active:
            return current
        engine_by_name = current.engine_by_name
        withheld = {
            name: evolve(engine_by_name[name], status=LifecycleStatus.LEAVING)
            for name, departure in self._withheld_by_name.items()
            if name in engine_by_name
            and engine_by_name[name].incarnation == departure.incarnation
        }
        if not withheld:
            return current
        return evolve(current, engine_by_name=engine_by_name | withheld)

    def _record_departures(self, current):
        now = self._clock.now()
        previous = self._current
        if previous is None or not previous.revision:
            return
        departures = {
            name: departure
            for name, departure in self._departure_by_name.items()
            if now - departure.since_ms < MEMORY_MS
        }
        if get_epoch(previous.revision) != get_epoch(current.revision):
            self._withheld_by_name = dict(departures)
            self._end_ms = now + HOLD_MS
            if departures:
                text = "configuration: engines that had left get no work for %d ms: %s"
                log.warning(text, HOLD_MS, sorted(departures))
        elif not self.active:
            # While engines write their entries again, one that is missing may be live.
            serving = _find_serving(current)
            departures = {
                name: one for name, one in departures.items() if name not in serving
            }
            for name, engine in previous.engine_by_name.items():
                if name not in serving:
                    departure = _Departure(engine.incarnation, now)
                    departures.setdefault(name, departure)
        self._departure_by_name = departures


def _find_serving(configuration):
    return {
        name
        for name, engine in configuration.engine_by_name.items()
        if engine.status is LifecycleStatus.IN_SERVICE
    }
