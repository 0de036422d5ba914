"""Differences between two configurations, in words, before one is handed over."""

import random

import attrs
from attrs import frozen

from peridotcove.models import LifecycleStatus
from peridotcove.ownership import compute_shards
from peridotcove.registry import Registry
from peridotcove.rendezvous import RendezvousRanking

SAMPLED_CHATS = 1_000
SAMPLE_SEED = 1
KEY_BITS = 64
NAMES_SHOWN = 5
SHRINKING_LIMITS = ("requests_per_second", "concurrency", "weight")

differences = Registry("difference between configurations")


@frozen
class Change:
    """One difference.

    Attributes
    ----------
    kind : str
        What it is about, such as ``"chats"`` or ``"customers"``.
    text : str
        The difference in words.
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
        The one in force and the one to hand over.

    Returns
    -------
    changes : list of Change
        Empty when nothing differs but the revision.
    """
    changes = []
    if new.revision <= old.revision and attrs.evolve(new, revision=old.revision) != old:
        text = f"{new.revision} does not follow on {old.revision}: nodes will ignore it"
        changes.append(Change("revision", text))
    for kind, find in differences.by_name.items():
        changes.extend(Change(kind, text) for text in find(old, new))
    return changes


@differences.register("bounds")
def find_bounds(old, new):
    """Yield each limit of the whole fleet that changes.

    Parameters
    ----------
    old, new : Configuration
        The two configurations.
    """
    yield from _fields(old.bounds, new.bounds)


@differences.register("customers")
def find_customers(old, new):
    """Yield customers that come, go, or have other limits.

    Parameters
    ----------
    old, new : Configuration
        The two configurations.
    """
    yield from _members(old.customer_by_name, new.customer_by_name)
    for name, before, after in _changed(old.customer_by_name, new.customer_by_name):
        shrunk = [
            f"{word} {getattr(before, word):g} -> {getattr(after, word):g}"
            for word in SHRINKING_LIMITS
            if getattr(after, word) < getattr(before, word)
        ]
        if shrunk:
            yield f"the limits of {name} shrink: {', '.join(shrunk)}"
        others = [
            text
            for text in _fields(before, after, hidden=("key_digests",))
            if text not in shrunk
        ]
        if others:
            yield f"{name}: {', '.join(others)}"


@differences.register("engines")
def find_engines(old, new):
    """Yield engines that come, go, or are described otherwise.

    Parameters
    ----------
    old, new : Configuration
        The two configurations.
    """
    yield from _members(old.engine_by_name, new.engine_by_name)
    for name, before, after in _changed(old.engine_by_name, new.engine_by_name):
        yield f"{name}: {', '.join(_fields(before, after))}"


@differences.register("orders")
def find_orders(old, new):
    """Yield engines that are to load something else or to change their role.

    Parameters
    ----------
    old, new : Configuration
        The two configurations.
    """
    names_by_order = {}
    for name, engine in new.engine_by_name.items():
        wanted = _wanted(new, engine)
        before = old.engine_by_name.get(name)
        if wanted is None or (before and _wanted(old, before) == wanted):
            continue
        model, version, adapters, role = wanted
        words = f"{model} version {version}, role {role}"
        if adapters:
            words += f", adapters {', '.join(adapters)}"
        names_by_order.setdefault(words, []).append(name)
    for words, names in names_by_order.items():
        yield f"{_names(names)}: to run {words}"


def _wanted(configuration, engine):
    if engine.status not in (LifecycleStatus.IN_SERVICE, LifecycleStatus.LEAVING):
        return None
    model = configuration.model_by_name[engine.model]
    return engine.model, model.version, model.adapters, engine.role


@differences.register("services")
def find_services(old, new):
    """Yield services that come, go, or whose servers or rules change.

    Parameters
    ----------
    old, new : Configuration
        The two configurations.
    """
    yield from _members(old.service_by_name, new.service_by_name)
    for name, before, after in _changed(old.service_by_name, new.service_by_name):
        servers_before = {item.name: item for item in before.endpoints}
        servers_after = {item.name: item for item in after.endpoints}
        for text in _members(servers_before, servers_after):
            yield f"{name}: servers {text}"
        for server, one, two in _changed(servers_before, servers_after):
            yield f"{name}: {server}: {', '.join(_fields(one, two))}"
        if before.checks_keys != after.checks_keys:
            yield f"{name}: checks_keys {before.checks_keys} -> {after.checks_keys}"
        if before.routes != after.routes:
            yield f"{name}: the rules on which calls may be repeated change"


@differences.register("chats")
def find_moved_chats(old, new):
    """Yield the share of chats, by region and model, whose first engine changes.

    Parameters
    ----------
    old, new : Configuration
        The two configurations.
    """
    rng = random.Random(SAMPLE_SEED)
    keys = [rng.getrandbits(KEY_BITS) for _ in range(SAMPLED_CHATS)]
    groups_before, groups_after = _groups(old), _groups(new)
    for group in sorted(groups_before.keys() & groups_after.keys()):
        before, after = groups_before[group], groups_after[group]
        if before == after:
            continue
        first_before, first_after = _Choice(before), _Choice(after)
        moved = sum(first_before.first(key) != first_after.first(key) for key in keys)
        if moved:
            region, model = group
            share = 100 * moved / len(keys)
            yield f"about {share:.0f}% of the chats of {model} in {region} move"


def _groups(configuration):
    """Return the weights of engines in service by shard, by region and model."""
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


class _Choice:
    """The first choice of a chat among engines that are not full."""

    def __init__(self, weights_by_shard):
        sums = {name: sum(item.values()) for name, item in weights_by_shard.items()}
        self._shards = RendezvousRanking(sums)
        self._engines_by_shard = {
            name: RendezvousRanking(item) for name, item in weights_by_shard.items()
        }

    def first(self, key):
        shard = self._shards.order(key)[0]
        return self._engines_by_shard[shard].order(key)[0]


def _members(before, after):
    added = sorted(after.keys() - before.keys())
    removed = sorted(before.keys() - after.keys())
    if added:
        yield f"added: {_names(added)}"
    if removed:
        yield f"removed: {_names(removed)}"


def _changed(before, after):
    for name in sorted(before.keys() & after.keys()):
        if before[name] != after[name]:
            yield name, before[name], after[name]


def _fields(before, after, hidden=()):
    for spec in attrs.fields(type(before)):
        one, two = getattr(before, spec.name), getattr(after, spec.name)
        if one == two:
            continue
        if spec.name in hidden:
            yield f"{spec.name} change"
        else:
            yield f"{spec.name} {_show(one)} -> {_show(two)}"


def _show(value):
    if isinstance(value, LifecycleStatus):
        return value.value
    return f"{value:g}" if isinstance(value, float) else str(value)


def _names(names):
    shown = ", ".join(names[:NAMES_SHOWN])
    rest = len(names) - NAMES_SHOWN
    return f"{shown} and {rest} more" if rest > 0 else shown
