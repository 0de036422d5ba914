"""An entry of another writer that can't be read, then a withdrawn key."""

import asyncio
import time

import harness

KEYS = {"bakery": ["key-of-bakery"], "planner": ["key-of-planner", "old-of-planner"]}
KEYS_LATER = {"bakery": ["key-of-bakery"], "planner": ["key-of-planner"]}
# Bytes of another writer: they can't be read as an entry.
UNREADABLE = b"[" * 4_000
WATCHED_S = 8


async def play(fleet, trouble):
    """Return whether the withdrawn key and the leaving server were respected."""
    record = fleet.record
    for number in range(1, 5):
        await fleet.add_server(f"i-{number}", "booking-app")
    routes = [harness.make_route("look", "idempotent", "booking-app")]
    document = harness.make_document(7, routes, ["booking-app"], KEYS)
    fleet.publish(document, "two tenants with three keys")
    await fleet.start_nodes(3)
    for node in fleet.nodes:
        _, response = await fleet.request(node, "/look/x", "old-of-planner")
        if response.status != 200:
            raise harness.CannotRun("the fleet doesn't serve")
    await asyncio.sleep(1)
    if trouble:
        fleet.store.put("servers/i-0", UNREADABLE)
        record.write("another writer wrote bytes that can't be read: servers/i-0")
    await asyncio.sleep(1)
    document = harness.make_document(11, routes, ["booking-app"], KEYS_LATER)
    fleet.publish(document, "the key old-of-planner is withdrawn")
    leaving = fleet.servers[0]
    leaving.state = "draining"
    leaving.register()
    record.write(f"{leaving.name} reported draining")
    acknowledged = time.monotonic()
    await asyncio.sleep(harness.APPLY_MS / 1_000 + 1)
    late_keys = served = 0
    while time.monotonic() < acknowledged + WATCHED_S:
        for node in fleet.nodes:
            _, response = await fleet.request(node, "/look/x", "old-of-planner")
            late_keys += response.status == 200
            _, response = await fleet.request(node, "/look/x", "key-of-planner")
            served += response.status == 200
        await asyncio.sleep(0.2)
    late_runs = [
        name
        for name, at, _ in leaving.runs
        if at > acknowledged + harness.DRAIN_MS / 1_000
    ]
    record.write(f"{late_keys} requests ran with the withdrawn key (CONFIG)")
    record.write(f"{len(late_runs)} requests reached the leaving server late (DRAIN)")
    record.write(f"{served} requests with a valid key were served")
    return not late_keys and not late_runs


harness.run_case(__file__, play)
