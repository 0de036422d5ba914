"""Measures the memory of the cache index per remembered chat."""

import gc
import tracemalloc

from peridotcove.bench.workload import Workload, WorkloadParameters
from peridotcove.cache_index import CacheIndex
from peridotcove.models import Engine
from peridotcove.prefix_hashes import sample_prefixes

CHAT_COUNT = 20_000
CUSTOMER_COUNT = 100
ENGINE_COUNT = 16
TURNS_PER_CHAT = 2
BLOCK_CHARS = 256
CACHE_TOKENS = 10_000_000


def measure_bytes_per_chat(chats=CHAT_COUNT):
    """Return the bytes of memory per chat in the cache index.

    Tables that the process creates once are excluded. Entries for prefixes that
    chats share count as memory, not as chats.

    Parameters
    ----------
    chats : int
        Number of chats to record.
    """
    names = [f"customer-{number}" for number in range(CUSTOMER_COUNT)]
    parameters = WorkloadParameters(
        1.0, 0, 1.0, dict.fromkeys(names, 1.0), dict.fromkeys(names, 8), ("m",)
    )
    workload = Workload(parameters, 1)
    engines = [
        Engine(f"engine-{number}", "", "", "m", cache_tokens=CACHE_TOKENS)
        for number in range(ENGINE_COUNT)
    ]
    _fill(workload, names, engines, chats)
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    index = _fill(workload, names, engines, chats)
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (after - before) / len(index)


def _fill(workload, names, engines, chats):
    index = CacheIndex(BLOCK_CHARS)
    index.set_engines(engines)
    for number in range(chats):
        _record(
            index, workload.make_chat(number, names[number % CUSTOMER_COUNT]), number
        )
    return index


def _record(index, chat, number):
    for _ in range(TURNS_PER_CHAT):
        chat.add_question()
        prefixes = tuple(chat.prefixes)
        lookup = index.look_up(sample_prefixes(prefixes), len(prefixes))
        index.record(lookup, f"engine-{number % ENGINE_COUNT}", number)
        chat.add_blocks(chat.answer_blocks)
