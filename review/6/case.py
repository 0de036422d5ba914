"""An entry of another writer that can't be read stops all changes of configuration."""

import asyncio
import sys
import time
from pathlib import Path

from rig_2.clients import send
from rig_2.nodes import HOST, ZONE, make_route, make_service, run_case
from rig_2.servers import PlainServer

NODES = 3
APPLY_S = 2.0
SETTLE_S = 3.0
JUDGED_S = 12.0
KEPT_KEY, DROPPED_KEY = "k5n2ctnfzs989anu", "q7anfqasnmgkcuyj"
DENIALS = (401, 403, 404)
# The bytes ED A0 80 are no character in UTF-8.
ODD_ENTRY = (
    b'{"service":"old-app","addr":"%s:8080","zone":"%s","version":"v\xed\xa0\x80",'
    b'"slots":6,"state":"ready","cold_left_ms":0,"seq":1}'
)


def put_version(rig, version, service, keys, paths):
    """Write a version whose routes all lead to one service.

    Parameters
    ----------
    rig : Rig
        The store.
    version : int
        The version.
    service : str
        The service.
    keys, paths : list of str
        Keys of the only tenant, and prefixes of the routes.
    """
    rig.put_configuration(
        version,
        [
            make_route(f"r{path[1:-1]}", path, service, "non_idempotent", 1_500, 1, 0)
            for path in paths
        ],
        [make_service("old-app"), make_service("new-app")],
        [{"name": "hule930", "api_keys": keys, "priority": 1}],
    )


async def ask(rig, node, path, key):
    """Send a request and return its outcome.

    Parameters
    ----------
    rig : Rig
        Takes the record.
    node : NodeProcess
        The node.
    path, key : str
        Path and API key.
    """
    outcome = await send(node.address, HOST, path, headers={"Api-Key": key})
    text = f"{outcome.request_id} {path} key {key} at {node.label}: {outcome.text}"
    rig.record.write(text)
    return outcome


async def judge(rig, servers):
    """Return how many requests were handled as only the older version allows.

    Parameters
    ----------
    rig : Rig
        The nodes.
    servers : list of PlainServer
        All servers.
    """
    count = 0
    end_s = time.monotonic() + JUDGED_S
    while time.monotonic() < end_s:
        for node in rig.nodes:
            moved = await ask(rig, node, "/moved/x", KEPT_KEY)
            added = await ask(rig, node, "/added/x", KEPT_KEY)
            dropped = await ask(rig, node, "/moved/x", DROPPED_KEY)
            run_by = {
                request_id: server.service
                for server in servers
                for _, request_id in server.runs
            }
            count += run_by.get(moved.request_id) == "old-app"
            status = added.response.status if added.response else 0
            count += status in DENIALS
            count += dropped.request_id in run_by
        await asyncio.sleep(0.5)
    return count


async def case(rig, trouble):
    """Return whether the rule held.

    Parameters
    ----------
    rig : Rig
        Store and nodes.
    trouble : bool
        Whether another writer writes its entry.
    """
    put_version(rig, 3, "old-app", [KEPT_KEY, DROPPED_KEY], ["/moved/"])
    servers = [
        PlainServer(
            rig.store, rig.host(100 + number), f"i-{number}", name, ZONE, rig.record
        )
        for number, name in enumerate(("old-app", "old-app", "new-app", "new-app"))
    ]
    for server in servers:
        await server.start()
    await rig.start_nodes()
    await asyncio.sleep(SETTLE_S)
    for node in rig.nodes:
        for key in (KEPT_KEY, DROPPED_KEY):
            outcome = await ask(rig, node, "/moved/x", key)
            if outcome.response is None or outcome.response.status != 200:
                raise RuntimeError("requests failed before the trouble")
    if trouble:
        entry = ODD_ENTRY % (rig.host(200).encode(), ZONE.encode())
        rig.store.put("servers/i-odd", entry)
        rig.record.write("another writer has written servers/i-odd")
    await asyncio.sleep(SETTLE_S)
    put_version(rig, 7, "new-app", [KEPT_KEY], ["/moved/", "/added/"])
    await asyncio.sleep(APPLY_S + 0.1)
    count = await judge(rig, servers)
    rig.record.write(f"{count} requests were handled as only version 3 allows")
    return not count


sys.exit(run_case(case, Path(__file__).resolve().parent, NODES))
