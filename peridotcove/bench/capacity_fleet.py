"""Slopes and scenes of the control traffic of a whole fleet in memory.

The real decisions, messages and their bytes; links, clock and configuration service are
stand-ins, and all nodes share one thread.
"""

import collections
import random
import time

from attrs import frozen

from peridotcove.bench import capacity_target
from peridotcove.bench.slopes import US_PER_S, held_bytes, probe
from peridotcove.clock import MS_PER_S, FakeClock
from peridotcove.membership_events import NodeLost
from peridotcove.standins.fleet import MemoryFleet, describe_zones
from peridotcove.standins.links import Faults, Links

SIZES = (3, 9, 27, 55)
ZONES_A_REGION = 4
WARM_MS = 6_000
SPAN_MS = 10_000
SCENE_MS = 5_000
PARTED_MS = 15_000
CONFIGURATION_PARTS = 142
SHARD_LOAD = 180
LOSS = 0.01
SLOT_MS = 1_000


def make_region(nodes, region="region-0"):
    """Return the number of nodes by zone of one region.

    Parameters
    ----------
    nodes : int
        Nodes of the region.
    region : str
        Its name.
    """
    zones = min(ZONES_A_REGION, nodes)
    counts = {f"{region}-{zone}": nodes // zones for zone in range(zones)}
    for zone in range(nodes % zones):
        counts[f"{region}-{zone}"] += 1
    return {region: counts}


def make_target_fleet():
    """Return the number of nodes by zone by region at the target's size."""
    fleet = {}
    for number in range(capacity_target.REGIONS):
        region = f"region-{number}"
        zones = 4 if number < capacity_target.ZONES - 3 * capacity_target.REGIONS else 3
        share = capacity_target.NODES_A_REGION
        counts = [share // zones + (zone < share % zones) for zone in range(zones)]
        fleet[region] = {f"{region}-{zone}": one for zone, one in enumerate(counts)}
    return fleet


class Scene:
    """A running fleet with a configuration in force and shards with owners.

    Parameters
    ----------
    zones_by_region : dict
        Number of nodes by zone, by region.
    start : bool
        Whether to start all nodes and let them settle.
    """

    def __init__(self, zones_by_region, start=True):
        self.links = Links(FakeClock(), random.Random(1), Faults())
        self.fleet = MemoryFleet(self.links, zones_by_region)
        zones = describe_zones(self.fleet.region_by_zone)
        self.fleet.service.publish({"zones": {"zones": zones}})
        if start:
            self.fleet.start()
            self._publish_shards()
            self.links.run(WARM_MS)

    def _publish_shards(self):
        names_by_region = {}
        for name, one in self.fleet.instance_by_name.items():
            region = self.fleet.region_by_zone[one.zone]
            names_by_region.setdefault(region, []).append(name)
        shards = capacity_target.SHARDS // capacity_target.REGIONS
        for region, names in names_by_region.items():
            shards_by_name = {}
            for number in range(shards):
                name = names[number * len(names) // shards % len(names)]
                shard = f"{region}/model-{number % capacity_target.MODELS}/{number}"
                shards_by_name.setdefault(name, {})[shard] = SHARD_LOAD
            for name, held in shards_by_name.items():
                self.fleet.node_by_name[name].control.membership.set_own_shard_loads(
                    held
                )

    def run(self, span_ms):
        """Advance the fleet and return what its running nodes spent.

        Parameters
        ----------
        span_ms : int
            Length in ms.
        """
        hosts = [node.host for node in self.fleet.up()]
        before = [(host.bytes_out, host.bytes_in, host.frames_out) for host in hosts]
        calls = self.fleet.service.calls
        started = time.thread_time()
        self.links.run(span_ms)
        spent_us = (time.thread_time() - started) * US_PER_S
        rows = [
            (host.bytes_out - out, host.bytes_in - back, host.frames_out - frames)
            for host, (out, back, frames) in zip(hosts, before, strict=True)
        ]
        seconds = span_ms / MS_PER_S
        return Spent(
            sum(row[0] for row in rows) / len(rows) / seconds,
            max(row[0] for row in rows) / seconds,
            max(row[1] for row in rows) / seconds,
            sum(row[2] for row in rows) / len(rows) / seconds,
            spent_us / len(rows) / seconds,
            (self.fleet.service.calls - calls) / seconds,
        )


@frozen
class Spent:
    """What the nodes of a fleet spent a second.

    Attributes
    ----------
    bytes_out : float
        Bytes sent on the wire, mean over the nodes.
    most_bytes_out, most_bytes_in : float
        Bytes sent, and received, by the node with the most.
    frames_out : float
        Messages sent, mean over the nodes.
    cpu_us : float
        Processor time in microseconds, mean over the nodes, stand-ins included.
    reads : float
        Calls to the configuration service by all nodes.
    """

    bytes_out: float
    most_bytes_out: float
    most_bytes_in: float
    frames_out: float
    cpu_us: float
    reads: float


_spent_by_size = {}


def spend(nodes):
    """Return what the nodes of one quiet region spend; measured once a size.

    Parameters
    ----------
    nodes : int
        Nodes of the region; the target's whole fleet for its size.
    """
    if nodes not in _spent_by_size:
        whole = nodes == capacity_target.NODES
        zones = make_target_fleet() if whole else make_region(nodes)
        _spent_by_size[nodes] = Scene(zones).run(SPAN_MS)
    return _spent_by_size[nodes]


@probe(
    "membership: bytes out, mean",
    "every node",
    "bytes/s",
    "nodes of a region",
    SIZES,
    capacity_target.NODES_A_REGION,
)
def count_bytes(size):
    """Return the bytes a node sends a second."""
    return spend(size).bytes_out


@probe(
    "membership: bytes out, the node with the most",
    "every node",
    "bytes/s",
    "nodes of a region",
    SIZES,
    capacity_target.NODES_A_REGION,
)
def count_most_bytes(size):
    """Return the bytes that the busiest node sends a second."""
    return spend(size).most_bytes_out


@probe(
    "membership: messages out",
    "every node",
    "messages/s",
    "nodes of a region",
    SIZES,
    capacity_target.NODES_A_REGION,
)
def count_frames(size):
    """Return the messages a node sends a second."""
    return spend(size).frames_out


@probe(
    "membership: decisions and codec",
    "every node",
    "us/s",
    "nodes of a region",
    SIZES,
    capacity_target.NODES_A_REGION,
)
def count_cpu(size):
    """Return the processor time a node uses a second, stand-in links included."""
    return spend(size).cpu_us


@probe(
    "membership: memory",
    "every node",
    "bytes",
    "nodes of a region",
    SIZES,
    capacity_target.NODES_A_REGION,
)
def hold_membership(size):
    """Return the bytes of a node's control state, stand-in links included."""
    return held_bytes(lambda: Scene(make_region(size))) / size


def run_scenes():
    """Yield the name, spending and findings of each scene at the target's size."""
    scene = Scene(make_target_fleet())
    yield "quiet", scene.run(SCENE_MS), {}
    yield _change(scene)
    yield _change(scene, LOSS)
    yield _burst(scene)
    yield _lose_zone(scene)
    yield _part_region(Scene(make_target_fleet()))
    yield _restart()


def _wait(scene, revision, limit_ms=60_000):
    waited = 0
    while waited < limit_ms:
        if all(node.revision >= revision for node in scene.fleet.up()):
            return waited
        scene.links.run(50)
        waited += 50
    return None


def _change(scene, loss=0.0):
    inside = [
        name for name in scene.fleet.node_by_name if name.startswith("region-0-0")
    ]
    pairs = [(a, b) for a in inside for b in scene.fleet.node_by_name if a != b]
    scene.links.set_faults([*pairs, *((b, a) for a, b in pairs)], drop=loss)
    name = f"one change, {loss:.0%} loss at one zone" if loss else "one change"
    part = f"customers-{scene.fleet.service.revision:b}"
    scene_found = _publish(scene, [{part: {"customers": {}}}])
    scene.links.heal()
    return name, *scene_found


def _burst(scene, changes=100):
    parts = [
        {f"customers-{n:b}": {"customers": {f"c-{n}": {}}}} for n in range(changes)
    ]
    return f"{changes} changes at once", *_publish(scene, parts)


def _publish(scene, revisions):
    service = scene.fleet.service
    calls = service.calls
    for parts in revisions:
        service.publish(parts)
    waited = _wait(scene, service.revision)
    reads = service.calls - calls
    spent = scene.run(SCENE_MS)
    return spent, {"in_force_everywhere_ms": waited, "reads": reads}


def _lose_zone(scene):
    for name in list(scene.fleet.node_by_name):
        if name.startswith("region-1-0"):
            scene.fleet.stop(name)
    begun_ms = scene.links.clock.now()
    spent = scene.run(SCENE_MS)
    changes_by_node = collections.defaultdict(set)
    last_ms = begun_ms
    for at_ms, name, event in scene.fleet.noted:
        if at_ms >= begun_ms and isinstance(event, NodeLost):
            changes_by_node[name].add(at_ms)
            last_ms = max(last_ms, at_ms)
    most = max(len(times) for times in changes_by_node.values())
    found = {"noticed_by_all_ms": last_ms - begun_ms, "most_changes_of_live": most}
    return f"a zone lost: the {SCENE_MS} ms after", spent, found


def _part_region(scene):
    inside = [name for name in scene.fleet.node_by_name if name.startswith("region-2")]
    scene.links.partition(inside)
    parted = scene.run(PARTED_MS)
    scene.fleet.service.publish({"customers-x": {"customers": {}}})
    inner = _wait(scene, scene.fleet.service.revision)
    scene.links.heal()
    scene.run(SCENE_MS)
    return (
        f"a region parted: {PARTED_MS} ms of it",
        parted,
        {"in_force_parted_ms": inner},
    )


def _restart():
    scene = Scene(make_target_fleet(), start=False)
    for number in range(CONFIGURATION_PARTS):
        part = {f"customers-{number:b}": {"customers": {f"c-{number}": {}}}}
        scene.fleet.service.publish(part)
    scene.fleet.start()
    waited = _wait(scene, scene.fleet.service.revision)
    calls = scene.fleet.service.calls_at_ms
    busiest = max(
        sum(at <= call < at + SLOT_MS for call in calls)
        for at in range(calls[0], calls[-1] + 1, 50)
    )
    found = {
        "in_force_everywhere_ms": waited,
        "reads": len(calls),
        "reads_in_the_busiest_second": busiest,
    }
    return "all nodes restart at once", scene.run(SCENE_MS), found
