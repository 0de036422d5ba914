"""Reads and checks one revision of the configuration."""

from peridotcove.exceptions import InvalidSettings, SettingError
from peridotcove.models import Configuration
from peridotcove.schema import build


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
    configuration = build(Configuration, raw, path)
    faults = list(find_faults(configuration, path))
    if faults:
        raise InvalidSettings(f"{path} is not valid", faults)
    return configuration


def find_faults(configuration, path):
    """Yield a `SettingError` for each reference that leads nowhere.

    Parameters
    ----------
    configuration : Configuration
        A configuration whose fields are well typed.
    path : str
        Where it stands, for error messages.
    """
    zones = configuration.zone_by_name
    models = configuration.model_by_name
    url_owner = {}
    for engine in configuration.engine_by_name.values():
        place = f"{path}.engines.{engine.name}"
        if engine.zone not in zones:
            yield SettingError(f"{place}.zone", engine.zone, "a described zone")
        if engine.model not in models:
            yield SettingError(f"{place}.model", engine.model, "a described model")
        other = url_owner.setdefault(engine.url, engine.name)
        if other != engine.name:
            allowed = f"another URL than that of {other}"
            yield SettingError(f"{place}.url", engine.url, allowed)
    for service in configuration.service_by_name.values():
        for index, endpoint in enumerate(service.endpoints):
            if endpoint.zone not in zones:
                place = f"{path}.services.{service.name}.endpoints[{index}].zone"
                yield SettingError(place, endpoint.zone, "a described zone")
