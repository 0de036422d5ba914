"""Faults that the soak injects from outside the nodes, drawn from the run's seed."""

import asyncio
import signal

from peridotcove.registry import Registry
from tests.platform.odd_values import (
    ODD_BYTES,
    ODD_SEQUENCES,
    ODD_VALUES,
    encode_entry,
    spoil_entry,
)
from tests.soak.fleet import ZONES
from tests.soak.proxy import Direction

FAULTS = Registry("fault")
# Bounds in s of the delay before a process that ended is restarted.
RESTART_DELAYS_S = (0.0, 1.0)
# Time after which the store drops the entry of a server that is gone.
ENTRY_LIFETIME_S = 3.6


class FaultContext:
    """The fleet that a fault affects, and its source of random draws.

    Parameters
    ----------
    fleet : SoakFleet
        The fleet under test.
    rng : random.Random
        Draws which nodes and servers are affected, and for how long.
    """

    def __init__(self, fleet, rng):
        self.fleet = fleet
        self.rng = rng
        self._affected = set()

    def sample_links(self, share):
        """Return a random sample of the nodes that no fault affects at the moment.

        Parameters
        ----------
        share : float
            Share of all nodes; at least one is sampled while unaffected ones remain.

        Returns
        -------
        list of StoreLink
            The nodes with their links to the store.
        """
        unaffected = [
            link
            for link in self.fleet.store_links
            if link.node.label not in self._affected
        ]
        count = max(1, round(share * len(self.fleet.store_links)))
        return self.rng.sample(unaffected, min(count, len(unaffected)))

    def is_affected(self, node):
        """Return whether a fault affects a node at the moment."""
        return node.label in self._affected

    def sample_servers(self, share):
        """Return names of a random sample of the servers that are not draining."""
        names = sorted(self.fleet.active_servers)
        return self.rng.sample(names, max(1, int(share * len(names))))

    async def disrupt(self, names, begin, end, seconds, planned=False):
        """Call `begin`, then `end` after a delay; the nodes are disrupted until then.

        Parameters
        ----------
        names : list of str
            Names of the nodes; the empty name stands for the store.
        begin, end : callable
            Functions without arguments; `end` may be a coroutine function.
        seconds : float
            Delay between `begin` and `end`.
        planned : bool
            Whether the disruption is a planned shutdown (SIGTERM).
        """
        promises = self.fleet.promises
        disruptions = [promises.begin_disruption(name, planned) for name in names]
        self._affected |= set(names)
        begin()
        try:
            await asyncio.sleep(seconds)
        finally:
            ended = end()
            if ended is not None:
                await ended
            self._affected -= set(names)
            for disruption in disruptions:
                promises.end_disruption(disruption)


async def _restart(context, nodes):
    async def restart(node):
        await node.wait()
        await asyncio.sleep(context.rng.uniform(*RESTART_DELAYS_S))
        await context.fleet.start_node(node)

    await asyncio.gather(*[restart(node) for node in nodes])


@FAULTS.register("kill")
async def kill_nodes(context):
    """Kill 30 %, 60 % or all of the nodes, if no fault affects them yet (SIGKILL)."""
    nodes = [
        link.node for link in context.sample_links(context.rng.choice((0.3, 0.6, 1.0)))
    ]

    def begin():
        for node in nodes:
            node.kill()

    await context.disrupt(
        [node.label for node in nodes], begin, lambda: _restart(context, nodes), 0
    )


@FAULTS.register("terminate")
async def terminate_nodes(context):
    """Shut nodes down one by one (SIGTERM) while clients stay connected."""
    for link in context.sample_links(0.5):
        node = link.node
        if context.is_affected(node):
            continue
        # Before a process has started to serve, it may have no SIGTERM handler yet.
        codes = (0,) if node.has_started else (0, -signal.SIGTERM)

        async def end(node=node, codes=codes):
            await context.fleet.wait_for_exit(node, codes)
            await _restart(context, [node])

        await context.disrupt([node.label], node.terminate, end, 0, planned=True)


@FAULTS.register("terminate-twice")
async def kill_terminating_node(context):
    """Send SIGTERM to a node, stop it during its shutdown, and kill it."""
    # The sample is empty while other faults affect all nodes.
    for link in context.sample_links(0):
        node = link.node

        async def end(node=node):
            node.resume()
            node.kill()
            await _restart(context, [node])

        def begin(node=node):
            node.terminate()
            node.pause()

        await context.disrupt([node.label], begin, end, context.rng.uniform(0.1, 2))


