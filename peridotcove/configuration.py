"""Parses and validates a revision of the configuration."""

from peridotcove.configuration_checks import find_faults
from peridotcove.exceptions import InvalidSettings, SettingError
from peridotcove.models import Configuration
from peridotcove.schema import build_partly, suggest


def parse_configuration(raw, path="configuration"):
    """Return the configuration that a JSON value describes.

    Parameters
    ----------
    raw : dict
        The JSON value.
    path : str
        Path of the configuration, for error messages.

    Raises
    ------
    InvalidSettings
        With all faults, each with the path of its object.
    """
    configuration, faults = build_partly(Configuration, raw, path)
    invalid_names = _invalid_names(raw, configuration) if faults else ()
    if faults:
        faults.extend(_find_reference_faults(raw, configuration, path))
    for fault in find_faults(configuration, path):
        if fault.found not in invalid_names:
            faults.append(fault)
    if faults:
        raise InvalidSettings(f"{path} is not valid", faults)
    return configuration


def _invalid_names(raw, configuration):
    """Return the names of zones and models that are described but not valid."""
    if not isinstance(raw, dict):
        return set()
    groups = (
        (raw.get("zones"), configuration.zone_by_name),
        (raw.get("models"), configuration.model_by_name),
    )
    described = [
        (set(group), valid) for group, valid in groups if isinstance(group, dict)
    ]
    return {name for names, valid in described for name in names - set(valid)}


def _find_reference_faults(raw, configuration, path):
    """Yield the faults of references in engines that are not valid."""
    engines = raw.get("engines") if isinstance(raw, dict) else None
    for name, engine in engines.items() if isinstance(engines, dict) else ():
        if name in configuration.engine_by_name or not isinstance(engine, dict):
            continue
        for reference in ("zone", "model"):
            found = engine.get(reference)
            known = raw.get(f"{reference}s")
            known = known if isinstance(known, dict) else {}
            if isinstance(found, str) and found not in known:
                allowed = f"a described {reference}: {suggest(found, known)}"
                yield SettingError(f"{path}.engines.{name}.{reference}", found, allowed)
