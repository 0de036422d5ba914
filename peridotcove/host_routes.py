"""Lookup of a request's host route, and the weighted choice of its model."""

from peridotcove.models import HostRoute


class HostRoutes:
    """Index of the host routes of a configuration.

    Parameters
    ----------
    route_by_name : dict of HostRoute
        Routes by name.
    """

    def __init__(self, route_by_name):
        self._routes_by_host = {}
        for route in route_by_name.values():
            self._routes_by_host.setdefault(route.host.lower(), []).append(route)
        for routes in self._routes_by_host.values():
            routes.sort(key=lambda route: -len(route.prefix))

    def find(self, host, path) -> HostRoute | None:
        """Return the route of a host with the longest matching path prefix, or None.

        Parameters
        ----------
        host : str
            Host of the request, with or without a port; case does not matter.
        path : str
            Path without the query.
        """
        name = host.partition(":")[0].lower()
        for route in self._routes_by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None


def pick_model(route, rng, is_served=lambda model: True):
    """Return the model for one request, chosen at random by the targets' weights.

    Parameters
    ----------
    route : HostRoute
        Route of the request; the sum of its weights is above 0.
    rng : random.Random
        Random number generator.
    is_served : callable
        Whether engines of a model may get the request. Models without any are chosen
        only if no model of a weight above 0 has some.
    """
    if len(route.targets) == 1:
        return route.targets[0].model
    served = [one for one in route.targets if one.weight and is_served(one.model)]
    targets = served or route.targets
    return rng.choices(targets, [target.weight for target in targets])[0].model
