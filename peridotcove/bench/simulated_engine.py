"""A fake engine: a least recently used prefix cache and times of service."""

from collections import OrderedDict

TOKENS_PER_BLOCK = 64
PREFILL_MS_PER_BLOCK = 8
DECODE_MS_PER_TOKEN = 29
START_MS = 20


class FakeEngine:
    """A model server that runs what it is sent.

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

    def cached(self, prefixes):
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
        """Start a request and return the blocks reused and the time to first token.

        Parameters
        ----------
        prefixes : list of int
            Hashes of the chat's prefixes.
        """
        self.load += 1
        reused = self.cached(prefixes)
        self.store(prefixes)
        return reused, START_MS + PREFILL_MS_PER_BLOCK * (len(prefixes) - reused)

    def store(self, prefixes):
        """Put a chat's blocks into the cache, the deepest as the first to go.

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
        """End a request, whose answer is in the cache now.

        Parameters
        ----------
        prefixes : list of int
            Hashes of the chat's prefixes, the answer included.
        """
        self.load -= 1
        self.store(prefixes)


def decode_ms(blocks):
    """Return the time in ms that an answer takes after its first token.

    Parameters
    ----------
    blocks : int
        Length of the answer in blocks.
    """
    return blocks * TOKENS_PER_BLOCK * DECODE_MS_PER_TOKEN
