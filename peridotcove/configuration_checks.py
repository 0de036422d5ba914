"""Validates a configuration whose fields have the right types."""

import functools
import ipaddress
import re
from urllib.parse import urlsplit

from attrs import frozen

from peridotcove.exceptions import SettingError
from peridotcove.registry import Registry
from peridotcove.schema import suggest

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
NAME_LINES_PATTERN = re.compile(f"(?:{NAME_PATTERN.pattern}\n)*+")
NAME_RULE = "1 to 64 letters, digits, dots, dashes, underscores; no dash or dot first"
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
URL_CACHE_SIZE = 8_192
DIGEST_CHARS = 64
METHODS = ("DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT")
ROLES = ("decode", "mixed", "prefill")

checks = Registry("check of the configuration")


@frozen
class Check:
    """A check of the configuration.

    Attributes
    ----------
    run : callable
        Function that is called with a configuration and its path and yields faults.
    sections : tuple of str
        Attributes of `Configuration` on which the result depends.
    """

    run: object
    sections: tuple[str, ...]


def check(name, *sections):
    """Return a decorator that registers a check.

    Parameters
    ----------
    name : str
        Name of the check.
    *sections : str
        Attributes of `Configuration` on which the result depends.
    """

    def register_check(run):
        checks.register(name)(Check(run, sections))
        return run

    return register_check


def find_faults(configuration, path, before=None):
    """Yield a `SettingError` for each fault of a configuration.

    Parameters
    ----------
    configuration : Configuration
        A configuration whose fields have the right types.
    path : str
        Path of the configuration, for error messages.
    before : Configuration or None
        An earlier configuration without faults; checks are skipped if all sections
        that they depend on are the same objects as in it.
    """
    for item in checks.by_name.values():
        if before is None or any(
            getattr(configuration, section) is not getattr(before, section)
            for section in item.sections
        ):
            yield from item.run(configuration, path)


def _groups(configuration):
    return (
        ("zones", configuration.zone_by_name),
        ("models", configuration.model_by_name),
        ("engines", configuration.engine_by_name),
        ("services", configuration.service_by_name),
    )


def _endpoints(configuration, path):
    for service in configuration.service_by_name.values():
        for index, endpoint in enumerate(service.endpoints):
            yield f"{path}.services.{service.name}.endpoints[{index}]", endpoint


def _engines_and_endpoints(configuration, path):
    for engine in configuration.engine_by_name.values():
        yield f"{path}.engines.{engine.name}", engine
    yield from _endpoints(configuration, path)


@check("names", "zone_by_name", "model_by_name", "engine_by_name", "service_by_name")
def check_names(configuration, path):
    """Yield faults of names that are not safe in a header, a URL or a metric label.

    Parameters
    ----------
    configuration : Configuration
        A configuration whose fields have the right types.
    path : str
        Path of the configuration, for error messages.
    """
    fits = NAME_PATTERN.fullmatch
    for group, by_name in _groups(configuration):
        yield from _name_faults(f"{path}.{group}", by_name)
    for location, endpoint in _endpoints(configuration, path):
        if not fits(endpoint.name):
            yield SettingError(f"{location}.name", endpoint.name, NAME_RULE)


@check("names of customers", "customer_by_name")
def check_customer_names(configuration, path):
    """Yield faults of customer names that are not safe in a metric label.

    Parameters
    ----------
    configuration : Configuration
        A configuration whose fields have the right types.
    path : str
        Path of the configuration, for error messages.
    """
    yield from _name_faults(f"{path}.customers", configuration.customer_by_name)


def _name_faults(location, by_name):
    text = "".join([f"{name}\n" for name in by_name])
    if NAME_LINES_PATTERN.fullmatch(text) and text.count("\n") == len(by_name):
        return
    for name in by_name:
        if not NAME_PATTERN.fullmatch(name):
            yield SettingError(f"{location}.{name}.name", name, NAME_RULE)


