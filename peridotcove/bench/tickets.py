"""Measures time and memory of tickets: ``python -m peridotcove.bench.tickets``."""

import time
import tracemalloc

from peridotcove.clock import FakeClock
from peridotcove.ledger import MAX_ENTRIES, Answer
from peridotcove.nodes.messages import encode
from peridotcove.ticket_authority import TicketAuthority
from peridotcove.verdict import Verdict

US_PER_S = 1e6
TICKETS_PER_HOUR = 3_600
DIGEST_BYTES = 16
ANSWER = Answer(Verdict.RAN, 200, (("Content-Type", "application/json"),), b"x" * 300)


def run(count):
    """Print the time to mint, begin, finish and hand over tickets.

    Parameters
    ----------
    count : int
        Number of tickets.
    """
    tickets = TicketAuthority("node-1", 1_700_000_000_000, b"s" * 32, FakeClock())
    texts = _time("mint", count, lambda _: tickets.mint("bakery"))
    digests = [bytes(DIGEST_BYTES - 4) + i.to_bytes(4, "big") for i in range(count)]
    _time("begin", count, lambda i: tickets.begin(texts[i], "bakery", digests[i]))
    _time("finish", count, lambda i: tickets.finish(texts[i], ANSWER))
    started = time.perf_counter()
    (message,) = tickets.hand_over("node-2", 1)
    size = len(encode(message, 1))
    ms = (time.perf_counter() - started) * 1000
    print(f"{count} tickets of {len(texts[0])} characters")
    print(f"hand over {ms:.0f} ms, {size} bytes")


def measure_memory(count):
    """Print the memory per used ticket without an answer.

    Parameters
    ----------
    count : int
        Number of tickets.
    """
    tickets = TicketAuthority("node-1", 1_700_000_000_000, b"s" * 32, FakeClock())
    texts = [tickets.mint("bakery") for _ in range(count)]
    tracemalloc.start()
    for number, text in enumerate(texts):
        tickets.begin(text, "bakery", number.to_bytes(DIGEST_BYTES, "big"))
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(f"{size / count:.0f} bytes per used ticket")


def _time(name, count, work):
    started = time.perf_counter()
    results = [work(number) for number in range(count)]
    us = (time.perf_counter() - started) / count * US_PER_S
    print(f"{name} {us:.1f} us")
    return results


if __name__ == "__main__":
    for tickets_used in (TICKETS_PER_HOUR, MAX_ENTRIES):
        run(tickets_used)
    measure_memory(MAX_ENTRIES)
