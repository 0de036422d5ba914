"""A hash table of 64-bit numbers in flat arrays, 17 bytes a slot."""

from array import array

BUCKET_SLOTS = 8
BUCKET_SHIFT = 3
LEAST_BUCKETS = 64
SLOT_BYTES = 17
TAG_SHIFT = 40
TAG_MASK = 0xFF
FREE = 0
FULL_SHARE = 0.7


class CompactTable:
    """Maps 64-bit keys to 64-bit values above 0; forgets when it is full.

    Parameters
    ----------
    max_slots : int
        Most slots; rounded up to a power of 2.
    age : callable
        Takes a value; the entry with the highest result makes room in a full bucket.
    """

    def __init__(self, max_slots, age):
        self._age = age
        self._count = 0
        self._max_buckets = 0
        self.limit(max_slots)
        self._allot(min(LEAST_BUCKETS, self._max_buckets))

    def limit(self, max_slots):
        """Set the size beyond which the table does not grow.

        Parameters
        ----------
        max_slots : int
            Most slots; rounded up to a power of 2.
        """
        buckets = max(1, -(-max_slots // BUCKET_SLOTS))
        self._max_buckets = 1 << (buckets - 1).bit_length()

    def _allot(self, buckets):
        self._mask = buckets - 1
        self._keys = array("Q", bytes(8 * buckets * BUCKET_SLOTS))
        self._values = array("Q", bytes(8 * buckets * BUCKET_SLOTS))
        self._tags = bytearray(buckets * BUCKET_SLOTS)

    def __len__(self):
        return self._count

    @property
    def slots(self):
        """Slots allotted, free ones included."""
        return len(self._keys)

    def values(self):
        """Yield the values in use."""
        return (value for value in self._values if value)

    def get(self, key):
        """Return the value of a key, or 0.

        Parameters
        ----------
        key : int
            64-bit key.
        """
        place = self._find(key)
        return self._values[place] if place >= 0 else 0

    def _find(self, key):
        # A byte of the key, never FREE, is looked up first: most misses end there.
        start = (key & self._mask) << BUCKET_SHIFT
        end = start + BUCKET_SLOTS
        tag = (key >> TAG_SHIFT) & TAG_MASK or 1
        find = self._tags.find
        place = find(tag, start, end)
        while place >= 0 and self._keys[place] != key:
            place = find(tag, place + 1, end)
        return place

    def put(self, key, value):
        """Set the value of a key.

        Parameters
        ----------
        key : int
            64-bit key; 0 is not kept.
        value : int
            64-bit value above 0.
        """
        if not key:
            return
        place = self._find(key)
        if place >= 0:
            self._values[place] = value
            return
        start = (key & self._mask) << BUCKET_SHIFT
        place = self._tags.find(FREE, start, start + BUCKET_SLOTS)
        if place >= 0:
            self._count += 1
        elif self._should_grow():
            self._grow()
            self.put(key, value)
            return
        else:
            place = self._oldest(start)
        self._tags[place] = (key >> TAG_SHIFT) & TAG_MASK or 1
        self._keys[place] = key
        self._values[place] = value

    def remove(self, key):
        """Forget a key.

        Parameters
        ----------
        key : int
            64-bit key; an unknown one is ignored.
        """
        place = self._find(key)
        if place >= 0:
            self._tags[place] = FREE
            self._keys[place] = 0
            self._values[place] = 0
            self._count -= 1

    def _should_grow(self):
        if self._mask + 1 >= self._max_buckets:
            return False
        return self._count >= FULL_SHARE * self.slots

    def _grow(self):
        keys, values = self._keys, self._values
        self._allot(2 * (self._mask + 1))
        self._count = 0
        for key, value in zip(keys, values, strict=True):
            if key:
                self.put(key, value)

    def _oldest(self, start):
        places = range(start, start + BUCKET_SLOTS)
        return max(places, key=lambda place: self._age(self._values[place]))
