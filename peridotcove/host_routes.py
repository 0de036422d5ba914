"""Finds the host route of a request, and the model that is to answer it."""

from peridotcove.models import HostRoute


class HostRoutes:
    """The host routes of a configuration, ready to be looked up.

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
        """Return the route with the longest prefix that begins a path, or None.

        Parameters
        ----------
        host : str
            Host that the caller names, with or without a port.
        path : str
            Path without its query.
        """
        name = host.partition(":")[0].lower()
        for route in self._routes_by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None


def pick_model(route, rng):
    """Return the model that is to answer one request, by the targets' weights.

    Parameters
    ----------
    route : HostRoute
        The request's route; the weights' sum is above 0.
    rng : random.Random
        Source of the choice.
    """
    if len(route.targets) == 1:
        return route.targets[0].model
    weights = [target.weight for target in route.targets]
    return rng.choices(route.targets, weights)[0].model
