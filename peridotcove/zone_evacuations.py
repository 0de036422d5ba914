"""Takes the engines and endpoints of evacuated availability zones out of use."""

from attrs import evolve

from peridotcove.models import LifecycleStatus


def find_evacuated_zones(configuration):
    """Return the sorted names of the evacuated zones.

    Parameters
    ----------
    configuration : Configuration
        The configuration.
    """
    zones = configuration.zone_by_name.values()
    return sorted(zone.name for zone in zones if zone.evacuated)


def find_evacuated_engines(configuration):
    """Return the names of the engines in evacuated zones.

    Parameters
    ----------
    configuration : Configuration
        The configuration.
    """
    evacuated = set(find_evacuated_zones(configuration))
    if not evacuated:
        return []
    engines = configuration.engine_by_name.values()
    return [engine.name for engine in engines if engine.zone in evacuated]


def withhold_evacuated(configuration):
    """Return a configuration whose servers in evacuated zones get no new work.

    Parameters
    ----------
    configuration : Configuration
        The configuration.

    Returns
    -------
    Configuration
        The object `configuration` itself if no zone is evacuated.
    """
    evacuated = set(find_evacuated_zones(configuration))
    if not evacuated:
        return configuration

    def withhold(server):
        is_used = server.status is LifecycleStatus.IN_SERVICE
        if is_used and server.zone in evacuated:
            return evolve(server, status=LifecycleStatus.LEAVING)
        return server

    engine_by_name = {
        name: withhold(engine) for name, engine in configuration.engine_by_name.items()
    }
    service_by_name = {
        name: evolve(service, endpoints=tuple(map(withhold, service.endpoints)))
        for name, service in configuration.service_by_name.items()
    }
    return evolve(
        configuration, engine_by_name=engine_by_name, service_by_name=service_by_name
    )


def find_unserved_models(configuration):
    """Return the sorted names of the models whose engines are all in evacuated zones.

    Parameters
    ----------
    configuration : Configuration
        The configuration.
    """
    evacuated = set(find_evacuated_zones(configuration))
    engines = configuration.engine_by_name.values()
    models = {engine.model for engine in engines if engine.zone in evacuated}
    return sorted(
        models - {engine.model for engine in engines if engine.zone not in evacuated}
    )