@check("adapters and regions", "model_by_name", "zone_by_name")
def check_inner_names(configuration, path):
    """Yield faults of names of adapters and regions.

    Parameters
    ----------
    configuration : Configuration
        A configuration whose fields have the right types.
    path : str
        Path of the configuration, for error messages.
    """
    for model in configuration.model_by_name.values():
        for adapter in model.adapters:
            if not NAME_PATTERN.fullmatch(adapter) or model.adapters.count(adapter) > 1:
                location = f"{path}.models.{model.name}.adapters"
                yield SettingError(location, adapter, f"once each: {NAME_RULE}")
    for zone in configuration.zone_by_name.values():
        if not NAME_PATTERN.fullmatch(zone.region):
            location = f"{path}.zones.{zone.name}.region"
            yield SettingError(location, zone.region, NAME_RULE)


@check(
    "references", "zone_by_name", "model_by_name", "engine_by_name", "service_by_name"
)
def check_references(configuration, path):
    """Yield faults of references to zones or models that are not described.

    Parameters
    ----------
    configuration : Configuration
        A configuration whose fields have the right types.
    path : str
        Path of the configuration, for error messages.
    """
    zones = configuration.zone_by_name
    models = configuration.model_by_name
    for location, server in _engines_and_endpoints(configuration, path):
        if server.zone not in zones:
            allowed = "a described zone: " + suggest(server.zone, zones)
            yield SettingError(f"{location}.zone", server.zone, allowed)
        model = getattr(server, "model", None)
        if model is not None and model not in models:
            allowed = "a described model: " + suggest(model, models)
            yield SettingError(f"{location}.model", model, allowed)


@check("addresses", "engine_by_name", "service_by_name")
def check_addresses(configuration, path):
    """Yield faults of malformed URLs and of duplicate URLs and names.

    Parameters
    ----------
    configuration : Configuration
        A configuration whose fields have the right types.
    path : str
        Path of the configuration, for error messages.
    """
    location_by_url = {}
    location_by_name = {}
    for location, server in _engines_and_endpoints(configuration, path):
        if not is_base_url(server.url):
            yield SettingError(f"{location}.url", server.url, "http://IP:PORT")
        other = location_by_url.setdefault(server.url, location)
        if other != location:
            allowed = f"another URL than that of {other}"
            yield SettingError(f"{location}.url", server.url, allowed)
        other = location_by_name.setdefault(server.name, location)
        if other != location:
            allowed = f"another name than that of {other}"
            yield SettingError(f"{location}.name", server.name, allowed)


@functools.lru_cache(maxsize=URL_CACHE_SIZE)
def is_base_url(url):
    """Return whether a URL has an IP address and a port, and no path.

    Parameters
    ----------
    url : str
        The URL.
    """
    try:
        parts = urlsplit(url)
        ipaddress.ip_address(parts.hostname or "")
        port = parts.port
    except ValueError:
        return False
    bare = not (parts.path.strip("/") or parts.query or parts.fragment)
    return parts.scheme in ("http", "https") and bool(port) and bare


@check("regions", "zone_by_name", "customer_by_name", "host_route_by_name")
def check_regions(configuration, path):
    """Yield faults of names of regions that a limit or a zone gives.

    Parameters
    ----------
    configuration : Configuration
        A configuration whose fields have the right types.
    path : str
        Path of the configuration, for error messages.
    """
    fits = NAME_PATTERN.fullmatch
    for zone in configuration.zone_by_name.values():
        if zone.residency_region and not fits(zone.residency_region):
            location = f"{path}.zones.{zone.name}.residency_region"
            yield SettingError(location, zone.residency_region, NAME_RULE)
    for section, entry_by_name in (
        ("customers", configuration.customer_by_name),
        ("host_routes", configuration.host_route_by_name),
    ):
        for entry in entry_by_name.values():
            for region in entry.regions:
                if not fits(region) or entry.regions.count(region) > 1:
                    location = f"{path}.{section}.{entry.name}.regions"
                    yield SettingError(location, region, f"once each: {NAME_RULE}")


