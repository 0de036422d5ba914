"""Table of the leases granted in one shard."""

from collections import Counter

from attrs import frozen


@frozen
class Lease:
    """A granted lease.

    Attributes
    ----------
    request_id : bytes
        Id of the request.
    entry, customer, engine : str
        Entry node that holds it, customer of the request and engine that runs it.
    since_ms : int
        Monotonic time in ms at which it was granted or first reported.
    cached_blocks : int
        Prefix blocks expected in the engine's cache.
    estimate : FirstEventEstimate or None
        Expected time to the first event; None if this owner did not make one.
    """

    request_id: bytes
    entry: str
    customer: str
    engine: str
    since_ms: int
    cached_blocks: int = 0
    estimate: object = None


class LeaseTable:
    """Leases by request and by entry node."""

    def __init__(self):
        self._lease_by_id = {}
        self._ids_by_entry = {}

    def __len__(self):
        return len(self._lease_by_id)

    def get(self, request_id):
        """Return the lease of a request, or None.

        Parameters
        ----------
        request_id : bytes
            Id of the request.
        """
        return self._lease_by_id.get(request_id)

    def add(self, lease):
        """Add a lease.

        Parameters
        ----------
        lease : Lease
            Lease of a request that has none in the table.
        """
        self._lease_by_id[lease.request_id] = lease
        self._ids_by_entry.setdefault(lease.entry, set()).add(lease.request_id)

    def remove(self, lease):
        """Remove a lease.

        Parameters
        ----------
        lease : Lease
            A lease in the table.
        """
        del self._lease_by_id[lease.request_id]
        ids = self._ids_by_entry[lease.entry]
        ids.discard(lease.request_id)
        if not ids:
            del self._ids_by_entry[lease.entry]

    def leases_of_entry(self, entry):
        """Return the leases that an entry node holds, sorted by id.

        Parameters
        ----------
        entry : str
            Name of the node.
        """
        ids = sorted(self._ids_by_entry.get(entry, ()))
        return [self._lease_by_id[request_id] for request_id in ids]

    def count_by_engine(self):
        """Return the number of leases by engine."""
        return Counter(lease.engine for lease in self._lease_by_id.values())
