"""Runs nodes of two builds at once while each node is replaced by one of the other."""

import asyncio
import logging
import pathlib
import random
import signal
import tempfile
from collections import Counter

from attrs import frozen

from peridotcove.clock import MS_PER_S, Clock
from tests.soak.faults import FAULTS, FaultContext
from tests.soak.fleet import OK, ZONES, SoakFleet

CLOCK = Clock()
STALL_POLL_MS, MIN_STALL_MS = 50, 200
TORN_STREAMS = "torn-streams"
# What goes on meanwhile. Builds before the one that brought a feature don't keep its
# promises: older ones get other faults on the command line.
DISTURBANCES = (
    "publish",
    "publish",
    "replace-server",
    "bad-server",
    "newer-software",
    "say-leaving",
    "cold-servers",
    "evacuate-zone",
    TORN_STREAMS,
)
# Bounds in s of the pauses between two disturbances, and between replacements.
DISTURBANCE_PAUSES_S = (0.2, 1.5)
REPLACEMENT_PAUSES_S = (0.2, 1.0)
KILL_DELAYS_S = (1.0, 15.0)
AFFECTED_POLL_S = 0.1
# Time with nodes of the last build only, in s.
SETTLED_S = 1.0
# Clients that read streams alone, so that each killed node breaks some of them off.
STREAM_CLIENTS_PER_NODE = 1
KILLS = 3

log = logging.getLogger("soak")


@frozen
class UpgradeOutcome:
    """Result of one run.

    Attributes
    ----------
    seed : int
        The run's seed.
    requests, served : int
        Number of requests that clients sent to the end, and that were answered whole.
    taken_up, not_taken_up : int
        Streams that broke off and were gone on with, and those that were not.
    stalled_ms : int
        Time in ms for which this process, with clients and servers, did not run though
        it was due: with a stall, the machine is too busy for the bounds of promises.
    violations : tuple of Violation
        Broken promises.
    """

    seed: int
    requests: int
    served: int
    taken_up: int
    not_taken_up: int
    stalled_ms: int
    violations: tuple

    @property
    def count_by_promise(self):
        """Number of violations by promise."""
        return Counter(violation.promise for violation in self.violations)


async def run_upgrade(
    seed, builds, nodes=8, servers=6, faults=DISTURBANCES, folder=None, returned=0
):
    """Replace each node of a fleet by one of another build, under load.

    Parameters
    ----------
    seed : int
        Seed for the order of the nodes, for the faults and for what they affect.
    builds : tuple of Build
        Build that all nodes run at first, and build that all run in the end.
    nodes, servers : int
        Number of nodes and of servers.
    faults : sequence of str
        Names of the faults that are drawn meanwhile.
    folder : str or None
        Folder that keeps settings and logs of the nodes; if None, they are deleted.
    returned : int
        Number of nodes that get the first build back in the end.
    """
    first, last = builds
    rng = random.Random(seed)
    with tempfile.TemporaryDirectory() as temporary:
        path = pathlib.Path(folder or temporary)
        path.mkdir(parents=True, exist_ok=True)
        fleet = SoakFleet(nodes, servers, path, random.Random(rng.random()), first)
        context = FaultContext(fleet, rng)
        stalls_ms = []
        watch = asyncio.create_task(_watch_stalls(stalls_ms))
        try:
            await fleet.start()
            _add_clients(fleet, rng)
            work = _replace_all(context, (last, first), returned)
            await _disturb_while(context, faults, work)
            await asyncio.sleep(SETTLED_S)
            await fleet.check_recovery()
        finally:
            await fleet.close()
            watch.cancel()
    promises = fleet.promises
    answers = promises.answer_counts
    return UpgradeOutcome(
        seed,
        sum(answers.values()),
        sum(count for (_, status), count in answers.items() if status == OK),
        fleet.taken_up,
        fleet.not_taken_up,
        sum(stalls_ms),
        tuple(promises.violations),
    )


async def _watch_stalls(stalls_ms):
    while True:
        due_ms = CLOCK.now() + STALL_POLL_MS
        await asyncio.sleep(STALL_POLL_MS / MS_PER_S)
        late_ms = CLOCK.now() - due_ms
        if late_ms >= MIN_STALL_MS:
            log.warning("the clients and servers stalled for %d ms", late_ms)
            stalls_ms.append(late_ms)


def _add_clients(fleet, rng):
    for link in fleet.store_links:
        for _ in range(STREAM_CLIENTS_PER_NODE):
            fleet.add_client(link.node, random.Random(rng.random()), ("chat",))


async def _disturb_while(context, faults, work):
    """Inject faults until some work is done, and wait for the faults to end."""
    async with asyncio.TaskGroup() as group:
        task = group.create_task(work)
        while not task.done():
            name = context.rng.choice(faults)
            log.info("injecting the fault %s", name)
            disturb = _tear_streams if name == TORN_STREAMS else FAULTS.get(name)
            group.create_task(disturb(context))
            await asyncio.sleep(context.rng.uniform(*DISTURBANCE_PAUSES_S))


async def _tear_streams(context):
    """Let half of the servers break off some of their streams."""
    names = context.sample_servers(0.5)
    servers = [context.fleet.server_by_name[name] for name in names]
    for server in servers:
        server.fault, server.fault_share = "torn", context.rng.uniform(0.1, 0.5)
    await asyncio.sleep(context.rng.uniform(1, 3))
    for server in servers:
        server.fault_share = 0.0


async def _replace_all(context, builds, returned):
    """Replace all nodes, one of each zone at a time, and kill some meanwhile.

    The first nodes that are replaced get their old build back in the end.
    """
    build, old_build = builds
    links = list(context.fleet.store_links)
    context.rng.shuffle(links)
    async with asyncio.TaskGroup() as group:
        for number in range(len(ZONES)):
            zone_links = [one for one in links if one.node.zone == ZONES[number]]
            group.create_task(_replace_in_turn(context, zone_links, build))
        for link in context.rng.sample(links, min(KILLS, len(links))):
            group.create_task(_kill(context, link.node))
    await _replace_in_turn(context, links[:returned], old_build)


async def _replace_in_turn(context, links, build):
    for link in links:
        await _wait_until_unaffected(context, link.node)
        await _replace(context, link.node, build)
        await asyncio.sleep(context.rng.uniform(*REPLACEMENT_PAUSES_S))


async def _wait_until_unaffected(context, node):
    while context.is_affected(node):
        await asyncio.sleep(AFFECTED_POLL_S)


async def _replace(context, node, build):
    """Shut a node down (SIGTERM) and start another build in its place."""
    codes = (0,) if node.has_started else (0, -signal.SIGTERM)

    async def start():
        await context.fleet.wait_for_exit(node, codes)
        node.build = build
        await context.fleet.start_node(node)

    log.info("replacing %s", node.label)
    await context.disrupt([node.label], node.terminate, start, 0, planned=True)


async def _kill(context, node):
    """Kill a node (SIGKILL), which starts again with the build that it had."""
    await asyncio.sleep(context.rng.uniform(*KILL_DELAYS_S))
    await _wait_until_unaffected(context, node)

    async def start():
        await node.wait()
        await context.fleet.start_node(node)

    await context.disrupt([node.label], node.kill, start, 0)
