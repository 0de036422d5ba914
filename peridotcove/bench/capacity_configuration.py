"""Slopes of the configuration's cost: memory, first load and each change."""

import functools
import random

from peridotcove.bench import capacity_target
from peridotcove.bench.slopes import measure_allocated_bytes, measure_cpu_us, probe
from peridotcove.bench.synthetic_configuration import make_configuration_json
from peridotcove.clock import FakeClock
from peridotcove.configuration_parts import PartDescriptor, digest
from peridotcove.fleet_view import FleetView
from peridotcove.manifests import Manifest
from peridotcove.nodes.messages import decode, encode
from peridotcove.part_splitting import format_compact_json, split_into_parts
from peridotcove.revisions import Revisions

CUSTOMERS = (10, 100, 1_000, 11_000)
ENGINES = (6, 60, 400, 1_600)
FEW_CUSTOMERS = 10
FEW_ENGINES = 6
CHANGES_PER_ROUND = 4
REGION = "region-0"
CHANGED_NAME_BY_KIND = {"customers": "customer-0", "engines": "engine-0"}


def _make_revision(raw, revision, previous_manifest=None):
    """Return the manifest of a configuration and the content of its parts."""
    data_by_name = {
        name: format_compact_json(part).encode()
        for name, part in split_into_parts(raw).items()
    }
    new_descriptor_by_name = {}
    for name, data in data_by_name.items():
        descriptor = PartDescriptor(revision, digest(data))
        previous = (
            previous_manifest.descriptor_by_name.get(name)
            if previous_manifest
            else None
        )
        unchanged = (
            previous is not None
            and previous.published_digest == descriptor.published_digest
        )
        new_descriptor_by_name[name] = previous if unchanged else descriptor
    return Manifest(revision, new_descriptor_by_name), data_by_name


class _NodeConfiguration:
    """The parts of one node that store and index the configuration."""

    def __init__(self, push_to=tuple):
        self.revisions = Revisions(FakeClock(), random.Random(1), push_to)
        self.fleet = FleetView(REGION)

    def load(self, manifest, data_by_name):
        outgoing = self.revisions.apply_manifest(manifest, data_by_name)
        self.fleet.set_configuration(self.revisions.current())
        return [item.message for item in outgoing]

    def handle_frame(self, frame):
        message, _ = decode(frame)
        self.revisions.receive("reader", message)
        self.fleet.set_configuration(self.revisions.current())


@functools.lru_cache(maxsize=1)
def _make_changes(customers, engines, kind):
    """Return a first revision and one frame for each later change."""
    raw = make_configuration_json(customers, engines)
    reader = _NodeConfiguration(lambda: ("node-1",))
    first = _make_revision(raw, 1)
    reader.load(*first)
    manifest = first[0]
    frames = []
    for revision in range(2, 2 + CHANGES_PER_ROUND * 3):
        field = "weight"
        raw[kind][CHANGED_NAME_BY_KIND[kind]][field] = 1.0 + revision / 100
        manifest, data_by_name = _make_revision(raw, revision, manifest)
        frames += [
            encode(item, revision) for item in reader.load(manifest, data_by_name)
        ]
    return first, frames


def _measure_memory(customers, engines):
    raw = make_configuration_json(customers, engines)
    manifest, data_by_name = _make_revision(raw, 1)

    def load():
        node = _NodeConfiguration()
        node.load(manifest, dict(data_by_name))
        return node

    return measure_allocated_bytes(load)


def _time_change(customers, engines, kind):
    first, frames = _make_changes(customers, engines, kind)
    node = _NodeConfiguration()
    node.load(*first)
    return measure_cpu_us(
        lambda number: node.handle_frame(frames[number]), CHANGES_PER_ROUND
    )


@probe(
    "configuration: memory, by customers",
    "every node",
    "bytes",
    "customers",
    CUSTOMERS,
    capacity_target.CUSTOMERS,
)
def measure_memory_by_customers(size):
    """Return the bytes of a revision's parts, objects and indexes."""
    return _measure_memory(size, FEW_ENGINES)


@probe(
    "configuration: memory, by engines",
    "every node",
    "bytes",
    "engines",
    ENGINES,
    capacity_target.ENGINES,
)
def measure_memory_by_engines(size):
    """Return the bytes of a revision's parts, objects and indexes."""
    return _measure_memory(FEW_CUSTOMERS, size)


@probe(
    "a change of one customer: put in force",
    "every node",
    "us",
    "customers",
    CUSTOMERS,
    capacity_target.CUSTOMERS,
)
def time_customer_change(size):
    """Return the time in microseconds of a change, with the target's engines."""
    return _time_change(size, capacity_target.ENGINES, "customers")


@probe(
    "a change of one engine: put in force",
    "every node",
    "us",
    "engines",
    ENGINES,
    capacity_target.ENGINES,
)
def time_engine_change(size):
    """Return the time in microseconds to apply a change from the zone's reader."""
    return _time_change(FEW_CUSTOMERS, size, "engines")


@probe(
    "a change of one customer: frame",
    "every node",
    "bytes",
    "customers",
    CUSTOMERS,
    capacity_target.CUSTOMERS,
)
def count_change_bytes(size):
    """Return the bytes of the frame that carries a change."""
    return len(_make_changes(size, FEW_ENGINES, "customers")[1][0])


@probe(
    "a change of one customer: read from the service",
    "reader of the configuration",
    "bytes",
    "customers",
    CUSTOMERS,
    capacity_target.CUSTOMERS,
)
def count_read_bytes(size):
    """Return the bytes of the manifest as JSON and of the part that changed."""
    raw = make_configuration_json(size, FEW_ENGINES)
    manifest, data_by_name = _make_revision(raw, 1)
    parts = {
        name: {
            "revision": descriptor.revision,
            "digest": descriptor.published_digest.hex(),
        }
        for name, descriptor in manifest.descriptor_by_name.items()
    }
    changed = next(
        data
        for name, data in data_by_name.items()
        if name.startswith("customers") and b'"customer-0":' in data
    )
    return len(format_compact_json({"revision": 1, "parts": parts})) + len(changed)


@probe(
    "the first revision: put in force",
    "every node at its start",
    "us",
    "customers",
    CUSTOMERS,
    capacity_target.CUSTOMERS,
)
def time_first_revision(size):
    """Return the time in microseconds to load a whole configuration."""
    published = _make_revision(
        make_configuration_json(size, capacity_target.ENGINES), 1
    )
    return measure_cpu_us(lambda _: _NodeConfiguration().load(*published), 1)


@probe(
    "the first revision: bytes",
    "every node at its start",
    "bytes",
    "customers",
    CUSTOMERS,
    capacity_target.CUSTOMERS,
)
def count_first_revision_bytes(size):
    """Return the bytes of all parts."""
    _, data_by_name = _make_revision(
        make_configuration_json(size, capacity_target.ENGINES), 1
    )
    return sum(len(data) for data in data_by_name.values())
