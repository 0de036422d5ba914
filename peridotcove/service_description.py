"""A plain service as its operators describe it."""

from peridotcove.models import LifecycleStatus
from peridotcove.schema import dump


class ServiceDescription:
    """A plain service that is being described.

    Parameters
    ----------
    raw : dict
        JSON value that the methods fill.
    """

    def __init__(self, raw):
        self._raw = raw

    def endpoint(self, name, url, zone, status=LifecycleStatus.IN_SERVICE):
        """Add a server, or change the one of that name.

        Parameters
        ----------
        name : str
            Unique name.
        url : str
            Base URL, ``http://IP:PORT``.
        zone : str
            Availability zone.
        status : Status
            Stage of life.

        Returns
        -------
        service : ServiceDescription
            The service itself.
        """
        item = {"name": name, "url": url, "zone": zone, "status": dump(status)}
        endpoints = self._raw.setdefault("endpoints", [])
        endpoints[:] = [old for old in endpoints if old.get("name") != name] + [item]
        return self

    def repeat(self, prefix, methods=()):
        """Say that calls may run more than once.

        Parameters
        ----------
        prefix : str
            Path prefix below the service.
        methods : sequence of str
            HTTP methods; all when empty.

        Returns
        -------
        service : ServiceDescription
            The service itself.
        """
        return self._route(prefix, methods, True)

    def once(self, prefix, methods=()):
        """Say that calls may run at most once.

        Parameters
        ----------
        prefix : str
            Path prefix below the service.
        methods : sequence of str
            HTTP methods; all when empty.

        Returns
        -------
        service : ServiceDescription
            The service itself.
        """
        return self._route(prefix, methods, False)

    def _route(self, prefix, methods, repeatable):
        item = {"prefix": prefix, "methods": list(methods), "repeatable": repeatable}
        routes = self._raw.setdefault("routes", [])
        key = (prefix, item["methods"])
        routes[:] = [old for old in routes if _route_key(old) != key] + [item]
        return self


def _route_key(raw):
    return raw.get("prefix", "/"), raw.get("methods", [])
