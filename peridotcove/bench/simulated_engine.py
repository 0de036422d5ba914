"""A simulated engine: an LRU prefix cache, and prefill and decode times."""

from collections import OrderedDict

TOKENS_PER_BLOCK = 64
PREFILL_MS_PER_BLOCK = 8
DECODE_MS_PER_TOKEN = 29
REQUEST_OVERHEAD_MS = 20


class SimulatedEngine:
    """A model server that runs every request that it receives.

    Parameters
    ----------
    spec : Engine
        The engine as configured.
    cache_blocks : int
        Size of its cache in blocks.

    Attributes
    ----------
    load : int
        Requests in progress.
    """

    def __init__(self, spec, cache_blocks):
        self.spec = spec
        self.load = 0
        self._cache_blocks = cache_blocks
        self._cache = OrderedDict()

    def count_cached_blocks(self, prefixes):
        """Return how many blocks of a chat are in the cache.

        Parameters
        ----------
        prefixes : list of int
            Hashes of the chat's prefixes, shortest first.
        """
        cache = self._cache
        low, high = 0, len(prefixes)
        while low < high:
            middle = (low + high + 1) // 2
            if prefixes[middle - 1] in cache:
                low = middle
            else:
                high = middle - 1
        return low

    def start(self, prefixes):
        """Start a request, and return the reused blocks and the time to first token.

        Parameters
        ----------
        prefixes : list of int
            Hashes of the chat's prefixes.
        """
        self.load += 1
        reused = self.count_cached_blocks(prefixes)
        self.store(prefixes)
        return reused, REQUEST_OVERHEAD_MS + PREFILL_MS_PER_BLOCK * (
            len(prefixes) - reused
        )

    def store(self, prefixes):
        """Put a chat's blocks into the cache; the deepest is evicted first.

        Parameters
        ----------
        prefixes : list of int
            Hashes of the chat's prefixes.
        """
        cache = self._cache
        for key in reversed(prefixes):
            cache[key] = None
            cache.move_to_end(key)
        while len(cache) > self._cache_blocks:
            cache.popitem(last=False)

    def finish(self, prefixes):
        """End a request, and put its answer into the cache.

        Parameters
        ----------
        prefixes : list of int
            Hashes of the chat's prefixes, the answer included.
        """
        self.load -= 1
        self.store(prefixes)


def compute_decode_ms(blocks):
    """Return the time in ms from the first token to the end of an answer.

    Parameters
    ----------
    blocks : int
        Length of the answer in blocks.
    """
    return blocks * TOKENS_PER_BLOCK * DECODE_MS_PER_TOKEN