@FAULTS.register("pause")
async def pause_nodes(context):
    """Stop some nodes with SIGSTOP and resume them 0.3 to 5 s later."""
    nodes = [link.node for link in context.sample_links(0.3)]

    def begin():
        for node in nodes:
            node.pause()

    def end():
        for node in nodes:
            node.resume()

    names = [node.label for node in nodes]
    await context.disrupt(names, begin, end, context.rng.uniform(0.3, 5))


@FAULTS.register("reload")
async def reload_settings(context):
    """Make half of the nodes reload their settings (SIGHUP)."""
    for link in context.sample_links(0.5):
        link.node.reload()


@FAULTS.register("store-cut")
async def partition_store(context):
    """Partition some nodes from the store for 1 to 5 s, in one direction or both."""
    links = context.sample_links(0.5)
    blocked = context.rng.choice(([Direction.UP], [Direction.DOWN], list(Direction)))

    def begin():
        for link in links:
            link.store_proxy.block(blocked)

    def end():
        for link in links:
            link.store_proxy.block(())

    names = [link.node.label for link in links]
    await context.disrupt(names, begin, end, context.rng.uniform(1, 5))


@FAULTS.register("store-reset")
async def reset_store_connections(context):
    """Reset the connections of some nodes to the store."""
    for link in context.sample_links(0.7):
        link.store_proxy.reset()


@FAULTS.register("store-silent")
async def make_store_connections_half_open(context):
    """Make the open connections of some nodes to the store half-open for good."""
    links = context.sample_links(0.5)

    def begin():
        for link in links:
            link.store_proxy.make_half_open()

    names = [link.node.label for link in links]
    await context.disrupt(names, begin, lambda: None, 0)


@FAULTS.register("store-down")
async def disable_store(context):
    """Make the store refuse all requests (503 or 429) or leave them unanswered."""
    store = context.fleet.store
    status, silent = context.rng.choice(((503, False), (429, False), (0, True)))

    def begin():
        store.status, store.silent = status, silent

    def end():
        store.status, store.silent = 0, False

    await context.disrupt([""], begin, end, context.rng.uniform(0.5, 4))


@FAULTS.register("store-forgets")
async def compact_store_history(context):
    """Publish a version and compact the store's history so that watches miss it."""
    store = context.fleet.store

    def begin():
        context.fleet.publish_configuration()
        store.compacted_revision = store.revision

    await context.disrupt([""], begin, lambda: None, 1)


@FAULTS.register("store-restored")
async def restore_store(context):
    """Take the store away for a moment; it comes back from a copy seconds old."""
    fleet = context.fleet
    copy = fleet.store.copy()
    await asyncio.sleep(context.rng.uniform(0.5, 5))

    def begin():
        fleet.store.status = 503

    def end():
        fleet.store.status = 0
        fleet.store.restore(copy)

    await context.disrupt([""], begin, end, context.rng.uniform(0.1, 2))
    await asyncio.sleep(context.rng.uniform(0, 0.5))
    fleet.write_configuration()
    fleet.write_evacuations()
    await asyncio.sleep(context.rng.uniform(0, 1.5))
    fleet.write_server_entries()
    await asyncio.sleep(ENTRY_LIFETIME_S)
    fleet.drop_stale_entries()


@FAULTS.register("publish")
async def publish_versions(context):
    """Publish one to four versions in quick succession."""
    for _ in range(context.rng.randint(1, 4)):
        context.fleet.publish_configuration()
        await asyncio.sleep(context.rng.uniform(0, 1.5))


@FAULTS.register("replace-server")
async def replace_server(context):
    """Add a server, and drain and remove another one."""
    await context.fleet.add_server()
    (name,) = context.sample_servers(0)
    await context.fleet.remove_server(name, context.rng.uniform(3, 8))


@FAULTS.register("newer-software")
async def add_newer_software(context):
    """Add servers of a newer software version, which serve beside the others."""
    fleet = context.fleet
    fleet.software_versions.append(f"v{len(fleet.software_versions) + 1}")
    for _ in range(context.rng.randint(1, 3)):
        await fleet.add_server()
        await asyncio.sleep(context.rng.uniform(0, 0.5))
    for _ in range(context.rng.randint(0, 2)):
        (name,) = context.sample_servers(0)
        await fleet.remove_server(name, context.rng.uniform(3, 5))


