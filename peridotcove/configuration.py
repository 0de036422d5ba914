"""Reads and checks one revision of the configuration."""

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
        Where it stands, for error messages.

    Raises
    ------
    InvalidSettings
        With all faults, each naming its object.
    """
    configuration, faults = build_partly(Configuration, raw, path)
    broken = _broken_names(raw, configuration) if faults else ()
    if faults:
        faults.extend(_broken_references(raw, configuration, path))
    for fault in find_faults(configuration, path):
        if fault.found not in broken:
            faults.append(fault)
    if faults:
        raise InvalidSettings(f"{path} is not valid", faults)
    return configuration


def _broken_names(raw, configuration):
    """Return the names of objects that are described, but not well."""
    if not isinstance(raw, dict):
        return set()
    groups = (
        (raw.get("zones"), configuration.zone_by_name),
        (raw.get("models"), configuration.model_by_name),
    )
    described = [
        (set(group), built) for group, built in groups if isinstance(group, dict)
    ]
    return {name for names, built in described for name in names - set(built)}


def _broken_references(raw, configuration, path):
    """Yield the faults of references of engines that have other faults too."""
    engines = raw.get("engines") if isinstance(raw, dict) else None
    for name, engine in engines.items() if isinstance(engines, dict) else ():
        if name in configuration.engine_by_name or not isinstance(engine, dict):
            continue
        for word in ("zone", "model"):
            found = engine.get(word)
            known = raw.get(f"{word}s")
            known = known if isinstance(known, dict) else {}
            if isinstance(found, str) and found not in known:
                allowed = f"a described {word}: {suggest(found, known)}"
                yield SettingError(f"{path}.engines.{name}.{word}", found, allowed)
