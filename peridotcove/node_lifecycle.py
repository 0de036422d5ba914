"""Lifecycle of a node: opening its ports, its periodic work and graceful shutdown."""

import asyncio
import contextlib
import gc
import signal

from peridotcove import __version__
from peridotcove.background import restarting
from peridotcove.callers.listening import listen
from peridotcove.clock import Clock
from peridotcove.drain import DrainStage
from peridotcove.lease_client import LEASE_ANNOUNCE_INTERVAL_MS
from peridotcove.logs import configure_logging, get_logger
from peridotcove.membership_events import (
    LinkSilent,
    NodeJoined,
    NodeLost,
    ProcessResumed,
)
from peridotcove.node import Node
from peridotcove.publisher.watch import watch_configuration

CONTROL_INTERVAL_MS = 250
# Interval of the control work while a node has no configuration, without which it can't
# serve requests, or has just started and knows no other node.
STARTING_CONTROL_INTERVAL_MS = 50
QUEUED_LEASES_INTERVAL_MS = 20
DRAIN_POLL_INTERVAL_MS = 100

log = get_logger("node")


async def run_node(settings, early_sockets=None):
    """Run a node until SIGTERM or SIGINT, then drain and close it.

    SIGHUP reloads its settings.

    Parameters
    ----------
    settings : Settings
        Settings of the node.
    early_sockets : dict of socket.socket or None
        Sockets that listen already, by ``(host, port)``.
    """
    handler = configure_logging(settings.log_level, settings.log_name)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    node = Node(settings, Clock())
    loop.add_signal_handler(signal.SIGHUP, node.interface.reload)
    node.metrics.log_lines_dropped.set_function(lambda: handler.dropped)
    await open_ports(node, early_sockets)
    tasks = await start(node)
    # Modules and parts of the node stay until it ends: no collection traverses them.
    gc.freeze()
    gc.enable()
    try:
        await stop.wait()
        await drain(node)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await close(node)


async def open_ports(node, early_sockets=None):
    """Open the listening ports of a node and set its `ports`.

    Parameters
    ----------
    node : Node
        The node.
    early_sockets : dict of socket.socket or None
        Sockets that listen already, by ``(host, port)``.
    """
    settings = node.settings
    callers, nodes = settings.callers, settings.nodes
    operators = settings.operators
    early = early_sockets or {}
    caller_socket = early.get((callers.host, callers.port))
    node_socket = early.get((nodes.host, nodes.port))
    node.ports = (
        listen(node.caller_server, callers.host, callers.port, caller_socket),
        await node.links.listen(nodes.host, nodes.port, node_socket),
        listen(node.operator_server, operators.host, operators.port),
    )


async def start(node):
    """Start the background tasks of a node and return them.

    The ports are opened first if they are not open yet.

    Parameters
    ----------
    node : Node
        The node.

    Returns
    -------
    list of asyncio.Task
        The tasks, which run until they are cancelled.
    """
    if not node.ports:
        await open_ports(node)
    node.timeline.record("node-started", {"address": node.name, "version": __version__})
    reader = node.control.reader
    jobs = [
        _run_periodically(
            lambda: _control_interval_ms(node), lambda: tick_control(node)
        ),
        _tick_leases(node.lease_server),
        _run_periodically(
            lambda: LEASE_ANNOUNCE_INTERVAL_MS, node.lease_client.announce_leases
        ),
        watch_configuration(
            node.configuration_client,
            reader,
            lambda items: _send_and_apply_configuration(node, items),
            lambda lost, reason: _record_service_state(node, lost, reason),
        ),
        *node.interface.background_jobs(),
    ]
    log.info("started")
    return [asyncio.create_task(job) for job in jobs]


def _record_service_state(node, lost, reason):
    if lost:
        node.engine_retention.start_outage()
    else:
        node.engine_retention.end_outage()
    revisions = node.control.revisions
    node.timeline.record(
        "service-lost" if lost else "service-regained",
        {"configuration_age_ms": revisions.age_ms()},
        revision=revisions.revision,
        detail=reason,
    )


