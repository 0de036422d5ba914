"""Schedules a node's reads of the configuration service."""

import math

from attrs import frozen

from peridotcove.configuration_parts import digest

WATCH_MS = 3_000
# Silence of all reading nodes of the zone after which any other node reads too.
READER_SILENCE_MS = 1_600
MIN_CALL_GAP_MS = 100
MAX_CALL_GAP_MS = 300
MIN_PART_CALL_GAP_MS = 20
MAX_PART_CALL_GAP_MS = 30
FIRST_BACKOFF_MS = 250
# First backoff of a node without a configuration, which refuses every request until it
# has one. A fleet that starts all at once may exceed the request rate of the service.
EMPTY_BACKOFF_MS = 100
MAX_BACKOFF_MS = 2_000
MAX_MISMATCHES = 3
# Nodes of a zone that read although they have little power, so that one may be lost.
MIN_READERS = 2
IDLE_MS = 250
FALLBACK_DELAY_MS = 15_000
FALLBACK_SPREAD_MS = 15_000


@frozen
class ReadManifest:
    """A call that reads the manifest.

    Attributes
    ----------
    after : int
        Only a later revision than this is returned.
    wait_ms : int
        Maximum time in ms to wait for a later revision; 0 to return at once.
    refused : int
        A later revision that is refused for good, so that it is not returned either; 0
        for none.
    """

    after: int
    wait_ms: int
    refused: int = 0


@frozen
class ReadPart:
    """A call that reads one part.

    Attributes
    ----------
    name : str
        Name of the part.
    """

    name: str


@frozen
class ReadPolicy:
    """How many nodes of a zone read the service, and how long their calls wait.

    Attributes
    ----------
    readers : int
        Number of nodes per zone that read; fewer if a zone has fewer with enough power,
        but not below `MIN_READERS`.
    watch_ms : int
        Maximum time in ms that a call waits for a change; a change stays unnoticed for
        this long if the connection fails silently.
    start_ms : int
        Maximum random delay in ms of the first call, which spreads the calls of a
        fleet that starts all at once.
    """

    readers: int = 1
    watch_ms: int = WATCH_MS
    start_ms: int = MAX_CALL_GAP_MS


