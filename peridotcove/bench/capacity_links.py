"""Slopes of the real links between two nodes over loopback, and of lease traffic."""

import asyncio
import collections
import random
import time

from peridotcove.bench import capacity_target
from peridotcove.bench.capacity_requests import CHAT_BLOCKS, make_ask
from peridotcove.bench.slopes import US_PER_S, probe
from peridotcove.clock import Clock
from peridotcove.models import Instance
from peridotcove.nodes.handshake import Identity
from peridotcove.nodes.links import LinkManager
from peridotcove.nodes.messages import GiveLease, HoldLeases, ReleaseLease, encode
from peridotcove.nodes.rate_limit_messages import ReportUsage
from peridotcove.ownership import rank_shard_owners
from peridotcove.standins.links import count_wire_bytes

FRAMES = 500
HOST = "127.0.0.1"
SECRET = b"a secret of the bench"
LEASE_BYTES = 8


async def _exchange(size):
    """Return the processor time of both ends for frames sent one by one."""
    clock = Clock()
    first, second = (
        LinkManager(Identity(name, "zone", 1), SECRET, clock)
        for name in ("first", "second")
    )
    arrived = asyncio.Event()
    second.on_message = lambda *_: arrived.set()
    port = await second.listen(HOST, 0)
    first.set_peers([Instance("second", "node", HOST, port, "zone")])
    message = ReleaseLease(b"\x01" * LEASE_BYTES, "s" * size)
    started = 0
    for number in range(FRAMES + 1):
        arrived.clear()
        first.send("second", message)
        await asyncio.wait_for(arrived.wait(), 5)
        if number == 0:
            started = time.thread_time()
    spent = time.thread_time() - started
    await first.close()
    await second.close()
    return spent * US_PER_S / FRAMES


@probe(
    "a frame over websockets: both ends",
    "every node",
    "us",
    "bytes",
    (50, 200, 800, 3_200),
    200,
)
def time_frame(size):
    """Return the processor time of sending and receiving one frame, codec included."""
    return asyncio.run(_exchange(size))


@probe(
    "leases: bytes out",
    "entry and owner",
    "bytes/s",
    "requests/s",
    (1, 2, 5, 10),
    round(capacity_target.REQUESTS_A_NODE_PER_S),
)
def count_lease_bytes(size):
    """Return the bytes of asking, granting and releasing, as entry and as owner."""
    request_id = b"\x01" * LEASE_BYTES
    messages = (
        make_ask(random.Random(1), CHAT_BLOCKS),
        GiveLease(request_id, "engine-1234", CHAT_BLOCKS),
        ReleaseLease(request_id, "done", CHAT_BLOCKS),
    )
    return size * sum(count_wire_bytes(len(encode(one, 1))) for one in messages)


@probe(
    "usage reports: bytes out",
    "entry",
    "bytes/s",
    "customers of the last second",
    (1, 2, 5, 10),
    round(capacity_target.REQUESTS_A_NODE_PER_S),
)
def count_report_bytes(size):
    """Return the bytes of a second's reports, each customer with a home of its own."""
    frame = encode(ReportUsage({"customer-1234": 1}), 1)
    return size * count_wire_bytes(len(frame))


@probe(
    "telling new owners the leases held: bytes",
    "entry",
    "bytes",
    "shards of a region",
    (6, 12, 24, 48),
    capacity_target.SHARDS // capacity_target.REGIONS,
)
def count_announcement_bytes(size):
    """Return the bytes that one change of the live nodes makes an entry send."""
    held = capacity_target.STREAMS_A_NODE
    total = 0
    for number in range(size):
        mine = range(number, held, size)
        leases = [[bytes(LEASE_BYTES), "engine-1234", "customer-1234"] for _ in mine]
        frame = encode(HoldLeases(f"region-0/model-0/{number}", leases), 1)
        total += count_wire_bytes(len(frame))
    return total


@probe(
    "shards of one node, the most",
    "owner",
    "shards",
    "nodes of a region",
    (3, 9, 27, 55),
    capacity_target.NODES_A_REGION,
)
def count_shards(size):
    """Return the shards of the node that owns the most, of a region's shards."""
    nodes = [Instance(f"node-{n}", "node", HOST, 1, "zone") for n in range(size)]
    shards_a_model = capacity_target.SHARDS_A_MODEL
    owners = collections.Counter(
        rank_shard_owners(f"region-0/model-{model}/{number}", nodes)[0]
        for model in range(capacity_target.MODELS)
        for number in range(shards_a_model)
    )
    return max(owners.values())


@probe(
    "leases: bytes out of an owner",
    "owner",
    "bytes/s",
    "requests/s",
    (1, 5, 12, 36),
    round(capacity_target.REQUESTS_PER_S / capacity_target.SHARDS),
)
def count_owner_bytes(size):
    """Return the bytes of the grants."""
    grant = GiveLease(b"\x01" * LEASE_BYTES, "engine-1234", CHAT_BLOCKS)
    return size * count_wire_bytes(len(encode(grant, 1)))
