"""Checks of a well-typed configuration; each yields every fault that it finds."""

import functools
import ipaddress
import re
from urllib.parse import urlsplit

from attrs import frozen

from peridotcove.exceptions import SettingError
from peridotcove.registry import Registry
from peridotcove.schema import suggest

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
NAMES = re.compile(f"(?:{NAME.pattern}\n)*+")
NAME_RULE = "1 to 64 letters, digits, dots, dashes, underscores; no dash or dot first"
DIGEST = re.compile(r"[0-9a-f]{64}")
URLS_KEPT = 8_192
DIGEST_CHARS = 64
METHODS = ("DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT")
ROLES = ("decode", "mixed", "prefill")

checks = Registry("check of the configuration")


@frozen
class Check:
    """One check.

    Attributes
    ----------
    run : callable
        Takes a configuration and a path, and yields faults.
    reads : tuple of str
        Sections on which the outcome depends.
    """

    run: object
    reads: tuple[str, ...]


def check(name, *reads):
    """Return a decorator that registers a check.

    Parameters
    ----------
    name : str
        Name of the check.
    *reads : str
        Attributes of `Configuration` on which the outcome depends.
    """

    def enter(run):
        checks.register(name)(Check(run, reads))
        return run

    return enter


def find_faults(configuration, path, before=None):
    """Yield a `SettingError` for each fault of a configuration.

    Parameters
    ----------
    configuration : Configuration
        A configuration whose fields are well typed.
    path : str
        Where it stands, for error messages.
    before : Configuration or None
        An earlier one without faults; checks that read only sections which are the
        same objects as there are left out.
    """
    for item in checks.by_name.values():
        if before is None or any(
            getattr(configuration, part) is not getattr(before, part)
            for part in item.reads
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


def _servers(configuration, path):
    for engine in configuration.engine_by_name.values():
        yield f"{path}.engines.{engine.name}", engine
    yield from _endpoints(configuration, path)


@check("names", "zone_by_name", "model_by_name", "engine_by_name", "service_by_name")
def check_names(configuration, path):
    """Yield faults of names that don't fit a header, a URL or a metric label.

    Parameters
    ----------
    configuration : Configuration
        A configuration whose fields are well typed.
    path : str
        Where it stands, for error messages.
    """
    fits = NAME.fullmatch
    for group, by_name in _groups(configuration):
        yield from _name_faults(f"{path}.{group}", by_name)
    for place, endpoint in _endpoints(configuration, path):
        if not fits(endpoint.name):
            yield SettingError(f"{place}.name", endpoint.name, NAME_RULE)


@check("names of customers", "customer_by_name")
def check_customer_names(configuration, path):
    """Yield faults of customers' names that don't fit a metric label.

    Parameters
    ----------
    configuration : Configuration
        A configuration whose fields are well typed.
    path : str
        Where it stands, for error messages.
    """
    yield from _name_faults(f"{path}.customers", configuration.customer_by_name)


def _name_faults(place, by_name):
    text = "".join([f"{name}\n" for name in by_name])
    if NAMES.fullmatch(text) and text.count("\n") == len(by_name):
        return
    for name in by_name:
        if not NAME.fullmatch(name):
            yield SettingError(f"{place}.{name}.name", name, NAME_RULE)


@check("adapters and regions", "model_by_name", "zone_by_name")
def check_inner_names(configuration, path):
    """Yield faults of names of adapters and regions.

    Parameters
    ----------
    configuration : Configuration
        A configuration whose fields are well typed.
    path : str
        Where it stands, for error messages.
    """
    for model in configuration.model_by_name.values():
        for adapter in model.adapters:
            if not NAME.fullmatch(adapter) or model.adapters.count(adapter) > 1:
                place = f"{path}.models.{model.name}.adapters"
                yield SettingError(place, adapter, f"once each: {NAME_RULE}")
    for zone in configuration.zone_by_name.values():
        if not NAME.fullmatch(zone.region):
            place = f"{path}.zones.{zone.name}.region"
            yield SettingError(place, zone.region, NAME_RULE)


@check(
    "references", "zone_by_name", "model_by_name", "engine_by_name", "service_by_name"
)
def check_references(configuration, path):
    """Yield faults of references that lead nowhere.

    Parameters
    ----------
    configuration : Configuration
        A configuration whose fields are well typed.
    path : str
        Where it stands, for error messages.
    """
    zones = configuration.zone_by_name
    models = configuration.model_by_name
    for place, server in _servers(configuration, path):
        if server.zone not in zones:
            allowed = "a described zone: " + suggest(server.zone, zones)
            yield SettingError(f"{place}.zone", server.zone, allowed)
        model = getattr(server, "model", None)
        if model is not None and model not in models:
            allowed = "a described model: " + suggest(model, models)
            yield SettingError(f"{place}.model", model, allowed)


@check("addresses", "engine_by_name", "service_by_name")
def check_addresses(configuration, path):
    """Yield faults of URLs that are malformed or stand twice.

    Parameters
    ----------
    configuration : Configuration
        A configuration whose fields are well typed.
    path : str
        Where it stands, for error messages.
    """
    place_by_url = {}
    place_by_name = {}
    for place, server in _servers(configuration, path):
        if not _is_base_url(server.url):
            yield SettingError(f"{place}.url", server.url, "http://IP:PORT")
        other = place_by_url.setdefault(server.url, place)
        if other != place:
            allowed = f"another URL than that of {other}"
            yield SettingError(f"{place}.url", server.url, allowed)
        other = place_by_name.setdefault(server.name, place)
        if other != place:
            allowed = f"another name than that of {other}"
            yield SettingError(f"{place}.name", server.name, allowed)


@functools.lru_cache(maxsize=URLS_KEPT)
def _is_base_url(url):
    try:
        parts = urlsplit(url)
        ipaddress.ip_address(parts.hostname or "")
        port = parts.port
    except ValueError:
        return False
    bare = not (parts.path.strip("/") or parts.query or parts.fragment)
    return parts.scheme in ("http", "https") and bool(port) and bare


@check("host routes", "host_route_by_name", "model_by_name")
def check_host_routes(configuration, path):
    """Yield faults of host routes that are malformed or lead nowhere.

    Parameters
    ----------
    configuration : Configuration
        A configuration whose fields are well typed.
    path : str
        Where it stands, for error messages.
    """
    yield from _name_faults(f"{path}.host_routes", configuration.host_route_by_name)
    for route in configuration.host_route_by_name.values():
        place = f"{path}.host_routes.{route.name}"
        prefix = route.prefix
        if not (prefix.startswith("/") and prefix.endswith("/")):
            yield SettingError(f"{place}.prefix", prefix, "a slash at both ends")
        if not sum(target.weight for target in route.targets) > 0:
            yield SettingError(f"{place}.targets", (), "a target of weight above 0")
        for target in route.targets:
            if target.model not in configuration.model_by_name:
                allowed = suggest(target.model, configuration.model_by_name)
                yield SettingError(f"{place}.targets", target.model, allowed)


@check("roles", "engine_by_name")
def check_roles(configuration, path):
    """Yield faults of roles that no engine knows.

    Parameters
    ----------
    configuration : Configuration
        A configuration whose fields are well typed.
    path : str
        Where it stands, for error messages.
    """
    for engine in configuration.engine_by_name.values():
        if engine.role not in ROLES:
            place = f"{path}.engines.{engine.name}.role"
            yield SettingError(place, engine.role, suggest(engine.role, ROLES))


@check("routes", "service_by_name")
def check_routes(configuration, path):
    """Yield faults of rules about repeatable calls.

    Parameters
    ----------
    configuration : Configuration
        A configuration whose fields are well typed.
    path : str
        Where it stands, for error messages.
    """
    for service in configuration.service_by_name.values():
        seen = {}
        for index, route in enumerate(service.routes):
            place = f"{path}.services.{service.name}.routes[{index}]"
            if not route.prefix.startswith("/"):
                yield SettingError(f"{place}.prefix", route.prefix, "a path from /")
            for method in route.methods or METHODS:
                if method not in METHODS:
                    allowed = suggest(method, METHODS)
                    yield SettingError(f"{place}.methods", method, allowed)
                other = seen.setdefault((route.prefix, method), index)
                if other != index and service.routes[other] != route:
                    allowed = f"one rule a method; routes[{other}] has it"
                    found = f"{method} {route.prefix}"
                    yield SettingError(place, found, allowed)


@check("keys", "customer_by_name")
def check_keys(configuration, path):
    """Yield faults of API keys that are malformed or shared.

    Parameters
    ----------
    configuration : Configuration
        A configuration whose fields are well typed.
    path : str
        Where it stands, for error messages.
    """
    customers = configuration.customer_by_name.values()
    if _are_distinct([digest for item in customers for digest in item.key_digests]):
        return
    owner_by_digest = {}
    fits = DIGEST.fullmatch
    for customer in configuration.customer_by_name.values():
        for digest in customer.key_digests:
            if not fits(digest):
                # The value may be the key itself, by mistake: it is not shown.
                found = f"a string of {len(digest)} characters"
                allowed = "64 lower-case hex digits: the key's SHA-256 digest"
                yield SettingError(_key_place(path, customer, digest), found, allowed)
            other = owner_by_digest.setdefault(digest, customer)
            if other is not customer or customer.key_digests.count(digest) > 1:
                allowed = f"not a key of {other.name}"
                yield SettingError(
                    _key_place(path, customer, digest), "a key twice", allowed
                )


def _are_distinct(digests):
    """Return whether all are well formed and none stands twice; a few calls in C."""
    text = "".join(digests)
    if set(map(len, digests)) - {DIGEST_CHARS} or len(set(digests)) < len(digests):
        return False
    try:
        return 2 * len(bytes.fromhex(text)) == len(text) and text == text.lower()
    except ValueError:
        return False


def _key_place(path, customer, digest):
    index = customer.key_digests.index(digest)
    return f"{path}.customers.{customer.name}.key_digests[{index}]"
