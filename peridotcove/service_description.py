"""Description of a plain service in the operators' library."""

from peridotcove.models import LifecycleStatus
from peridotcove.schema import dump


class ServiceDescription:
    """An operators' description of a plain service.

    Parameters
    ----------
    raw : dict
        JSON value of the service; the methods change it in place.
    """

    def __init__(self, raw):
        self._raw = raw

    def endpoint(self, name, url, zone, status=LifecycleStatus.IN_SERVICE):
        """Add a server, or replace the one with the same name.

        Parameters
        ----------
        name : str
            Unique name.
        url : str
            Base URL, ``http://IP:PORT``.
        zone : str
            Availability zone.
        status : LifecycleStatus
            Lifecycle stage.

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
        """Allow calls to be executed more than once.

        Parameters
        ----------
        prefix : str
            Path prefix below the service.
        methods : sequence of str
            HTTP methods; all if empty.

        Returns
        -------
        service : ServiceDescription
            The service itself.
        """
        return self._route(prefix, methods, True)

    def once(self, prefix, methods=()):
        """Restrict calls to being executed at most once.

        Parameters
        ----------
        prefix : str
            Path prefix below the service.
        methods : sequence of str
            HTTP methods; all if empty.

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