@FAULTS.register("cold-servers")
async def add_cold_servers(context):
    """Add servers that are cold for some seconds, and remove others."""
    fleet, rng = context.fleet, context.rng
    for _ in range(rng.randint(1, 3)):
        await fleet.add_server(rng.randint(500, 6_000))
    (name,) = context.sample_servers(0)
    await fleet.remove_server(name, rng.uniform(3, 5))


@FAULTS.register("evacuate-zone")
async def evacuate_zone(context):
    """Evacuate a zone and restore it, unless the other one is evacuated."""
    fleet = context.fleet
    if fleet.evacuated_zones:
        return
    zone = context.rng.choice(ZONES)
    fleet.evacuate(zone)
    await asyncio.sleep(context.rng.uniform(2, 9))
    fleet.end_evacuation(zone)


@FAULTS.register("say-leaving")
async def let_server_say_that_it_leaves(context):
    """Replace a server that says in its answers, not in the store, that it leaves."""
    fleet, rng = context.fleet, context.rng
    await fleet.add_server()
    (name,) = context.sample_servers(0)
    fleet.active_servers.discard(name)
    fleet.server_by_name[name].leaving_share = rng.uniform(0.3, 1)
    await asyncio.sleep(rng.uniform(2, 6))
    await fleet.remove_server(name, rng.uniform(0, 4))


@FAULTS.register("pause-servers")
async def let_servers_want_no_requests(context):
    """Let some or all servers refuse requests with a time to come back."""
    servers = [
        context.fleet.server_by_name[name]
        for name in context.sample_servers(context.rng.choice((0.3, 0.3, 1.0)))
    ]
    for server in servers:
        server.pause_share = context.rng.uniform(0.05, 0.6)
    await asyncio.sleep(context.rng.uniform(1, 4))
    for server in servers:
        server.pause_share = 0.0


@FAULTS.register("odd-entries")
async def write_odd_entries(context):
    """Write entries of servers that are oddly wrong, and drop them after a while."""
    fleet, rng = context.fleet, context.rng
    keys = [f"servers/odd-{number}" for number in range(3)]
    sound = next(iter(fleet.server_by_name.values())).make_entry("llm")
    for key in keys:
        entry = rng.choice(ODD_BYTES)
        draw = rng.random()
        if draw < 0.25:
            offset, sequence = rng.randrange(1_000), rng.choice(ODD_SEQUENCES)
            entry = spoil_entry(sound | {"version": "v1"}, offset, sequence)
        elif draw < 0.5:
            name = rng.choice(["addr", "slots", "zone", "state", "born", "more"])
            address = f"127.0.0.1:{rng.randint(1, 9)}"
            entry = (
                sound | {"addr": address, "slots": 0} | {name: rng.choice(ODD_VALUES)}
            )
        fleet.store.put(key, encode_entry(entry))
    await asyncio.sleep(rng.uniform(0.5, 3))
    for key in keys:
        fleet.store.drop(key)


@FAULTS.register("bad-server")
async def make_servers_fail(context):
    """Make some servers fail a share of their requests."""
    fault = context.rng.choice(
        ("errors", "hang", "refuse", "lose", "twice", "unframed", "torn")
    )
    servers = [
        context.fleet.server_by_name[name] for name in context.sample_servers(0.3)
    ]
    for server in servers:
        server.fault, server.fault_share = fault, context.rng.uniform(0.05, 0.6)
    await asyncio.sleep(context.rng.uniform(1, 4))
    for server in servers:
        server.fault_share = 0.0


@FAULTS.register("server-link")
async def disrupt_server_links(context):
    """Delay, partition, reset or make half-open the connections to some servers."""
    promises = context.fleet.promises
    names = context.sample_servers(0.3)
    disruptions = [promises.begin_disruption(name) for name in names]
    proxies = [context.fleet.proxy_by_server[name] for name in names]
    kind = context.rng.choice(("delay", "cut", "reset", "silence"))
    directions = context.rng.choice(([Direction.UP], [Direction.DOWN]))
    for proxy in proxies:
        if kind == "delay":
            proxy.delay_ms = context.rng.randint(20, 400)
        elif kind == "cut":
            proxy.block(directions)
        elif kind == "reset":
            proxy.reset()
        else:
            proxy.make_half_open()
    await asyncio.sleep(context.rng.uniform(0.5, 3))
    for proxy in proxies:
        proxy.delay_ms = 0
        proxy.block(())
    for disruption in disruptions:
        promises.end_disruption(disruption)