class ConfigurationReader:
    """Decides on the calls of one node to the configuration service, one at a time.

    Parameters
    ----------
    node : str
        Name of the node.
    clock : Clock
        Time in ms.
    rng : random.Random
        Spreads calls over time.
    revisions : Revisions
        Applies the revisions that were read.
    reader_rank : callable
        Returns the live nodes of the zone, ordered by their rank as readers.
    peer_reads_fail : callable
        Returns whether another node, given by name, reports that its reads fail.
    settled : callable
        Returns whether the live nodes of the zone are known.
    silence_ms : callable
        Returns the time in ms since another node, given by name, was last heard.
    read_policy : ReadPolicy or None
        Number of reading nodes and the wait of their calls.
    capable_count : callable
        Returns how many nodes, first in rank, have enough power to read. Large changes
        fill the links of the others, to the harm of their callers.

    Attributes
    ----------
    reads_fail : bool
        Whether the last call failed.
    """

    def __init__(
        self,
        node,
        clock,
        rng,
        revisions,
        reader_rank,
        peer_reads_fail,
        settled,
        silence_ms=lambda name: 0,
        read_policy=None,
        capable_count=lambda: math.inf,
    ):
        self.node = node
        self.clock = clock
        self.revisions = revisions
        self.reads_fail = False
        self._rng = rng
        self._reader_rank = reader_rank
        self._peer_reads_fail = peer_reads_fail
        self._settled = settled
        self._silence_ms = silence_ms
        self._read_policy = read_policy or ReadPolicy()
        self._capable_count = capable_count
        self._failures = 0
        self._mismatches = 0
        self._called_once = False
        self._due_ms = clock.now() + rng.randint(0, self._read_policy.start_ms)
        wait_ms = FALLBACK_DELAY_MS + rng.randint(0, FALLBACK_SPREAD_MS)
        self._fallback_ms = clock.now() + wait_ms
        self._manifest = None
        self._data_by_name = {}

    def reads_for_zone(self):
        """Return whether this node reads for its zone.

        The nodes first in rank read. For each node that reports failing reads the next
        one in rank reads too, and every node reads while all of the first are silent. A
        node also reads if its peers have not sent it the revision that the service had
        at its start.
        """
        if self.revisions.expects_later() and self.clock.now() >= self._fallback_ms:
            return True
        if not self._settled():
            return False
        ranked = self._reader_rank()
        count = min(self._read_policy.readers, max(MIN_READERS, self._capable_count()))
        first = ranked[:count]
        if self.node in first:
            return True
        if all(self._silence_ms(name) > READER_SILENCE_MS for name in first):
            return True
        if self.node not in ranked:
            return False
        before = ranked[: ranked.index(self.node)]
        return sum(not self._peer_reads_fail(name) for name in before) < count

    def next_call(self):
        """Return the call that is due now, or None."""
        if self.clock.now() < self._due_ms:
            return None
        if self._manifest is not None:
            for name in self.revisions.missing_parts(self._manifest):
                if name not in self._data_by_name:
                    return ReadPart(name)
        if not self._called_once or self._needs_first_configuration():
            return ReadManifest(0, 0)
        if not self.reads_for_zone():
            self.reads_fail = False
            self._manifest = None
            return None
        # After a failure a call does not wait for a change, so that it can't hang.
        wait_ms = 0 if self._failures else self._read_policy.watch_ms
        revisions = self.revisions
        refused = 0 if revisions.unreadable else revisions.refused_revision
        return ReadManifest(revisions.revision, wait_ms, refused)

    def _needs_first_configuration(self):
        # Calls have failed so far; a node that does not read for its zone needs a first
        # configuration too.
        return self._failures and not self.revisions.revision

    def pause_ms(self):
        """Return the time in ms after which `next_call` should be called again."""
        left_ms = self._due_ms - self.clock.now()
        return left_ms if left_ms > 0 else IDLE_MS

    def handle_manifest(self, manifest):
        """Handle the answer to `ReadManifest` and return the messages for other nodes.

        Parameters
        ----------
        manifest : Manifest or None
            The manifest; None if there is no later revision.
        """
        first = not self._called_once or self._needs_first_configuration()
        self._record_success()
        if manifest is None or not self.revisions.wants(manifest.revision):
            return []
        if first:
            self.revisions.set_expected(manifest.revision)
        # At the start a manifest with its parts is applied at once, even if this node
        # does not read for its zone.
        if not self.reads_for_zone() and not (first and manifest.data_by_name):
            return []
        self._manifest = manifest
        self._data_by_name = dict(manifest.data_by_name)
        return self._finish_revision()

    def handle_part(self, name, data):
        """Handle the answer to `ReadPart` and return the messages for other nodes.

        Parameters
        ----------
        name : str
            Name of the part.
        data : bytes or None
            Its content; None if the service has no such part.
        """
        self._record_success(MIN_PART_CALL_GAP_MS, MAX_PART_CALL_GAP_MS)
        if self._manifest is None:
            return []
        descriptor = self._manifest.descriptor_by_name[name]
        if self._mismatches < MAX_MISMATCHES and not _matches(descriptor, data):
            # The part has changed since the manifest was read: read the manifest again.
            self._mismatches += 1
            self._manifest = None
            self._due_ms = self.clock.now() + self._rng.randint(
                MIN_CALL_GAP_MS, MAX_CALL_GAP_MS
            )
            return []
        self._data_by_name[name] = data or b""
        return self._finish_revision()

    def handle_failure(self):
        """Record that a call failed and schedule a retry."""
        self._called_once = True
        self.reads_fail = True
        self.revisions.record_read_result(ok=False)
        self._back_off()

    def _back_off(self):
        self._failures += 1
        first = FIRST_BACKOFF_MS if self.revisions.revision else EMPTY_BACKOFF_MS
        limit = min(MAX_BACKOFF_MS, first << min(self._failures, 10))
        self._due_ms = self.clock.now() + self._rng.randint(limit // 2, limit)

    def _record_success(self, low=MIN_CALL_GAP_MS, high=MAX_CALL_GAP_MS):
        self._called_once = True
        if not self.revisions.unreadable:
            self._failures = 0
        self.reads_fail = False
        self.revisions.record_read_result()
        self._due_ms = self.clock.now() + self._rng.randint(low, high)

    def _finish_revision(self):
        wanted = self.revisions.missing_parts(self._manifest)
        if any(name not in self._data_by_name for name in wanted):
            return []
        manifest, self._manifest = self._manifest, None
        data_by_name, self._data_by_name = self._data_by_name, {}
        self._mismatches = 0
        outgoing = self.revisions.apply_manifest(manifest, data_by_name)
        if manifest.revision > self.revisions.watch_after:
            self._back_off()
        return outgoing


def _matches(descriptor, data):
    return data is not None and digest(data) == descriptor.published_digest
