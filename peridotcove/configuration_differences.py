"""Describes the differences between two configurations for operators."""

import random

import attrs
from attrs import frozen

from peridotcove.models import LifecycleStatus
from peridotcove.ownership import compute_shards
from peridotcove.registry import Registry
from peridotcove.rendezvous import RendezvousRanking
from peridotcove.residency import find_serving_regions

SAMPLED_CHATS = 1_000
SAMPLE_SEED = 1
KEY_BITS = 64
NAMES_SHOWN = 5
SHRINKING_LIMITS = ("requests_per_second", "concurrency", "weight")

differences = Registry("difference between configurations")


@frozen
class Difference:
    """A difference between two configurations.

    Attributes
    ----------
    kind : str
        Category of the difference, such as ``"chats"`` or ``"customers"``.
    text : str
        Description of the difference.
    """

    kind: str
    text: str

    def __str__(self):
        return f"{self.kind}: {self.text}"


def find_differences(old, new):
    """Return the differences between two configurations.

    Parameters
    ----------
    old, new : Configuration
        The configuration in force and the new one.

    Returns
    -------
    changes : list of Difference
        Empty if only the revision differs.
    """
    changes = []
    if new.revision <= old.revision and attrs.evolve(new, revision=old.revision) != old:
        text = f"{new.revision} does not follow on {old.revision}: nodes will ignore it"
        changes.append(Difference("revision", text))
    for kind, find in differences.by_name.items():
        changes.extend(Difference(kind, text) for text in find(old, new))
    return changes


@differences.register("bounds")
def describe_bounds_changes(old, new):
    """Yield the changed limits of the whole fleet.

    Parameters
    ----------
    old, new : Configuration
        The two configurations.
    """
    yield from _describe_fields(old.bounds, new.bounds)


@differences.register("customers")
def describe_customer_changes(old, new):
    """Yield customers that are added, removed or have changed limits.

    Parameters
    ----------
    old, new : Configuration
        The two configurations.
    """
    yield from _describe_members(old.customer_by_name, new.customer_by_name)
    for name, before, after in _changed_pairs(
        old.customer_by_name, new.customer_by_name
    ):
        shrunk = [
            f"{limit} {getattr(before, limit):g} -> {getattr(after, limit):g}"
            for limit in SHRINKING_LIMITS
            if getattr(after, limit) < getattr(before, limit)
        ]
        if shrunk:
            yield f"the limits of {name} shrink: {', '.join(shrunk)}"
        others = [
            text
            for text in _describe_fields(before, after, hidden=("key_digests",))
            if text not in shrunk
        ]
        if others:
            yield f"{name}: {', '.join(others)}"


@differences.register("engines")
def describe_engine_changes(old, new):
    """Yield engines that are added, removed or changed.

    Parameters
    ----------
    old, new : Configuration
        The two configurations.
    """
    yield from _describe_members(old.engine_by_name, new.engine_by_name)
    for name, before, after in _changed_pairs(old.engine_by_name, new.engine_by_name):
        yield f"{name}: {', '.join(_describe_fields(before, after))}"


@differences.register("orders")
def describe_order_changes(old, new):
    """Yield engines that have to load other weights or adapters or change their role.

    Parameters
    ----------
    old, new : Configuration
        The two configurations.
    """
    names_by_order = {}
    for name, engine in new.engine_by_name.items():
        wanted = _wanted_content(new, engine)
        before = old.engine_by_name.get(name)
        if wanted is None or (before and _wanted_content(old, before) == wanted):
            continue
        model, version, adapters, role = wanted
        content_text = f"{model} version {version}, role {role}"
        if adapters:
            content_text += f", adapters {', '.join(adapters)}"
        names_by_order.setdefault(content_text, []).append(name)
    for content_text, names in names_by_order.items():
        yield f"{_format_names(names)}: to run {content_text}"


def _wanted_content(configuration, engine):
    if engine.status not in (LifecycleStatus.IN_SERVICE, LifecycleStatus.LEAVING):
        return None
    model = configuration.model_by_name[engine.model]
    return engine.model, model.version, model.adapters, engine.role


@differences.register("services")
def describe_service_changes(old, new):
    """Yield services that are added or removed, or whose servers or rules change.

    Parameters
    ----------
    old, new : Configuration
        The two configurations.
    """
    yield from _describe_members(old.service_by_name, new.service_by_name)
    for name, before, after in _changed_pairs(old.service_by_name, new.service_by_name):
        servers_before = {item.name: item for item in before.endpoints}
        servers_after = {item.name: item for item in after.endpoints}
        for text in _describe_members(servers_before, servers_after):
            yield f"{name}: servers {text}"
        for server, one, two in _changed_pairs(servers_before, servers_after):
            yield f"{name}: {server}: {', '.join(_describe_fields(one, two))}"
        if before.checks_keys != after.checks_keys:
            yield f"{name}: checks_keys {before.checks_keys} -> {after.checks_keys}"
        if before.routes != after.routes:
            yield f"{name}: the rules on which calls may be repeated change"


