"""Measures the memory that the cache index takes for each remembered chat."""

import gc
import tracemalloc

from peridotcove.bench.workload import Shape, Workload
from peridotcove.cache_index import CacheIndex
from peridotcove.models import Engine
from peridotcove.prefix_hashes import sample_prefixes

CHATS = 20_000
CUSTOMERS = 100
ENGINES = 16
TURNS = 2
BLOCK_CHARS = 256
CACHE_TOKENS = 10_000_000


def measure_bytes_per_chat(chats=CHATS):
    """Return the bytes of memory for each chat that the index remembers.

    Tables that are made once for the process are left out; entries for prefixes that
    chats share count as memory, not as chats.

    Parameters
    ----------
    chats : int
        How many chats it is to remember.
    """
    names = [f"customer-{number}" for number in range(CUSTOMERS)]
    shape = Shape(
        1.0, 0, 1.0, dict.fromkeys(names, 1.0), dict.fromkeys(names, 8), ("m",)
    )
    workload = Workload(shape, 1)
    engines = [
        Engine(f"engine-{number}", "", "", "m", cache_tokens=CACHE_TOKENS)
        for number in range(ENGINES)
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
        _record(index, workload.open_chat(number, names[number % CUSTOMERS]), number)
    return index


def _record(index, chat, number):
    for _ in range(TURNS):
        chat.ask()
        prefixes = tuple(chat.prefixes)
        lookup = index.look_up(sample_prefixes(prefixes), len(prefixes))
        index.record(lookup, f"engine-{number % ENGINES}", number)
        chat.grow(chat.answer_blocks)
