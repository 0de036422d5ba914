"""Hash table of 64-bit integers in flat arrays, 17 bytes per slot."""

from array import array

BUCKET_SLOTS = 8
BUCKET_SHIFT = 3
MIN_BUCKETS = 64
SLOT_BYTES = 17
TAG_SHIFT = 40
TAG_MASK = 0xFF
FREE_TAG = 0
MAX_FILL_SHARE = 0.7


class CompactTable:
    """Maps 64-bit keys to 64-bit values above 0; evicts entries when it is full.

    Parameters
    ----------
    max_slots : int
        Maximum number of slots; rounded up to a power of 2.
    age : callable
        Called with a value; in a full bucket the entry with the highest result is
        evicted.
    """

    def __init__(self, max_slots, age):
        self._age = age
        self._count = 0
        self._max_buckets = 0
        self.set_max_slots(max_slots)
        self._allocate(min(MIN_BUCKETS, self._max_buckets))

    def set_max_slots(self, max_slots):
        """Set the number of slots beyond which the table does not grow.

        Parameters
        ----------
        max_slots : int
            Maximum number of slots; rounded up to a power of 2.
        """
        buckets = max(1, -(-max_slots // BUCKET_SLOTS))
        self._max_buckets = 1 << (buckets - 1).bit_length()

    def _allocate(self, buckets):
        self._mask = buckets - 1
        self._keys = array("Q", bytes(8 * buckets * BUCKET_SLOTS))
        self._values = array("Q", bytes(8 * buckets * BUCKET_SLOTS))
        self._tags = bytearray(buckets * BUCKET_SLOTS)

    def __len__(self):
        return self._count

    @property
    def slots(self):
        """Number of allocated slots, including free ones."""
        return len(self._keys)

    def values(self):
        """Return an iterator over the stored values."""
        return (value for value in self._values if value)

    def get(self, key):
        """Return the value of a key, or 0.

        Parameters
        ----------
        key : int
            64-bit key.
        """
        slot = self._find(key)
        return self._values[slot] if slot >= 0 else 0

    def _find(self, key):
        # One byte of the key, never `FREE_TAG`, is compared first; it rules out most
        # absent keys.
        start = (key & self._mask) << BUCKET_SHIFT
        end = start + BUCKET_SLOTS
        tag = (key >> TAG_SHIFT) & TAG_MASK or 1
        find = self._tags.find
        slot = find(tag, start, end)
        while slot >= 0 and self._keys[slot] != key:
            slot = find(tag, slot + 1, end)
        return slot

    def put(self, key, value):
        """Set the value of a key.

        Parameters
        ----------
        key : int
            64-bit key; 0 is not stored.
        value : int
            64-bit value above 0.
        """
        if not key:
            return
        slot = self._find(key)
        if slot >= 0:
            self._values[slot] = value
            return
        start = (key & self._mask) << BUCKET_SHIFT
        slot = self._tags.find(FREE_TAG, start, start + BUCKET_SLOTS)
        if slot >= 0:
            self._count += 1
        elif self._should_grow():
            self._grow()
            self.put(key, value)
            return
        else:
            slot = self._oldest_slot(start)
        self._tags[slot] = (key >> TAG_SHIFT) & TAG_MASK or 1
        self._keys[slot] = key
        self._values[slot] = value

    def remove(self, key):
        """Remove a key.

        Parameters
        ----------
        key : int
            64-bit key; an unknown key is ignored.
        """
        slot = self._find(key)
        if slot >= 0:
            self._tags[slot] = FREE_TAG
            self._keys[slot] = 0
            self._values[slot] = 0
            self._count -= 1

    def _should_grow(self):
        if self._mask + 1 >= self._max_buckets:
            return False
        return self._count >= MAX_FILL_SHARE * self.slots

    def _grow(self):
        keys, values = self._keys, self._values
        self._allocate(2 * (self._mask + 1))
        self._count = 0
        for key, value in zip(keys, values, strict=True):
            if key:
                self.put(key, value)

    def _oldest_slot(self, start):
        candidates = range(start, start + BUCKET_SLOTS)
        return max(candidates, key=lambda slot: self._age(self._values[slot]))
