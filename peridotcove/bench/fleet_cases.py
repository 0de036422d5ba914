"""Cases of ``peridotcove bench fleet``: simulated fleets and single nodes."""

import random
import time
import tracemalloc

from peridotcove.bench.synthetic_configuration import make_configuration_json
from peridotcove.clock import MS_PER_S, FakeClock
from peridotcove.configuration_parts import (
    DIGEST_BYTES,
    PartDescriptor,
    digest,
    encode_canonical_json,
)
from peridotcove.control_plane import ControlPlane
from peridotcove.manifests import Manifest
from peridotcove.membership_events import NodeLost
from peridotcove.models import Instance
from peridotcove.nodes import messages
from peridotcove.nodes.configuration_messages import AskConfiguration, Delta
from peridotcove.part_splitting import split_into_parts
from peridotcove.standins.fleet import MemoryFleet
from peridotcove.standins.links import Faults, Links, count_wire_bytes

CHANGES_PER_DAY = 9_100
DAY_MS = 86_400_000
SMALL_PART_BYTES = 512
LOSS_RATE = 0.01
DETECTION_LOSS_RATE = 0.02
STARTUP_MS = 12_000
TIMEOUT_MS = 30_000
STEP_MS = 20
LAYOUT_BY_SIZE = {9: (3, 3), 27: (3, 9), 55: (4, 14), 110: (8, 14), 330: (22, 15)}
REGIONS = 6
TICKS_PER_S = 4


def make_fleet(size, seed, customers=200):
    """Return a started fleet and the values of its configuration by part.

    Parameters
    ----------
    size : int
        Number of nodes; a key of `LAYOUT_BY_SIZE`.
    seed : int
        Seed of the links.
    customers : int
        Customers in the configuration.
    """
    zones, nodes = LAYOUT_BY_SIZE[size]
    regions = max(1, round(REGIONS * zones / 22))
    by_region = {}
    remaining = size
    for number in range(zones):
        count = min(nodes, remaining - (zones - number - 1))
        remaining -= count
        region = by_region.setdefault(f"region-{number % regions}", {})
        region[f"zone-{number}"] = count
    links = Links(FakeClock(), random.Random(seed), Faults())
    fleet = MemoryFleet(links, by_region)
    raw = make_configuration_json(customers, 16, zones=zones)
    raw["zones"] = {
        zone: {"region": region} for zone, region in fleet.region_by_zone.items()
    }
    value_by_part = split_into_parts(raw, SMALL_PART_BYTES)
    fleet.service.publish(value_by_part)
    fleet.start()
    links.run(STARTUP_MS)
    return fleet, value_by_part


def change_customer(fleet, value_by_part, number):
    """Publish a change of one customer.

    Parameters
    ----------
    fleet : MemoryFleet
        The fleet.
    value_by_part : dict
        Its configuration by part.
    number : int
        Number of the change.
    """
    names = sorted(name for name in value_by_part if name.startswith("customers"))
    part = names[number % len(names)]
    customers = value_by_part[part]["customers"]
    name = sorted(customers)[0]
    customers[name] = {**customers[name], "concurrency": 10 + number % 50}
    fleet.service.publish({part: value_by_part[part]})


def time_change_propagation(size, seed):
    """Return the time in ms until a change is in force on every node.

    Parameters
    ----------
    size : int
        Number of nodes.
    seed : int
        Seed of the links.
    """
    fleet, value_by_part = make_fleet(size, seed)
    zone = [name for name in fleet.node_by_name if name.startswith("zone-0-")]
    every = list(fleet.node_by_name)
    pairs = [(one, other) for one in zone for other in every]
    pairs += [(other, one) for one, other in pairs]
    fleet.links.set_faults(pairs, drop=LOSS_RATE)
    change_customer(fleet, value_by_part, 1)
    expected_revision = fleet.service.revision
    for waited_ms in range(STEP_MS, TIMEOUT_MS, STEP_MS):
        fleet.links.run(STEP_MS)
        if all(node.revision == expected_revision for node in fleet.running_nodes()):
            return waited_ms
    return TIMEOUT_MS


