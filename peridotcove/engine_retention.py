"""Retains engines whose entries were lost in an outage of the configuration service.

Engines renew their entries in the service; during an outage entries expire although
their engines are live, and a service that comes back from an older backup lacks those
of engines that registered since. Live engines renew them soon after the service
returns, so an engine whose entry is still missing after that has left.
"""

from collections import Counter

from attrs import evolve

from peridotcove.models import LifecycleStatus
from peridotcove.revision_numbers import get_epoch

# Time after the service's return within which engines renew their entries, plus a
# margin until this node reads the renewed entries.
RENEWAL_TIMEOUT_MS = 2_300
# Entries expire together in an outage. If a smaller share of a model's engines is
# missing, these engines have left.
MASS_EXPIRY_RATIO = 0.3


class EngineRetention:
    """Decides which engines stay in use although the configuration lacks them.

    Parameters
    ----------
    clock : Clock
        Time in ms.
    """

    def __init__(self, clock):
        self._clock = clock
        self._in_outage = False
        self._restored_end_ms = 0
        self._end_ms = None

    def start_outage(self):
        """Record that the configuration service can't be read."""
        self._in_outage = True
        self._end_ms = None

    def end_outage(self):
        """Record that the configuration service can be read again."""
        self._in_outage = False
        self._end_ms = self._clock.now() + RENEWAL_TIMEOUT_MS

    @property
    def active(self):
        """Whether entries of live engines may be missing."""
        return self._end_ms is not None and self._clock.now() < self._end_ms

    def retain_engines(self, previous, current):
        """Return the current configuration with the engines whose entries expired.

        Parameters
        ----------
        previous : Configuration
            Configuration that was in use.
        current : Configuration
            Configuration that was read last.

        Returns
        -------
        Configuration
            The object `current` itself if no engine is retained.
        """
        if self._in_outage and self._end_ms is None:
            # A new revision came from another node, so the service is back, although
            # this node can't read it yet.
            self._end_ms = self._clock.now() + RENEWAL_TIMEOUT_MS
        epoch = get_epoch(previous.revision)
        if previous.revision and epoch < get_epoch(current.revision):
            self._restored_end_ms = self._clock.now() + RENEWAL_TIMEOUT_MS
            self._end_ms = self._restored_end_ms
        if not self.active:
            return current
        urls = {engine.url for engine in current.engine_by_name.values()}
        missing = {
            name: engine
            for name, engine in previous.engine_by_name.items()
            if name not in current.engine_by_name
            and engine.status is LifecycleStatus.IN_SERVICE
            and engine.model in current.model_by_name
            and engine.zone in current.zone_by_name
            and engine.url not in urls
        }
        total = Counter(one.model for one in previous.engine_by_name.values())
        missing_count = Counter(engine.model for engine in missing.values())
        is_restored = self._clock.now() < self._restored_end_ms
        expired = {
            name: engine
            for name, engine in missing.items()
            if is_restored
            or missing_count[engine.model] >= MASS_EXPIRY_RATIO * total[engine.model]
        }
        if not expired:
            return current
        return evolve(current, engine_by_name=current.engine_by_name | expired)