def _send_and_apply_configuration(node, items):
    node.send_all(items)
    node.apply_configuration()


@restarting
async def _tick_leases(server):
    while True:
        server.tick()
        if server.waiting:
            await asyncio.sleep(QUEUED_LEASES_INTERVAL_MS / 1000)
            continue
        server.request_queued.clear()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(
                server.request_queued.wait(), CONTROL_INTERVAL_MS / 1000
            )


async def _run_periodically(interval_ms, work):
    while True:
        try:
            work()
        except Exception:
            log.exception("periodic work failed; it runs again after its interval")
        await asyncio.sleep(interval_ms() / 1000)


def _control_interval_ms(node):
    if node.control.revisions.revision and not node.interface.is_isolated():
        return CONTROL_INTERVAL_MS
    return STARTING_CONTROL_INTERVAL_MS


def tick_control(node):
    """Run the periodic work of membership, configuration, leases and tickets.

    Parameters
    ----------
    node : Node
        The node.
    """
    control = node.control
    node.connection_memory.tick()
    own = node.lease_server.load_by_shard()
    control.membership.set_own_shard_loads(own)
    node.fleet.set_shard_loads({**control.membership.shard_loads(), **own})
    node.lease_server.update_other_shard_loads()
    node.send_all(control.tick())
    node.apply_configuration()
    for event in control.membership.pop_events():
        if isinstance(event, LinkSilent):
            node.links.reset_link(event.peer)
        elif isinstance(event, NodeLost):
            node.lease_server.drop_entry(event.node)
            node.timeline.record("peer-down", peer=event.node)
        elif isinstance(event, ProcessResumed):
            node.timeline.record("node-paused", detail=f"{event.paused_ms} ms")
            node.lease_client.announce_leases()
            log.warning(
                "the process was paused for %d ms; announcing its leases again",
                event.paused_ms,
            )
        elif isinstance(event, NodeJoined):
            node.timeline.record("peer-up", peer=event.node)
            node.lease_server.inform_joined(event.node)
            node.interface.handle_peer_joined(event.node)
    node.update_live_nodes()
    update_endpoints(node)
    node.interface.tick()


def update_endpoints(node):
    """Query peers for leaving endpoints if needed.

    Peers are queried after a pause of this process, because it may have missed
    messages about leaving endpoints.

    Parameters
    ----------
    node : Node
        The node.
    """
    node.send_all(node.endpoint_state_sync.tick(node.peers()))
    node.update_leaving_endpoints()


async def drain(node):
    """Shut a node down gracefully: report not ready, finish requests, hand over state.

    Requests that have not ended within the drain limit are cut.

    Parameters
    ----------
    node : Node
        The node.
    """
    log.info("drain started; the node reports not ready to the load balancer")
    node.timeline.record("drain-started")
    node.drain.begin()
    node.send_all(node.control.membership.leave())
    node.update_live_nodes()
    closing = handing_over = False
    while True:
        in_progress = node.request_counter.count + node.interface.count_running()
        handed_over = handing_over and node.interface.is_handed_over()
        stage = node.drain.tick(in_progress, handed_over)
        if stage is DrainStage.DONE:
            break
        if stage is not DrainStage.LEAVING and not closing:
            closing = True
            node.interface.close_idle()
        if stage is DrainStage.HANDING_OVER and not handing_over:
            handing_over = True
            node.interface.hand_over()
        await asyncio.sleep(DRAIN_POLL_INTERVAL_MS / 1000)
    node.timeline.record("drain-ended", {"cut": node.drain.aborted_count})
    log.info("drain ended; %d unfinished requests were cut", node.drain.aborted_count)


async def close(node):
    """Close all connections of a node.

    Parameters
    ----------
    node : Node
        The node.
    """
    node.caller_server.stop()
    node.operator_server.stop()
    node.relay_server.close()
    node.relay_client.close()
    await node.links.close()
    node.streaming_client.close()
    node.configuration_client.close()
    node.interface.close()
