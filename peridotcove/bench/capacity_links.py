"""Slopes of the real links between two nodes over loopback, and of lease traffic."""

import asyncio
import collections
import random
import time

from peridotcove.bench import capacity_target
from peridotcove.bench.capacity_requests import CHAT_BLOCKS, make_ask_lease
from peridotcove.bench.slopes import US_PER_S, probe
from peridotcove.clock import Clock
from peridotcove.models import Instance
from peridotcove.nodes.handshake import Identity
from peridotcove.nodes.links import LinkManager
from peridotcove.nodes.messages import GiveLease, HoldLeases, ReleaseLease, encode
from peridotcove.nodes.rate_limit_messages import ReportUsage
from peridotcove.ownership import rank_shard_owners
from peridotcove.standins.links import count_wire_bytes

FRAME_COUNT = 500
HOST = "127.0.0.1"
SECRET = b"a secret of the bench"
REQUEST_ID_BYTES = 8


async def _measure_exchange_us(size):
    """Return the processor time in us per frame, both ends, sent one at a time."""
    clock = Clock()
    first, second = (
        LinkManager(Identity(name, "zone", 1), SECRET, clock)
        for name in ("first", "second")
    )
    arrived = asyncio.Event()
    second.on_message = lambda *_: arrived.set()
    port = await second.listen(HOST, 0)
    first.set_peers([Instance("second", "node", HOST, port, "zone")])
    message = ReleaseLease(b"\x01" * REQUEST_ID_BYTES, "s" * size)
    started = 0
    for number in range(FRAME_COUNT + 1):
        arrived.clear()
        first.send("second", message)
        await asyncio.wait_for(arrived.wait(), 5)
        if number == 0:
            started = time.thread_time()
    cpu_s = time.thread_time() - started
    await first.close()
    await second.close()
    return cpu_s * US_PER_S / FRAME_COUNT


@probe(
    "a frame over websockets: both ends",
    "every node",
    "us",
    "bytes",
    (50, 200, 800, 3_200),
    200,
)
def time_frame(size):
    """Return the processor time in microseconds of one frame, codec included."""
    return asyncio.run(_measure_exchange_us(size))


@probe(
    "leases: bytes out",
    "entry and owner",
    "bytes/s",
    "requests/s",
    (1, 2, 5, 10),
    round(capacity_target.REQUESTS_PER_NODE_AND_S),
)
def count_lease_bytes(size):
    """Return the bytes per second of leases, sent as entry and as owner."""
    request_id = b"\x01" * REQUEST_ID_BYTES
    messages = (
        make_ask_lease(random.Random(1), CHAT_BLOCKS),
        GiveLease(request_id, "engine-1234", CHAT_BLOCKS),
        ReleaseLease(request_id, "done", CHAT_BLOCKS),
    )
    return size * sum(
        count_wire_bytes(len(encode(lease_message, 1))) for lease_message in messages
    )


@probe(
    "usage reports: bytes out",
    "entry",
    "bytes/s",
    "customers of the last second",
    (1, 2, 5, 10),
    round(capacity_target.REQUESTS_PER_NODE_AND_S),
)
def count_usage_report_bytes(size):
    """Return the bytes of one second's reports, each customer with its own home."""
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
    """Return the bytes that an entry sends after one change of the live nodes."""
    lease_count = capacity_target.STREAMS_PER_NODE
    total = 0
    for number in range(size):
        lease_numbers = range(number, lease_count, size)
        leases = [
            [bytes(REQUEST_ID_BYTES), "engine-1234", "customer-1234"]
            for _ in lease_numbers
        ]
        frame = encode(HoldLeases(f"region-0/model-0/{number}", leases), 1)
        total += count_wire_bytes(len(frame))
    return total


@probe(
    "shards of one node, the most",
    "owner",
    "shards",
    "nodes of a region",
    (3, 9, 27, 55),
    capacity_target.NODES_PER_REGION,
)
def count_shards(size):
    """Return the number of shards of the node that owns the most in a region."""
    nodes = [Instance(f"node-{n}", "node", HOST, 1, "zone") for n in range(size)]
    shards_per_model = capacity_target.SHARDS_PER_MODEL
    owners = collections.Counter(
        rank_shard_owners(f"region-0/model-{model}/{number}", nodes)[0]
        for model in range(capacity_target.MODELS)
        for number in range(shards_per_model)
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
    """Return the bytes per second of an owner's grants."""
    grant = GiveLease(b"\x01" * REQUEST_ID_BYTES, "engine-1234", CHAT_BLOCKS)
    return size * count_wire_bytes(len(encode(grant, 1)))
