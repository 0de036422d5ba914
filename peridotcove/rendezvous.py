"""Weighted rendezvous hashing: a rank of names for a key, without state.

A name's score depends on the key, the name and its weight alone, so that a name that
joins or leaves moves only the keys that it wins or held.
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
        self._equal = len(set(self._weights)) <= 1

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
        # With equal weights scores stand in the order of the digests that they use.
        raw = key.to_bytes(KEY_BYTES, "little")
        digest = xxhash.xxh3_64_intdigest
        shift = HASH_BITS - MANTISSA_BITS
        return [digest(raw, seed) >> shift for seed in self._seeds]

    def best(self, key, allowed=None):
        """Return the first allowed name of the rank, or None.

        Parameters
        ----------
        key : int
            64-bit key.
        allowed : container of str or None
            Names that may be returned; all when None.
        """
        scores = self._digests(key) if self._equal else self.scores(key)
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
        """Return the names, highest score first.

        Parameters
        ----------
        key : int
            64-bit key.
        """
        scores = self.scores(key)
        places = sorted(range(len(scores)), key=scores.__getitem__, reverse=True)
        return [self.names[place] for place in places]


def rank(key, weight_by_name):
    """Return names ranked for a key, highest score first.

    Parameters
    ----------
    key : int or str
        64-bit key, or a text that is hashed.
    weight_by_name : dict
        Weight of each name.
    """
    number = hash_name(key) if isinstance(key, str) else key
    return RendezvousRanking(weight_by_name).order(number)