@differences.register("regions")
def describe_region_limits(old, new):
    """Yield limits to regions in which no engine is in service.

    Parameters
    ----------
    old, new : Configuration
        The two configurations.
    """
    unserved = dict(_find_unserved_limits(old))
    for entry, regions in _find_unserved_limits(new):
        if unserved.get(entry) != regions:
            yield f"{entry}: nothing is in service in {', '.join(regions)}"


def _find_unserved_limits(configuration):
    """Yield customers and host routes whose regions serve nothing that they use."""
    engine_by_name = configuration.engine_by_name
    serving = find_serving_regions(configuration, engine_by_name)
    for customer in configuration.customer_by_name.values():
        if customer.regions and serving.isdisjoint(customer.regions):
            yield f"customer {customer.name}", customer.regions
    for route in configuration.host_route_by_name.values():
        if not route.regions:
            continue
        models = {target.model for target in route.targets}
        names = [one.name for one in engine_by_name.values() if one.model in models]
        if find_serving_regions(configuration, names).isdisjoint(route.regions):
            yield f"host route {route.name}", route.regions


@differences.register("chats")
def describe_moved_chats(old, new):
    """Yield the share of chats per region and model whose preferred engine changes.

    Parameters
    ----------
    old, new : Configuration
        The two configurations.
    """
    rng = random.Random(SAMPLE_SEED)
    keys = [rng.getrandbits(KEY_BITS) for _ in range(SAMPLED_CHATS)]
    groups_before, groups_after = _weights_by_group(old), _weights_by_group(new)
    for group in sorted(groups_before.keys() & groups_after.keys()):
        before, after = groups_before[group], groups_after[group]
        if before == after:
            continue
        first_before, first_after = _FirstChoice(before), _FirstChoice(after)
        moved = sum(first_before.first(key) != first_after.first(key) for key in keys)
        if moved:
            region, model = group
            share = 100 * moved / len(keys)
            yield f"about {share:.0f}% of the chats of {model} in {region} move"


def _weights_by_group(configuration):
    """Return the weights of engines in service by shard, for each region and model."""
    engines = configuration.engine_by_name
    groups = {}
    for region in {zone.region for zone in configuration.zone_by_name.values()}:
        for shard in compute_shards(configuration, region):
            weight_by_engine = {
                name: engines[name].weight
                for name in shard.engines
                if engines[name].status is LifecycleStatus.IN_SERVICE
            }
            if weight_by_engine:
                group = groups.setdefault((region, shard.model), {})
                group[shard.name] = weight_by_engine
    return groups


class _FirstChoice:
    """Selects the preferred engine of a chat, regardless of load."""

    def __init__(self, weights_by_shard):
        sums = {name: sum(item.values()) for name, item in weights_by_shard.items()}
        self._shards = RendezvousRanking(sums)
        self._engines_by_shard = {
            name: RendezvousRanking(item) for name, item in weights_by_shard.items()
        }

    def first(self, key):
        shard = self._shards.order(key)[0]
        return self._engines_by_shard[shard].order(key)[0]


def _describe_members(before, after):
    added = sorted(after.keys() - before.keys())
    removed = sorted(before.keys() - after.keys())
    if added:
        yield f"added: {_format_names(added)}"
    if removed:
        yield f"removed: {_format_names(removed)}"


def _changed_pairs(before, after):
    for name in sorted(before.keys() & after.keys()):
        if before[name] != after[name]:
            yield name, before[name], after[name]


def _describe_fields(before, after, hidden=()):
    for spec in attrs.fields(type(before)):
        one, two = getattr(before, spec.name), getattr(after, spec.name)
        if one == two:
            continue
        if spec.name in hidden:
            yield f"{spec.name} change"
        else:
            yield f"{spec.name} {_format_value(one)} -> {_format_value(two)}"


def _format_value(value):
    if isinstance(value, LifecycleStatus):
        return value.value
    return f"{value:g}" if isinstance(value, float) else str(value)


def _format_names(names):
    shown = ", ".join(names[:NAMES_SHOWN])
    rest = len(names) - NAMES_SHOWN
    return f"{shown} and {rest} more" if rest > 0 else shown
