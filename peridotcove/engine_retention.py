"""Keeps engines whose entries lapsed while the configuration service was away.

Entries are renewed by the engines; while the service is down some lapse though their
engines live. They are back soon after its return; what is missing after that is gone.
"""

from collections import Counter

from attrs import evolve

from peridotcove.models import LifecycleStatus

# Time in ms after the service's return within which engines renew their entries, and
# some margin for the news of it to arrive.
RENEW_MS = 2_300
# Entries lapse together. Fewer of a model's engines that go at once have left.
MASS_SHARE = 0.3


class EngineRetention:
    """Decides which engines that are no longer described stay in use for a while.

    Parameters
    ----------
    clock : Clock
        Time in ms.
    """

    def __init__(self, clock):
        self._clock = clock
        self._lost = False
        self._until_ms = None

    def start_outage(self):
        """Note that the service can't be read."""
        self._lost = True
        self._until_ms = None

    def end_outage(self):
        """Note that the service can be read again."""
        self._lost = False
        self._until_ms = self._clock.now() + RENEW_MS

    @property
    def active(self):
        """Whether entries may be missing though their engines live."""
        return self._until_ms is not None and self._clock.now() < self._until_ms

    def retain_engines(self, before, current):
        """Return a configuration with the engines that may have lapsed.

        Parameters
        ----------
        before : Configuration
            What was in use.
        current : Configuration
            What is described now.
        """
        if self._lost and self._until_ms is None:
            # Another node can read: the service is back, if not for this one.
            self._until_ms = self._clock.now() + RENEW_MS
        if not self.active:
            return current
        urls = {engine.url for engine in current.engine_by_name.values()}
        missing = {
            name: engine
            for name, engine in before.engine_by_name.items()
            if name not in current.engine_by_name
            and engine.status is LifecycleStatus.IN_SERVICE
            and engine.model in current.model_by_name
            and engine.zone in current.zone_by_name
            and engine.url not in urls
        }
        described = Counter(one.model for one in before.engine_by_name.values())
        gone = Counter(engine.model for engine in missing.values())
        lapsed = {
            name: engine
            for name, engine in missing.items()
            if gone[engine.model] >= MASS_SHARE * described[engine.model]
        }
        if not lapsed:
            return current
        return evolve(current, engine_by_name=current.engine_by_name | lapsed)
