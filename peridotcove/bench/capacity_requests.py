"""Slopes of the cost of requests: leases, cache index, rate limits and tickets."""

import collections
import copy
import functools
import random

from peridotcove.bench import capacity_target
from peridotcove.bench.slopes import measure_allocated_bytes, measure_cpu_us, probe
from peridotcove.bench.synthetic_configuration import make_configuration_json
from peridotcove.cache_index import CacheIndex
from peridotcove.clock import Clock, FakeClock
from peridotcove.compact_table import SLOT_BYTES
from peridotcove.configuration import parse_configuration
from peridotcove.dispatch import Dispatcher
from peridotcove.models import Customer, LeaseRequest
from peridotcove.nodes.messages import AskLease, decode, encode, pack_hashes
from peridotcove.ownership import Shard
from peridotcove.prefix_hashes import select_depths
from peridotcove.rate_limits import EntryRateLimiter, HomeRateLimiter
from peridotcove.ticket_authority import TicketAuthority
from peridotcove.timeline import DEFAULT_CAPACITY, Timeline

HASH_BITS = 64
CHAT_BLOCKS = 48
SHARD = "region-0/model-0/0"
LEASES_PER_ENGINE = 15
SECRET = b"a secret of the bench"
CALL_DIGEST = b"\x00" * 16
CALLS_PER_ROUND = 2_000
CHATS = (1_000, 10_000, 100_000, 1_000_000)
CUSTOMERS = (10, 100, 1_000, 11_000)


def make_prefixes(rng, blocks):
    """Return random prefix hashes of a chat, as a lease request carries them.

    Parameters
    ----------
    rng : random.Random
        Source of the hashes.
    blocks : int
        Whole blocks of the chat.
    """
    return tuple(rng.getrandbits(HASH_BITS) for _ in select_depths(blocks))


def make_ask_lease(rng, blocks):
    """Return the message that requests a lease.

    Parameters
    ----------
    rng : random.Random
        Source of ids and hashes.
    blocks : int
        Whole blocks of the chat.
    """
    return AskLease(
        request_id=rng.randbytes(8),
        shard=SHARD,
        customer="customer-1234",
        model="",
        prefixes=pack_hashes(make_prefixes(rng, blocks)),
        blocks=blocks,
        hint="engine-1234",
        deadline_ms=10_000,
        chat_key=rng.getrandbits(HASH_BITS),
    )


@probe(
    "ask for a lease: frame", "entry and owner", "bytes", "blocks", (4, 16, 48, 96), 48
)
def count_ask_lease_bytes(size):
    """Return the bytes of the frame that requests a lease."""
    return len(encode(make_ask_lease(random.Random(1), size), 1))


@probe(
    "ask for a lease: encode and decode",
    "entry and owner",
    "us",
    "blocks",
    (4, 16, 48, 96),
    48,
)
def time_ask_lease_codec(size):
    """Return the time in microseconds to encode and decode one lease request."""
    message = make_ask_lease(random.Random(1), size)
    return measure_cpu_us(lambda _: decode(encode(message, 1)), CALLS_PER_ROUND)


def _make_dispatcher(engines, clock):
    raw = make_configuration_json(10, engines, zones=1, models=1)
    configuration = parse_configuration(raw)
    names = tuple(sorted(configuration.engine_by_name))
    shard = Shard("region-0/model-0/0", "model-0", "region-0", names)
    return Dispatcher(shard, configuration, clock)


def _make_request(rng, number):
    return LeaseRequest(
        number.to_bytes(8, "big"),
        "node-1",
        f"customer-{number % 10}",
        "model-0",
        make_prefixes(rng, CHAT_BLOCKS),
    )


