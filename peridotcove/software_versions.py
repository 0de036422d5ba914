"""Which software versions of a model's engines have served lately.

What two versions write doesn't fit together, so that a stream may only go on at the
version that began it.
"""

from attrs import frozen

from peridotcove.models import LifecycleStatus

# A stream that began longer ago is not taken up again. Longer than the longest time
# that callers wait for one.
STREAM_LIFE_MS = 20_000
SERVING_STATUSES = (LifecycleStatus.IN_SERVICE, LifecycleStatus.LEAVING)
# Longest time between a report of another node and the first configuration. An engine
# that starts after the one and has left before the other would not be noticed.
MAX_REPORT_AGE_MS = 2_000


@frozen
class VersionReport:
    """What a node knows of the software versions of a model.

    Attributes
    ----------
    model : str
        Name of the model.
    known_ms : int
        Time in ms for which the node has known the versions of the model's engines.
    unseen_ms_by_version : dict of int
        Time in ms since each version was last seen in service; 0 for those that are.
    """

    model: str
    known_ms: int
    unseen_ms_by_version: dict


class SoftwareVersions:
    """The software versions that this node has seen in service.

    Parameters
    ----------
    clock : Clock
        Time in ms.
    """

    def __init__(self, clock):
        self._clock = clock
        self._engine_by_name = None
        self._since_ms_by_model = {}
        self._current_by_model = {}
        self._seen_ms_by_model = {}
        self._reported_ms_by_model = {}

    def set_configuration(self, configuration):
        """Set the configuration in force.

        Parameters
        ----------
        configuration : Configuration
            The configuration.
        """
        if configuration.engine_by_name is self._engine_by_name:
            return
        self._engine_by_name = configuration.engine_by_name
        now = self._clock.now()
        for model, versions in self._current_by_model.items():
            seen = self._seen_ms_by_model.setdefault(model, {})
            seen.update(dict.fromkeys(versions, now))
        current_by_model = {}
        for engine in configuration.engine_by_name.values():
            if engine.status in SERVING_STATUSES:
                versions = current_by_model.setdefault(engine.model, set())
                versions.add(engine.software_version)
        self._current_by_model = current_by_model
        for model in current_by_model:
            self._note_first_seen(model, now)
        self._forget(now)

    def _note_first_seen(self, model, now):
        reported_ms = self._reported_ms_by_model.pop(model, None)
        if reported_ms is not None and now - reported_ms > MAX_REPORT_AGE_MS:
            self._since_ms_by_model[model] = now
        self._since_ms_by_model.setdefault(model, now)

    def reports(self):
        """Return a `VersionReport` for each model, for a node that has just started."""
        now = self._clock.now()
        return [
            VersionReport(
                model,
                now - since_ms,
                {
                    version: 0
                    if version in self._current_by_model.get(model, ())
                    else now - self._seen_ms_by_model[model][version]
                    for version in sorted(self.find_recent(model))
                },
            )
            for model, since_ms in self._since_ms_by_model.items()
            if model in self._current_by_model
        ]

    def merge(self, report):
        """Add what another node knows of a model's versions.

        Parameters
        ----------
        report : VersionReport
            The report of a node that has the current configuration.
        """
        now, model = self._clock.now(), report.model
        since_ms = now - report.known_ms
        known_ms = self._since_ms_by_model.get(model, since_ms)
        self._since_ms_by_model[model] = min(known_ms, since_ms)
        if model not in self._current_by_model:
            self._reported_ms_by_model[model] = now
        seen = self._seen_ms_by_model.setdefault(model, {})
        for version, unseen_ms in report.unseen_ms_by_version.items():
            seen[version] = max(seen.get(version, 0), now - unseen_ms)

    def _forget(self, now):
        for model, seen in list(self._seen_ms_by_model.items()):
            for version, seen_ms in list(seen.items()):
                if now - seen_ms >= STREAM_LIFE_MS:
                    del seen[version]
            if not seen:
                del self._seen_ms_by_model[model]

    def find_recent(self, model):
        """Return the versions that served a model within the life of a stream.

        Parameters
        ----------
        model : str
            Name of the model.

        Returns
        -------
        set of str
            The versions known here; others may have served before this node knew any.
        """
        now = self._clock.now()
        seen = self._seen_ms_by_model.get(model, {})
        recent = {version for version, ms in seen.items() if now - ms < STREAM_LIFE_MS}
        return recent | self._current_by_model.get(model, set())

    def find_only(self, model):
        """Return the version that must have begun any stream of a model, or None.

        Parameters
        ----------
        model : str
            Name of the model.
        """
        since_ms = self._since_ms_by_model.get(model)
        if since_ms is None or model not in self._current_by_model:
            return None
        if self._clock.now() - since_ms < STREAM_LIFE_MS:
            return None
        recent = self.find_recent(model)
        return next(iter(recent)) if len(recent) == 1 else None
