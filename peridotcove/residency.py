"""Decides in which regions a request may run, and through which nodes its body may go.

A host route and a customer may each allow only some regions; a request has to obey
both. The functions take the configuration in force and do no input or output, so that
each place that chooses an engine or a node can ask again.
"""

from attrs import frozen

from peridotcove.exceptions import RequestRefused
from peridotcove.models import LifecycleStatus

NO_REGION = "no-region"
OTHER_REGION = "other-region"
# Region of a zone that the configuration does not describe; no limit allows it.
UNKNOWN_REGION = ""
RETRY_AFTER_MS = 1_000


@frozen
class RegionLimit:
    """Regions in which a request may run.

    Attributes
    ----------
    regions : frozenset of str or None
        The allowed regions; None if all are, empty if the limits of the host route and
        of the customer have no region in common.
    """

    regions: frozenset | None = None

    @classmethod
    def from_regions(cls, regions):
        """Return the limit that a lease request carries.

        Parameters
        ----------
        regions : iterable of str
            The allowed regions; empty for all.
        """
        return cls(frozenset(regions)) if regions else ANY_REGION

    @property
    def is_limited(self):
        """Whether some regions are not allowed."""
        return self.regions is not None

    def allows(self, region):
        """Return whether a request may run in a region.

        Parameters
        ----------
        region : str
            Name of the region.
        """
        if self.regions is None:
            return True
        return region != UNKNOWN_REGION and region in self.regions

    def list_regions(self):
        """Return the sorted regions, as a lease request carries them; empty for all."""
        return tuple(sorted(self.regions)) if self.regions else ()


ANY_REGION = RegionLimit()


def find_region_limit(configuration, route=None, customer=None):
    """Return the `RegionLimit` of a request.

    The entries of the configuration in force count, so that a limit that is tightened
    while a request waits applies to it. An entry that is gone counts as it was.

    Parameters
    ----------
    configuration : Configuration
        Configuration in force.
    route : HostRoute or None
        Route of the request.
    customer : Customer or None
        Customer that sent it.
    """
    allowed = None
    for entry, entry_by_name in (
        (route, configuration.host_route_by_name),
        (customer, configuration.customer_by_name),
    ):
        if entry is None:
            continue
        regions = entry_by_name.get(entry.name, entry).regions
        if regions:
            allowed = set(regions) if allowed is None else allowed.intersection(regions)
    return ANY_REGION if allowed is None else RegionLimit(frozenset(allowed))


def find_zone_region(configuration, zone):
    """Return the region in which an availability zone lies.

    Parameters
    ----------
    configuration : Configuration
        Configuration in force.
    zone : str
        Name of the zone.
    """
    found = configuration.zone_by_name.get(zone)
    if found is None:
        return UNKNOWN_REGION
    return found.residency_region or found.region


def find_serving_regions(configuration, engines):
    """Return the regions in which engines are in service, as a frozenset.

    Parameters
    ----------
    configuration : Configuration
        Configuration in force.
    engines : iterable of str
        Names of the engines.
    """
    engine_by_name = configuration.engine_by_name
    zones = {
        engine_by_name[name].zone
        for name in engines
        if name in engine_by_name
        and engine_by_name[name].status is LifecycleStatus.IN_SERVICE
    }
    return frozenset(find_zone_region(configuration, zone) for zone in zones)


def find_engines_outside(configuration, engines, limit):
    """Return the names of the engines on which a request must not run.

    Parameters
    ----------
    configuration : Configuration
        Configuration in force.
    engines : iterable of Engine
        The engines.
    limit : RegionLimit
        Limit of the request.
    """
    return frozenset(
        engine.name
        for engine in engines
        if not limit.allows(find_zone_region(configuration, engine.zone))
    )


def check_engine(configuration, engine, limit):
    """Raise a `RequestRefused` if a request must not run on an engine.

    Parameters
    ----------
    configuration : Configuration
        Configuration in force.
    engine : Engine or Endpoint
        The engine.
    limit : RegionLimit
        Limit of the request.
    """
    if limit.is_limited:
        region = find_zone_region(configuration, engine.zone)
        if not limit.allows(region):
            text = f"engine {engine.name} is in region {region!r}, allowed are "
            text += _format_regions(limit.regions)
            raise RequestRefused(OTHER_REGION, text, 503, RETRY_AFTER_MS)


def may_pass_through(configuration, zone, limit):
    """Return whether the body of a request may be sent to a node of a zone.

    The region of this node itself is not allowed for its sake: callers whose own region
    has no node left are served by another one.

    Parameters
    ----------
    configuration : Configuration
        Configuration in force.
    zone : str
        Zone of the other node.
    limit : RegionLimit
        Limit of the request.
    """
    return not limit.is_limited or limit.allows(find_zone_region(configuration, zone))


def make_unserved_error(model, limit, serving_regions):
    """Return the error of a request that no engine in its regions can serve.

    Parameters
    ----------
    model : str
        Model or service of the request.
    limit : RegionLimit
        Limit of the request.
    serving_regions : iterable of str
        Regions in which engines of the model are in service.
    """
    text = (
        f"no engine of {model!r} is in service in the allowed regions: "
        f"{_format_regions(limit.regions)}; engines are in "
        f"{_format_regions(serving_regions)}"
    )
    return RequestRefused(NO_REGION, text, 503, RETRY_AFTER_MS)


def _format_regions(regions):
    return ", ".join(sorted(regions)) or "none"