def count_reads(size):
    """Return reads of the service in steady state, in a burst and at a restart.

    Parameters
    ----------
    size : int
        Number of nodes.

    Returns
    -------
    dict
        Reads by case, and the highest number in one second.
    """
    fleet, value_by_part = make_fleet(size, 1)
    service, links = fleet.service, fleet.links
    reads = {"parts": len(value_by_part), "first start": service.calls}
    before = service.calls
    links.run(60_000)
    reads["steady a second"] = round((service.calls - before) / 60, 2)
    before = service.calls
    for number in range(100):
        change_customer(fleet, value_by_part, number)
        links.run(20)
    links.run(10_000)
    reads["burst of 100 changes in 2 s"] = service.calls - before
    before = service.calls
    fleet.start()
    links.run(STARTUP_MS)
    reads["all restart"] = service.calls - before
    reads["all restart, most in 1 s"] = _compute_max_per_second(
        service.calls_at_ms[before:]
    )
    ready = sum(node.control.revisions.ready() for node in fleet.running_nodes())
    reads["all restart, ready after 12 s"] = ready
    return reads


def _compute_max_per_second(times):
    seconds = [at // MS_PER_S for at in times]
    return max(seconds.count(second) for second in set(seconds))


def count_bytes(size, seconds=120):
    """Return bytes per node and second, at the rate of changes of an average day.

    Parameters
    ----------
    size : int
        Number of nodes.
    seconds : int
        Length of the measurement.

    Returns
    -------
    dict
        Median and maximum of bytes received, sent and both together.
    """
    fleet, value_by_part = make_fleet(size, 1)
    before = {
        node.name: (node.network.bytes_in, node.network.bytes_out)
        for node in fleet.running_nodes()
    }
    gap_ms = DAY_MS // CHANGES_PER_DAY
    for number in range(seconds * MS_PER_S // gap_ms):
        change_customer(fleet, value_by_part, number)
        fleet.links.run(gap_ms)
    elapsed_s = (seconds * MS_PER_S // gap_ms) * gap_ms / MS_PER_S
    rows = []
    for node in fleet.running_nodes():
        old_in, old_out = before[node.name]
        rows.append((node.network.bytes_in - old_in, node.network.bytes_out - old_out))
    cases = {
        "in": sorted(row[0] for row in rows),
        "out": sorted(row[1] for row in rows),
        "together": sorted(sum(row) for row in rows),
    }
    result = {}
    for name, values in cases.items():
        result[f"{name}, median"] = round(values[len(values) // 2] / elapsed_s)
        result[f"{name}, most"] = round(values[-1] / elapsed_s)
    return result


def time_detection(deaths=20):
    """Return the detection of failed nodes in a zone of 15 at 2% loss.

    Parameters
    ----------
    deaths : int
        Number of failures, each of one node in a new fleet.

    Returns
    -------
    dict
        Slowest detection in ms, missed detections, heartbeats and false alarms.
    """
    slowest, missed = 0, 0
    for seed in range(deaths):
        links = Links(
            FakeClock(), random.Random(seed), Faults(drop=DETECTION_LOSS_RATE)
        )
        fleet = MemoryFleet(links, {"region": {"zone": 15}})
        fleet.start()
        links.run(5_000 + 37 * seed)
        fleet.node_events.clear()
        stopped_ms = links.clock.now()
        fleet.stop("zone-7")
        links.run(6_000)
        times = [
            at for at, _, event in fleet.node_events if isinstance(event, NodeLost)
        ]
        missed += 14 - len(times)
        slowest = max([slowest, *(at - stopped_ms for at in times)])
    links = Links(FakeClock(), random.Random(deaths), Faults(drop=DETECTION_LOSS_RATE))
    fleet = MemoryFleet(links, {"region": {"zone": 15}})
    fleet.start()
    links.run(5_000)
    sent = sum(node.network.frames_out for node in fleet.running_nodes())
    links.run(100_000)
    sent = sum(node.network.frames_out for node in fleet.running_nodes()) - sent
    false_alarms = sum(isinstance(event, NodeLost) for _, _, event in fleet.node_events)
    return {
        "deaths": deaths,
        "slowest ms": slowest,
        "missed": missed,
        "heartbeats": sent,
        "false alarms": false_alarms,
    }


def time_heartbeats(size=330, seconds=20):
    """Return a node's processor time and frames per second in steady state.

    Decisions and decoding are timed; sockets are not.

    Parameters
    ----------
    size : int
        Number of nodes.
    seconds : int
        Length of the measurement on the simulated clock.
    """
    fleet, _ = make_fleet(size, 1)
    node = fleet.node_by_name["zone-0-0"]
    cpu_s, calls = [0.0], [0]

    def timed(call):
        def run(*args):
            started = time.thread_time()
            result = call(*args)
            calls[0] += 1
            cpu_s[0] += time.thread_time() - started
            return result

        return run

    node.network.deliver = timed(node.network.deliver)
    node.control.tick = timed(node.control.tick)
    sent = node.network.frames_out
    fleet.links.run(seconds * MS_PER_S)
    return {
        "ms a second": round(cpu_s[0] * MS_PER_S / seconds, 2),
        "frames in a second": round(calls[0] / seconds - TICKS_PER_S, 1),
        "frames out a second": round((node.network.frames_out - sent) / seconds, 1),
    }


def time_change_cost(customers, engines, changes=20):
    """Return processor time, memory and bytes of changes to a large configuration.

    Parameters
    ----------
    customers, engines : int
        Size of the configuration.
    changes : int
        Number of changes to time.
    """
    value_by_part = split_into_parts(make_configuration_json(customers, engines))
    reader, other = _make_control("reader"), _make_control("other")
    manifest, data_by_name = _publish(1, value_by_part, {})
    tracemalloc.start()
    reader.revisions.apply_manifest(manifest, data_by_name)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    started = time.thread_time()
    other.revisions.apply_manifest(manifest, data_by_name)
    first_ms = (time.thread_time() - started) * MS_PER_S
    sizes, reader_ms, other_ms = [], [], []
    names = sorted(name for name in value_by_part if name.startswith("customers"))
    for number in range(changes):
        part = names[number % len(names)]
        members = value_by_part[part]["customers"]
        name = sorted(members)[0]
        members[name] = {**members[name], "concurrency": 100 + number}
        manifest, data = _publish(number + 2, {part: value_by_part[part]}, manifest)
        started = time.thread_time()
        reader.revisions.apply_manifest(manifest, data)
        reader_ms.append((time.thread_time() - started) * MS_PER_S)
        (answer,) = reader.revisions.receive("other", AskConfiguration(number + 1))
        frame = messages.encode(answer.message, number + 2)
        sizes.append(count_wire_bytes(len(frame)))
        started = time.thread_time()
        message, revision = messages.decode(frame)
        assert isinstance(message, Delta)
        other.receive("reader", message, revision)
        other_ms.append((time.thread_time() - started) * MS_PER_S)
    assert other.revisions.revision == changes + 1
    return {
        "parts": len(value_by_part),
        "bytes": sum(
            len(encode_canonical_json(value)) for value in value_by_part.values()
        ),
        "first load ms": round(first_ms),
        "memory added MB": round(memory / (1 << 20), 1),
        "change at the reader ms": round(sorted(reader_ms)[changes // 2], 2),
        "change elsewhere ms": round(sorted(other_ms)[changes // 2], 2),
        "change bytes on the wire": sorted(sizes)[changes // 2],
    }


def _make_control(name):
    instance = Instance(name, "node", "127.0.0.1", 1, "zone-0")
    return ControlPlane(instance, "region-0", FakeClock(), random.Random(1))


def _publish(revision, value_by_part, manifest):
    descriptor_by_name = dict(manifest.descriptor_by_name) if manifest else {}
    data_by_name = {
        name: encode_canonical_json(value) for name, value in value_by_part.items()
    }
    for name, data in data_by_name.items():
        descriptor_by_name[name] = PartDescriptor(revision, digest(data)[:DIGEST_BYTES])
    return Manifest(revision, descriptor_by_name), data_by_name