@check("host routes", "host_route_by_name", "model_by_name")
def check_host_routes(configuration, path):
    """Yield faults of host routes that are malformed or have unknown models.

    Parameters
    ----------
    configuration : Configuration
        A configuration whose fields have the right types.
    path : str
        Path of the configuration, for error messages.
    """
    yield from _name_faults(f"{path}.host_routes", configuration.host_route_by_name)
    for route in configuration.host_route_by_name.values():
        location = f"{path}.host_routes.{route.name}"
        prefix = route.prefix
        if not (prefix.startswith("/") and prefix.endswith("/")):
            yield SettingError(f"{location}.prefix", prefix, "a slash at both ends")
        if not sum(target.weight for target in route.targets) > 0:
            yield SettingError(f"{location}.targets", (), "a target of weight above 0")
        for target in route.targets:
            if target.model not in configuration.model_by_name:
                allowed = suggest(target.model, configuration.model_by_name)
                yield SettingError(f"{location}.targets", target.model, allowed)


@check("roles", "engine_by_name")
def check_roles(configuration, path):
    """Yield faults of unknown engine roles.

    Parameters
    ----------
    configuration : Configuration
        A configuration whose fields have the right types.
    path : str
        Path of the configuration, for error messages.
    """
    for engine in configuration.engine_by_name.values():
        if engine.role not in ROLES:
            location = f"{path}.engines.{engine.name}.role"
            yield SettingError(location, engine.role, suggest(engine.role, ROLES))


@check("routes", "service_by_name")
def check_routes(configuration, path):
    """Yield faults of rules that define which calls may be repeated.

    Parameters
    ----------
    configuration : Configuration
        A configuration whose fields have the right types.
    path : str
        Path of the configuration, for error messages.
    """
    for service in configuration.service_by_name.values():
        seen = {}
        for index, route in enumerate(service.routes):
            location = f"{path}.services.{service.name}.routes[{index}]"
            if not route.prefix.startswith("/"):
                yield SettingError(
                    f"{location}.prefix", route.prefix, "a path that starts with /"
                )
            for method in route.methods or METHODS:
                if method not in METHODS:
                    allowed = suggest(method, METHODS)
                    yield SettingError(f"{location}.methods", method, allowed)
                other = seen.setdefault((route.prefix, method), index)
                if other != index and service.routes[other] != route:
                    allowed = f"one rule per method; routes[{other}] has one"
                    found = f"{method} {route.prefix}"
                    yield SettingError(location, found, allowed)


@check("keys", "customer_by_name")
def check_keys(configuration, path):
    """Yield faults of API key digests that are malformed or duplicate.

    Parameters
    ----------
    configuration : Configuration
        A configuration whose fields have the right types.
    path : str
        Path of the configuration, for error messages.
    """
    customers = configuration.customer_by_name.values()
    if _are_valid_and_distinct(
        [digest for item in customers for digest in item.key_digests]
    ):
        return
    owner_by_digest = {}
    fits = DIGEST_PATTERN.fullmatch
    for customer in configuration.customer_by_name.values():
        for digest in customer.key_digests:
            if not fits(digest):
                # The value may be the key itself by mistake, so it is not shown.
                found = f"a string of {len(digest)} characters"
                allowed = "64 lower-case hex digits: the key's SHA-256 digest"
                yield SettingError(_key_path(path, customer, digest), found, allowed)
            other = owner_by_digest.setdefault(digest, customer)
            if other is not customer or customer.key_digests.count(digest) > 1:
                allowed = f"a key that {other.name} does not use"
                yield SettingError(
                    _key_path(path, customer, digest), "a duplicate key", allowed
                )


def _are_valid_and_distinct(digests):
    """Return whether all digests are well formed and distinct.

    Works on the whole list with a few C calls, which is fast for many customers.
    """
    text = "".join(digests)
    if set(map(len, digests)) - {DIGEST_CHARS} or len(set(digests)) < len(digests):
        return False
    try:
        return 2 * len(bytes.fromhex(text)) == len(text) and text == text.lower()
    except ValueError:
        return False


def _key_path(path, customer, digest):
    index = customer.key_digests.index(digest)
    return f"{path}.customers.{customer.name}.key_digests[{index}]"
