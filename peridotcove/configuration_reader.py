"""Decides when a node reads the configuration service, and what."""

from attrs import frozen

from peridotcove.configuration_parts import digest

WATCH_MS = 3_000
# Time in ms without a word from any node that reads, after which a node reads itself.
UNHEARD_MS = 1_600
MIN_GAP_MS = 100
MAX_GAP_MS = 300
MIN_PART_GAP_MS = 20
MAX_PART_GAP_MS = 30
FIRST_BACKOFF_MS = 250
# The same for a node that holds no configuration, and so refuses every request: a fleet
# that starts as a whole may be above the rate that the service takes from all together.
EMPTY_BACKOFF_MS = 100
MAX_BACKOFF_MS = 2_000
MAX_MISMATCHES = 3
IDLE_MS = 250
FALLBACK_MS = 15_000
FALLBACK_SPREAD_MS = 15_000


@frozen
class ReadManifest:
    """Read the manifest.

    Attributes
    ----------
    after : int
        Answer only with a later revision than this.
    wait_ms : int
        Longest wait in ms for one; 0 to answer at once.
    """

    after: int
    wait_ms: int


@frozen
class ReadPart:
    """Read one part.

    Attributes
    ----------
    name : str
        Name of the part.
    """

    name: str


@frozen
class ReadPolicy:
    """How many nodes of a zone read at a time, and how long their calls wait.

    Attributes
    ----------
    readers : int
        Nodes of each zone that read.
    watch_ms : int
        Longest wait in ms of a call for a change; a connection that has gone silent
        hides a change for as long.
    start_ms : int
        Longest delay in ms of the first call, which spreads those of a fleet that
        starts as a whole.
    """

    readers: int = 1
    watch_ms: int = WATCH_MS
    start_ms: int = MAX_GAP_MS


class ConfigurationReader:
    """The calls of one node to the configuration service, one at a time.

    Parameters
    ----------
    node : str
        Name of the node.
    clock : Clock
        Time in ms.
    rng : random.Random
        Spreads calls over time.
    revisions : Revisions
        Takes what was read.
    reader_rank : callable
        Returns the live nodes of the zone in their order as readers.
    failing : callable
        Whether another node, given by name, says that its reads fail.
    settled : callable
        Whether the live nodes of the zone are known.
    unheard_ms : callable
        Returns for how long in ms another node, given by name, was not heard.
    read_policy : Pace or None
        How many nodes read, and how long they wait.

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
        failing,
        settled,
        unheard_ms=lambda name: 0,
        read_policy=None,
    ):
        self.node = node
        self.clock = clock
        self.revisions = revisions
        self.reads_fail = False
        self._rng = rng
        self._reader_rank = reader_rank
        self._failing = failing
        self._settled = settled
        self._unheard_ms = unheard_ms
        self._pace = read_policy or ReadPolicy()
        self._failures = 0
        self._mismatches = 0
        self._asked_once = False
        self._due_ms = clock.now() + rng.randint(0, self._pace.start_ms)
        wait_ms = FALLBACK_MS + rng.randint(0, FALLBACK_SPREAD_MS)
        self._fallback_ms = clock.now() + wait_ms
        self._manifest = None
        self._data_by_name = {}

    def reads_for_zone(self):
        """Return whether this node is to read for its zone.

        The first in rank are; the next one while one of them says that it fails; any
        node while none of them is heard; and any that has not got from its peers what
        the service had at its start.
        """
        if self.revisions.expects_more() and self.clock.now() >= self._fallback_ms:
            return True
        if not self._settled():
            return False
        ranked = self._reader_rank()
        count = self._pace.readers
        first = ranked[:count]
        if self.node in first:
            return True
        if all(self._unheard_ms(name) > UNHEARD_MS for name in first):
            return True
        return self.node in ranked[count : count + 1] and any(map(self._failing, first))

    def next_call(self):
        """Return the call to make now, or None."""
        if self.clock.now() < self._due_ms:
            return None
        if self._manifest is not None:
            for name in self.revisions.missing(self._manifest):
                if name not in self._data_by_name:
                    return ReadPart(name)
        if not self._asked_once or self._is_empty_handed():
            return ReadManifest(0, 0)
        if not self.reads_for_zone():
            self.reads_fail = False
            self._manifest = None
            return None
        # A service in doubt is asked for an answer at once, so that no call hangs long.
        wait_ms = 0 if self._failures else self._pace.watch_ms
        return ReadManifest(self.revisions.watch_after, wait_ms)

    def _is_empty_handed(self):
        # Calls failed so far; a node that is not to read needs a configuration too.
        return self._failures and not self.revisions.revision

    def pause_ms(self):
        """Return the time in ms after which to ask for a call again."""
        left_ms = self._due_ms - self.clock.now()
        return left_ms if left_ms > 0 else IDLE_MS

    def handle_manifest(self, manifest):
        """Take the answer to `ReadManifest`; return the messages that follow.

        Parameters
        ----------
        manifest : Manifest or None
            What was read; None if there is no later revision.
        """
        first = not self._asked_once or self._is_empty_handed()
        self._succeed()
        if manifest is None or manifest.revision <= self.revisions.watch_after:
            return []
        if first:
            self.revisions.expect(manifest.revision)
        # What came whole is used at once at the start, whoever is to read later.
        if not self.reads_for_zone() and not (first and manifest.data_by_name):
            return []
        self._manifest = manifest
        self._data_by_name = dict(manifest.data_by_name)
        return self._finish()

    def handle_part(self, name, data):
        """Take the answer to `ReadPart`; return the messages that follow.

        Parameters
        ----------
        name : str
            Name of the part.
        data : bytes or None
            Its content; None if the service has no such part.
        """
        self._succeed(MIN_PART_GAP_MS, MAX_PART_GAP_MS)
        if self._manifest is None:
            return []
        pointer = self._manifest.descriptor_by_name[name]
        if self._mismatches < MAX_MISMATCHES and not _matches(pointer, data):
            # The part has changed since the manifest was read.
            self._mismatches += 1
            self._manifest = None
            self._due_ms = self.clock.now() + self._rng.randint(MIN_GAP_MS, MAX_GAP_MS)
            return []
        self._data_by_name[name] = data or b""
        return self._finish()

    def handle_failure(self):
        """Note that a call failed."""
        self._asked_once = True
        self.reads_fail = True
        self.revisions.confirm(ok=False)
        self._back_off()

    def _back_off(self):
        self._failures += 1
        first = FIRST_BACKOFF_MS if self.revisions.revision else EMPTY_BACKOFF_MS
        limit = min(MAX_BACKOFF_MS, first << min(self._failures, 10))
        self._due_ms = self.clock.now() + self._rng.randint(limit // 2, limit)

    def _succeed(self, low=MIN_GAP_MS, high=MAX_GAP_MS):
        self._asked_once = True
        if not self.revisions.unreadable:
            self._failures = 0
        self.reads_fail = False
        self.revisions.confirm()
        self._due_ms = self.clock.now() + self._rng.randint(low, high)

    def _finish(self):
        wanted = self.revisions.missing(self._manifest)
        if any(name not in self._data_by_name for name in wanted):
            return []
        manifest, self._manifest = self._manifest, None
        data_by_name, self._data_by_name = self._data_by_name, {}
        self._mismatches = 0
        outgoing = self.revisions.apply_manifest(manifest, data_by_name)
        if manifest.revision > self.revisions.watch_after:
            self._back_off()
        return outgoing


def _matches(pointer, data):
    return data is not None and digest(data) == pointer.published_digest
