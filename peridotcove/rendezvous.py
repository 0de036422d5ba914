"""Weighted rendezvous hashing: a stateless ranking of names for a key.

The score of a name depends only on the key, the name and its weight. A name that is
added or removed therefore moves only the keys that it wins or loses.
"""

import math

import xxhash

MANTISSA_BITS = 52
HASH_BITS = 64
KEY_BYTES = 8
SCALE = 1.0 / (1 << MANTISSA_BITS)


def hash_name(name):
    """Return the 64-bit hash of a name.

    Parameters
    ----------
    name : str
        Any text.
    """
    return xxhash.xxh3_64_intdigest(name.encode())


def score(key, seed, weight=1.0):
    """Return the score of one name for a key; the highest wins.

    Parameters
    ----------
    key : int
        64-bit key.
    seed : int
        Hash of the name, from `hash_name`.
    weight : float
        Share of keys relative to other names; above 0.
    """
    digest = xxhash.xxh3_64_intdigest(key.to_bytes(KEY_BYTES, "little"), seed)
    unit = ((digest >> (HASH_BITS - MANTISSA_BITS)) + 0.5) * SCALE
    return -weight / math.log(unit)


class RendezvousRanking:
    """Ranks a fixed set of names for many keys.

    Parameters
    ----------
    weight_by_name : dict
        Weight of each name.

    Attributes
    ----------
    names : list of str
        The names, sorted.
    """

    def __init__(self, weight_by_name):
        self.names = sorted(weight_by_name)
        self._seeds = [hash_name(name) for name in self.names]
        self._weights = [weight_by_name[name] for name in self.names]
        self._has_equal_weights = len(set(self._weights)) <= 1

    def scores(self, key):
        """Return the score of each name, in the order of `names`.

        Parameters
        ----------
        key : int
            64-bit key.
        """
        raw = key.to_bytes(KEY_BYTES, "little")
        digest = xxhash.xxh3_64_intdigest
        shift = HASH_BITS - MANTISSA_BITS
        log = math.log
        return [
            -weight / log(((digest(raw, seed) >> shift) + 0.5) * SCALE)
            for seed, weight in zip(self._seeds, self._weights, strict=True)
        ]

    def _digests(self, key):
        # With equal weights the scores have the same order as the digests they use.
        raw = key.to_bytes(KEY_BYTES, "little")
        digest = xxhash.xxh3_64_intdigest
        shift = HASH_BITS - MANTISSA_BITS
        return [digest(raw, seed) >> shift for seed in self._seeds]

    def best(self, key, allowed=None):
        """Return the allowed name with the highest score, or None.

        Parameters
        ----------
        key : int
            64-bit key.
        allowed : container of str or None
            Names that may be returned; all names when None.
        """
        scores = self._digests(key) if self._has_equal_weights else self.scores(key)
        if allowed is None and scores:
            return self.names[scores.index(max(scores))]
        best = None
        highest = -1.0
        for name, value in zip(self.names, scores, strict=True):
            if value > highest and name in allowed:
                best = name
                highest = value
        return best

    def order(self, key):
        """Return all names, highest score first.

        Parameters
        ----------
        key : int
            64-bit key.
        """
        scores = self.scores(key)
        indices = sorted(range(len(scores)), key=scores.__getitem__, reverse=True)
        return [self.names[position] for position in indices]


def rank(key, weight_by_name):
    """Return all names ranked for a key, highest score first.

    Parameters
    ----------
    key : int or str
        64-bit key, or a text to be hashed.
    weight_by_name : dict
        Weight of each name.
    """
    number = hash_name(key) if isinstance(key, str) else key
    return RendezvousRanking(weight_by_name).order(number)