@probe(
    "lease: ask, grant and release",
    "owner",
    "us",
    "engines of a shard",
    (6, 9, 12, 27, 64, 267),
    capacity_target.ENGINES_PER_SHARD,
)
def time_lease(size):
    """Return the time in microseconds of a lease, with 15 requests on each engine."""
    rng = random.Random(1)
    dispatcher = _make_dispatcher(size, Clock())
    lease_count = size * LEASES_PER_ENGINE
    requests = [
        _make_request(rng, number)
        for number in range(lease_count + 3 * CALLS_PER_ROUND)
    ]
    held_ids = collections.deque()

    def run_turn(number):
        for grant in dispatcher.request_lease(requests[number]):
            held_ids.append(grant.request_id)
        if len(held_ids) > lease_count:
            dispatcher.release(held_ids.popleft(), "done", CHAT_BLOCKS // 2)

    for number in range(lease_count):
        run_turn(number)
    return measure_cpu_us(
        lambda number: run_turn(lease_count + number), CALLS_PER_ROUND
    )


@probe(
    "leases in progress: memory",
    "owner",
    "bytes",
    "leases",
    (100, 400, 1_600),
    capacity_target.ENGINES_PER_SHARD * LEASES_PER_ENGINE,
)
def measure_lease_memory(size):
    """Return the bytes of leases in progress, without the cache index."""
    engines = -(-size // LEASES_PER_ENGINE)
    dispatcher = _make_dispatcher(engines, FakeClock())
    names = dispatcher.shard.engines
    leases = [
        (number.to_bytes(8, "big"), names[number % engines], f"customer-{number % 10}")
        for number in range(size)
    ]
    return measure_allocated_bytes(lambda: dispatcher.set_held_leases("node-1", leases))


@functools.lru_cache(maxsize=len(CHATS))
def _fill_index(size, cache_tokens=1 << 30):
    rng = random.Random(1)
    index = CacheIndex(256)
    raw = make_configuration_json(
        0, capacity_target.ENGINES_PER_SHARD, zones=1, models=1
    )
    for engine in raw["engines"].values():
        engine["cache_tokens"] = cache_tokens
    engines = list(parse_configuration(raw).engine_by_name.values())
    index.set_engines(engines)
    for number in range(size):
        lookup = index.look_up(make_prefixes(rng, CHAT_BLOCKS), CHAT_BLOCKS)
        index.record(lookup, engines[number % len(engines)].name, number)
    return index


@probe(
    "cache index: memory",
    "owner",
    "bytes",
    "chats",
    CHATS,
    capacity_target.CHATS_PER_SHARD,
)
def measure_index_memory(size):
    """Return the bytes of the slots allocated for a shard after some chats."""
    return _fill_index(size).slots * SLOT_BYTES


@probe(
    "cache index: memory, engines with the default cache",
    "owner",
    "bytes",
    "chats",
    CHATS[:3],
    capacity_target.CHATS_PER_SHARD,
)
def measure_default_index_memory(size):
    """Return the bytes of the allocated slots when the caches hold fewer chats."""
    return _fill_index(size, 1_000_000).slots * SLOT_BYTES


@probe(
    "cache index: look and record",
    "owner",
    "us",
    "chats",
    CHATS,
    capacity_target.CHATS_PER_SHARD,
)
def time_index(size):
    """Return the time in microseconds of one turn of a chat."""
    rng = random.Random(2)
    index = copy.deepcopy(_fill_index(size))
    chats = [make_prefixes(rng, CHAT_BLOCKS) for _ in range(3 * CALLS_PER_ROUND)]

    def run_turn(number):
        lookup = index.look_up(chats[number], CHAT_BLOCKS)
        index.record(lookup, "engine-1", size + number)

    return measure_cpu_us(run_turn, CALLS_PER_ROUND)


@probe(
    "limits at the entry: memory",
    "entry",
    "bytes",
    "customers of the last 10 s",
    CUSTOMERS,
    52,
)
def measure_entry_limiter_memory(size):
    """Return the bytes of the token buckets of recent customers."""
    customers = [Customer(f"customer-{number}") for number in range(size)]

    def fill():
        limiter = EntryRateLimiter(FakeClock())
        for customer in customers:
            limiter.admit(customer)
        return limiter

    return measure_allocated_bytes(fill)


@probe("limits at the entry: admit", "entry", "us", "customers", CUSTOMERS, 52)
def time_admit(size):
    """Return the time in microseconds to admit one request."""
    customers = [Customer(f"c-{n}", requests_per_second=1e6) for n in range(size)]
    limiter = EntryRateLimiter(Clock())
    return measure_cpu_us(
        lambda number: limiter.admit(customers[number % size]), CALLS_PER_ROUND
    )


@probe(
    "limits at the home: memory",
    "home of customers",
    "bytes",
    "customers with 5 entries each",
    CUSTOMERS,
    capacity_target.CUSTOMERS // capacity_target.NODES_PER_REGION,
)
def measure_home_limiter_memory(size):
    """Return the bytes of the demand that entry nodes reported."""
    customers = [Customer(f"customer-{number}") for number in range(size)]

    def fill():
        limiter = HomeRateLimiter(FakeClock())
        for customer in customers:
            for entry in range(5):
                limiter.record_report(f"node-{entry}", customer, 3)
        return limiter

    return measure_allocated_bytes(fill)


@probe(
    "limits at the home: a report",
    "home of customers",
    "us",
    "entries of a customer",
    (3, 9, 27, 55),
    capacity_target.NODES_PER_REGION,
)
def time_report(size):
    """Return the time in microseconds of one report of a customer over its rate."""
    limiter = HomeRateLimiter(FakeClock())
    customer = Customer("customer-1", requests_per_second=1.0)

    def report(number):
        limiter.record_report(f"node-{number % size}", customer, 3)

    return measure_cpu_us(report, CALLS_PER_ROUND)


def _make_used_tickets(size):
    tickets = TicketAuthority("node-1", 1, SECRET, FakeClock(), b"salt")
    for _ in range(size):
        tickets.begin(tickets.mint("customer-1"), "customer-1", CALL_DIGEST)
    return tickets


@probe("tickets: memory", "minter", "bytes", "tickets used", CUSTOMERS, 3_600)
def measure_ticket_memory(size):
    """Return the bytes of used tickets."""
    return measure_allocated_bytes(lambda: _make_used_tickets(size))


@probe("tickets: mint and begin", "minter", "us", "tickets used", CUSTOMERS, 3_600)
def time_ticket(size):
    """Return the time in microseconds of one ticket."""
    tickets = _make_used_tickets(size)

    def run_turn(_):
        ticket = tickets.mint("customer-1")
        tickets.begin(ticket, "customer-1", CALL_DIGEST)

    return measure_cpu_us(run_turn, CALLS_PER_ROUND)


EVENTS = (100, 1_000, 10_000, 100_000)


def _fill_ring(size):
    ring = Timeline(FakeClock(), "node-1", size)
    for number in range(size):
        request_id = number.to_bytes(8, "big")
        ring.record("lease-asked", request_id=request_id, peer="node-2")
    return ring


@probe("time line: memory", "every node", "bytes", "events", EVENTS, DEFAULT_CAPACITY)
def measure_timeline_memory(size):
    """Return the bytes of a full ring buffer of events."""
    return measure_allocated_bytes(lambda: _fill_ring(size))


@probe("time line: record", "every node", "us", "events", EVENTS, DEFAULT_CAPACITY)
def time_record(size):
    """Return the time in microseconds to record an event."""
    ring = _fill_ring(size)
    request_id = b"\x01" * 8
    return measure_cpu_us(
        lambda _: ring.record("first-byte", request_id=request_id, peer="engine-1"),
        CALLS_PER_ROUND,
    )
