"""Runs a node: its servers, its periodic work and its graceful shutdown."""

import asyncio
import signal

from peridotcove.callers.server import listen
from peridotcove.clock import Clock
from peridotcove.drain import Stage
from peridotcove.limits import REPORT_MS
from peridotcove.logs import get_logger, start_logs
from peridotcove.membership_events import LinkSilent, NodeJoined, NodeLost
from peridotcove.node import Node
from peridotcove.platform.watch import watch_configuration, watch_instances

CONTROL_MS = 250
LEASE_MS = 50
DRAIN_MS = 100
TICKET_MS = 250
ANNOUNCE_MS = 10_000

log = get_logger("node")


async def run_node(settings):
    """Run a node until SIGTERM or SIGINT, then drain it.

    Parameters
    ----------
    settings : Settings
        Settings of the node.
    """
    start_logs(settings.log_level, settings.node)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    node = Node(settings, Clock())
    tasks = await start(node)
    try:
        await stop.wait()
        await drain(node)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await close(node)


async def start(node):
    """Let a node listen and begin its periodic work; return the tasks.

    Parameters
    ----------
    node : Node
        The node.
    """
    settings = node.settings
    await node.links.listen(settings.nodes.host, settings.nodes.port)
    listen(node.operator_server, settings.operators.host, settings.operators.port)
    listen(node.caller_server, settings.callers.host, settings.callers.port)
    node.timeline.record("node-started")
    reader = node.control.reader
    jobs = [
        _every(CONTROL_MS, lambda: tick_control(node)),
        _every(LEASE_MS, node.lease_server.tick),
        _every(REPORT_MS, node.usage.tick),
        _every(TICKET_MS, node.once.tick),
        _every(CONTROL_MS, lambda: tick_endpoints(node)),
        _every(ANNOUNCE_MS, node.lease_client.announce),
        watch_configuration(
            node.platform, reader, lambda item: _send_and_follow(node, item)
        ),
        watch_instances(node.platform, node.clock, node.rng, node.take_instances),
    ]
    log.info("started")
    return [asyncio.create_task(job) for job in jobs]


def _send_and_follow(node, item):
    node.send_all([item])
    node.follow_configuration()


async def _every(period_ms, work):
    while True:
        try:
            work()
        except Exception:
            log.exception("periodic work failed")
        await asyncio.sleep(period_ms / 1000)


def tick_control(node):
    """Do the periodic work of membership and configuration.

    Parameters
    ----------
    node : Node
        The node.
    """
    control = node.control
    control.membership.publish(node.lease_server.loads())
    node.send_all(control.tick())
    node.follow_configuration()
    for event in control.membership.events():
        if isinstance(event, LinkSilent):
            node.links.renew(event.peer)
        elif isinstance(event, NodeLost):
            node.lease_server.drop_entry(event.node)
            node.timeline.record("peer-down", peer=event.node)
        elif isinstance(event, NodeJoined):
            node.timeline.record("peer-up", peer=event.node)
            node.send_all(node.delivery.greet(event.node))
    node.follow_nodes()


def tick_endpoints(node):
    """Ask peers which endpoints are leaving, after a pause of this process.

    Parameters
    ----------
    node : Node
        The node.
    """
    node.send_all(node.leaving_news.tick(node.peers()))
    node.follow_endpoints()
    node.tickets.expire()


async def drain(node):
    """Leave the balancer, let every request end, and hand everything over.

    Parameters
    ----------
    node : Node
        The node.
    """
    log.info("leaving")
    node.timeline.record("drain-started")
    node.drain.begin()
    node.send_all(node.control.membership.leave())
    node.follow_nodes()
    handing = False
    while True:
        in_progress = node.activity.count + node.tickets.running()
        handed = handing and not node.delivery.busy()
        stage = node.drain.tick(in_progress, handed)
        if stage is Stage.DONE:
            break
        if stage is Stage.HANDING_OVER and not handing:
            handing = True
            node.hand_over_tickets()
        await asyncio.sleep(DRAIN_MS / 1000)
    node.timeline.record("drain-ended")
    log.info("left with %d requests cut", node.drain.cut)


async def close(node):
    """Close all connections of a node.

    Parameters
    ----------
    node : Node
        The node.
    """
    node.caller_server.stop()
    node.operator_server.stop()
    await node.links.close()
    node.endpoint_client.close()
    node.service_client.close()
    node.platform.close()
