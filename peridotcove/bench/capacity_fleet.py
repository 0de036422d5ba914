"""Slopes and scenarios of the control traffic of a whole fleet in memory.

Decisions, messages and their sizes are those of real nodes. Links, clock and
configuration service are stand-ins, and all nodes share one thread.
"""

import collections
import random
import time

from attrs import frozen

from peridotcove.bench import capacity_target
from peridotcove.bench.slopes import US_PER_S, measure_allocated_bytes, probe
from peridotcove.clock import MS_PER_S, FakeClock
from peridotcove.membership_events import NodeLost
from peridotcove.standins.fleet import MemoryFleet, describe_zones
from peridotcove.standins.links import Faults, Links

REGION_SIZES = (3, 9, 27, 55)
MAX_ZONES_PER_REGION = 4
WARMUP_MS = 6_000
MEASUREMENT_MS = 10_000
SCENARIO_MS = 5_000
PARTITION_MS = 15_000
CONFIGURATION_PARTS = 142
SHARD_LOAD = 180
LOSS_RATE = 0.01
READ_WINDOW_MS = 1_000


def make_region(nodes, region="region-0"):
    """Return the number of nodes of each zone of one region.

    Parameters
    ----------
    nodes : int
        Nodes of the region.
    region : str
        Its name.
    """
    zones = min(MAX_ZONES_PER_REGION, nodes)
    counts = {f"{region}-{zone}": nodes // zones for zone in range(zones)}
    for zone in range(nodes % zones):
        counts[f"{region}-{zone}"] += 1
    return {region: counts}


def make_target_fleet():
    """Return the number of nodes of each zone, by region, at the target size."""
    fleet = {}
    for number in range(capacity_target.REGIONS):
        region = f"region-{number}"
        zones = 4 if number < capacity_target.ZONES - 3 * capacity_target.REGIONS else 3
        node_count = capacity_target.NODES_PER_REGION
        counts = [
            node_count // zones + (zone < node_count % zones) for zone in range(zones)
        ]
        fleet[region] = {f"{region}-{zone}": count for zone, count in enumerate(counts)}
    return fleet


class FleetSimulation:
    """A simulated fleet with a configuration in force and owned shards.

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
            self.links.run(WARMUP_MS)

    def _publish_shards(self):
        names_by_region = {}
        for name, instance in self.fleet.instance_by_name.items():
            region = self.fleet.region_by_zone[instance.zone]
            names_by_region.setdefault(region, []).append(name)
        shards = capacity_target.SHARDS // capacity_target.REGIONS
        for region, names in names_by_region.items():
            shards_by_name = {}
            for number in range(shards):
                name = names[number * len(names) // shards % len(names)]
                shard = f"{region}/model-{number % capacity_target.MODELS}/{number}"
                shards_by_name.setdefault(name, {})[shard] = SHARD_LOAD
            for name, load_by_shard in shards_by_name.items():
                self.fleet.node_by_name[name].control.membership.set_own_shard_loads(
                    load_by_shard
                )

    def run(self, span_ms):
        """Advance the fleet and return the resources that its running nodes used.

        Parameters
        ----------
        span_ms : int
            Simulated time in ms.
        """
        hosts = [node.network for node in self.fleet.running_nodes()]
        before = [(host.bytes_out, host.bytes_in, host.frames_out) for host in hosts]
        calls = self.fleet.service.calls
        started = time.thread_time()
        self.links.run(span_ms)
        cpu_us_total = (time.thread_time() - started) * US_PER_S
        rows = [
            (host.bytes_out - sent, host.bytes_in - received, host.frames_out - frames)
            for host, (sent, received, frames) in zip(hosts, before, strict=True)
        ]
        seconds = span_ms / MS_PER_S
        return ResourceUsage(
            sum(row[0] for row in rows) / len(rows) / seconds,
            max(row[0] for row in rows) / seconds,
            max(row[1] for row in rows) / seconds,
            sum(row[2] for row in rows) / len(rows) / seconds,
            cpu_us_total / len(rows) / seconds,
            (self.fleet.service.calls - calls) / seconds,
        )


@frozen
class ResourceUsage:
    """Resources that the nodes of a fleet used per second.

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


_usage_by_size = {}


def measure_region(nodes):
    """Return the resources that an idle region uses; measured once per size.

    Parameters
    ----------
    nodes : int
        Nodes of the region; the target's whole fleet for its size.
    """
    if nodes not in _usage_by_size:
        is_target_size = nodes == capacity_target.NODES
        zones = make_target_fleet() if is_target_size else make_region(nodes)
        _usage_by_size[nodes] = FleetSimulation(zones).run(MEASUREMENT_MS)
    return _usage_by_size[nodes]


@probe(
    "membership: bytes out, mean",
    "every node",
    "bytes/s",
    "nodes of a region",
    REGION_SIZES,
    capacity_target.NODES_PER_REGION,
)
def measure_bytes_out(size):
    """Return the bytes that a node sends per second."""
    return measure_region(size).bytes_out


@probe(
    "membership: bytes out, the node with the most",
    "every node",
    "bytes/s",
    "nodes of a region",
    REGION_SIZES,
    capacity_target.NODES_PER_REGION,
)
def measure_max_bytes_out(size):
    """Return the bytes per second of the node that sends the most."""
    return measure_region(size).most_bytes_out


@probe(
    "membership: messages out",
    "every node",
    "messages/s",
    "nodes of a region",
    REGION_SIZES,
    capacity_target.NODES_PER_REGION,
)
def measure_frames_out(size):
    """Return the messages that a node sends per second."""
    return measure_region(size).frames_out


@probe(
    "membership: decisions and codec",
    "every node",
    "us/s",
    "nodes of a region",
    REGION_SIZES,
    capacity_target.NODES_PER_REGION,
)
def measure_cpu(size):
    """Return a node's processor time per second, stand-in links included."""
    return measure_region(size).cpu_us


@probe(
    "membership: memory",
    "every node",
    "bytes",
    "nodes of a region",
    REGION_SIZES,
    capacity_target.NODES_PER_REGION,
)
def measure_membership_memory(size):
    """Return the bytes of a node's control state, stand-in links included."""
    return measure_allocated_bytes(lambda: FleetSimulation(make_region(size))) / size


def run_scenarios():
    """Yield name, resource usage and findings of each scenario at the target size."""
    simulation = FleetSimulation(make_target_fleet())
    yield "quiet", simulation.run(SCENARIO_MS), {}
    yield _run_change(simulation)
    yield _run_change(simulation, LOSS_RATE)
    yield _run_burst(simulation)
    yield _run_zone_loss(simulation)
    yield _run_partition(FleetSimulation(make_target_fleet()))
    yield _run_restart()


def _wait_for_revision(simulation, revision, limit_ms=60_000):
    waited_ms = 0
    while waited_ms < limit_ms:
        if all(node.revision >= revision for node in simulation.fleet.running_nodes()):
            return waited_ms
        simulation.links.run(50)
        waited_ms += 50
    return None


def _run_change(simulation, loss=0.0):
    affected_nodes = [
        name for name in simulation.fleet.node_by_name if name.startswith("region-0-0")
    ]
    pairs = [
        (a, b) for a in affected_nodes for b in simulation.fleet.node_by_name if a != b
    ]
    simulation.links.set_faults([*pairs, *((b, a) for a, b in pairs)], drop=loss)
    name = f"one change, {loss:.0%} loss at one zone" if loss else "one change"
    part = f"customers-{simulation.fleet.service.revision:b}"
    usage_and_findings = _measure_publication(simulation, [{part: {"customers": {}}}])
    simulation.links.heal()
    return name, *usage_and_findings


def _run_burst(simulation, changes=100):
    parts = [
        {f"customers-{n:b}": {"customers": {f"c-{n}": {}}}} for n in range(changes)
    ]
    return f"{changes} changes at once", *_measure_publication(simulation, parts)


def _measure_publication(simulation, revisions):
    service = simulation.fleet.service
    calls = service.calls
    for parts in revisions:
        service.publish(parts)
    waited_ms = _wait_for_revision(simulation, service.revision)
    reads = service.calls - calls
    usage = simulation.run(SCENARIO_MS)
    return usage, {"in_force_everywhere_ms": waited_ms, "reads": reads}


def _run_zone_loss(simulation):
    for name in list(simulation.fleet.node_by_name):
        if name.startswith("region-1-0"):
            simulation.fleet.stop(name)
    started_ms = simulation.links.clock.now()
    usage = simulation.run(SCENARIO_MS)
    changes_by_node = collections.defaultdict(set)
    last_ms = started_ms
    for at_ms, name, event in simulation.fleet.node_events:
        if at_ms >= started_ms and isinstance(event, NodeLost):
            changes_by_node[name].add(at_ms)
            last_ms = max(last_ms, at_ms)
    max_changes = max(len(times) for times in changes_by_node.values())
    findings = {
        "noticed_by_all_ms": last_ms - started_ms,
        "most_changes_of_live": max_changes,
    }
    return f"a zone lost: the {SCENARIO_MS} ms after", usage, findings


def _run_partition(simulation):
    affected_nodes = [
        name for name in simulation.fleet.node_by_name if name.startswith("region-2")
    ]
    simulation.links.partition(affected_nodes)
    partition_usage = simulation.run(PARTITION_MS)
    simulation.fleet.service.publish({"customers-x": {"customers": {}}})
    in_force_ms = _wait_for_revision(simulation, simulation.fleet.service.revision)
    simulation.links.heal()
    simulation.run(SCENARIO_MS)
    return (
        f"a region parted: {PARTITION_MS} ms of it",
        partition_usage,
        {"in_force_parted_ms": in_force_ms},
    )


def _run_restart():
    simulation = FleetSimulation(make_target_fleet(), start=False)
    for number in range(CONFIGURATION_PARTS):
        part = {f"customers-{number:b}": {"customers": {f"c-{number}": {}}}}
        simulation.fleet.service.publish(part)
    simulation.fleet.start()
    waited_ms = _wait_for_revision(simulation, simulation.fleet.service.revision)
    calls = simulation.fleet.service.calls_at_ms
    busiest = max(
        sum(at <= call < at + READ_WINDOW_MS for call in calls)
        for at in range(calls[0], calls[-1] + 1, 50)
    )
    findings = {
        "in_force_everywhere_ms": waited_ms,
        "reads": len(calls),
        "reads_in_the_busiest_second": busiest,
    }
    return "all nodes restart at once", simulation.run(SCENARIO_MS), findings
