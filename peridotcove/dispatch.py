"""The owner's decisions: which request runs on which engine of a shard, and when."""

from attrs import frozen

from peridotcove.cache_index import CHARS_PER_TOKEN, CacheIndex
from peridotcove.customer_slots import CustomerSlots
from peridotcove.engine_loads import PREFILL_TOKENS_PER_MS, Loads
from peridotcove.engine_selection import EngineSelector
from peridotcove.fair_queue import FairQueue, Waiting
from peridotcove.lease_table import Lease, LeaseTable
from peridotcove.models import Customer, LeaseGrant, LeaseRefusal, LifecycleStatus
from peridotcove.prompt_part_index import PromptPartIndex
from peridotcove.rendezvous import hash_name

FRESH_MS = 3_000
FRESH_SHARE = 0.5
HOLD_GRACE_MS = 2_000
RETRY_MS = 1_000
HASHES = 1 << 64
MAX_HELD = 32
SOURCE_STATUSES = (LifecycleStatus.IN_SERVICE, LifecycleStatus.LEAVING)
# A transfer has a fixed cost of some ms; fewer blocks are read again as fast.
MIN_FETCH_BLOCKS = 4
# Time to fetch a cached prefix as a share of the time to read it again.
FETCH_SHARE = 0.25


@frozen
class _Held:
    item: Waiting
    wanted: str
    until_ms: int


class Dispatcher:
    """Grants leases on the engines of one shard.

    Each method that returns a list returns the grants and refusals that are due; each
    request asked for gets one of the two, once.

    Parameters
    ----------
    shard : Shard
        The shard.
    configuration : Configuration
        The accepted configuration.
    clock : Clock
        The clock.
    entries : iterable of str
        Nodes that may hold leases of an earlier owner; until each has told them, or
        `FRESH_MS` have passed, only a share of each engine's capacity is granted.
    weights : Weights or None
        What counts in the choice of an engine.
    """

    def __init__(self, shard, configuration, clock, entries=(), weights=None):
        self.shard = shard
        self._clock = clock
        self._untold = set(entries)
        self._fresh_until_ms = clock.now() + FRESH_MS
        self._weights = weights
        block_chars = configuration.bounds.block_chars
        self._index = CacheIndex(block_chars)
        self._block_tokens = block_chars / CHARS_PER_TOKEN
        self._parts = PromptPartIndex(self._block_tokens)
        self._book = LeaseTable()
        self._places = CustomerSlots(clock)
        self._queue = FairQueue()
        self._held_by_id = {}
        self._sources = frozenset()
        self._loads = Loads(configuration.bounds.load_bound)
        self.set_configuration(configuration)

    def set_configuration(self, configuration):
        """Take a new revision of the configuration.

        Parameters
        ----------
        configuration : Configuration
            The accepted configuration.
        """
        self._configuration = configuration
        self._loads.load_bound = configuration.bounds.load_bound
        engines = configuration.engine_by_name
        names = [name for name in self.shard.engines if name in engines]
        self._chooser = EngineSelector([engines[name] for name in names], self._weights)
        return self.set_engines([engines[name] for name in names])

    def set_engines(self, engines):
        """Set the engines; one whose status is not in service gets no new work.

        Parameters
        ----------
        engines : iterable of Engine
            The shard's engines, with the status that is believed now.
        """
        engines = list(engines)
        self._loads.set_engines(engines, self._book.count_by_engine())
        # An engine that leaves still gives away what it keeps.
        self._sources = {one.name for one in engines if one.status in SOURCE_STATUSES}
        self._index.set_engines(engines)
        self._parts.set_engines(engines)
        return self._drain()

    def set_other_shards_load(self, total, weight):
        """Set the load of the model's other shards in the region.

        Parameters
        ----------
        total : float
            Requests in progress there.
        weight : float
            Summed weight of their engines that take work.
        """
        self._loads.set_other_shards_load(total, weight)

    @property
    def load(self):
        """Requests in progress at the shard's open engines; for heartbeats."""
        return self._loads.total()

    @property
    def weight(self):
        """Summed weight of the shard's open engines; for heartbeats."""
        return self._loads.weight

    @property
    def waiting(self):
        """Requests that wait."""
        return len(self._queue) + len(self._held_by_id)

    @property
    def fresh(self):
        """Whether leases of an earlier owner may still be unknown."""
        return bool(self._untold) and self._clock.now() < self._fresh_until_ms

    def load_by_engine(self):
        """Return the requests in progress by engine."""
        return {name: load.total for name, load in self._loads.by_engine.items()}

    def engines(self):
        """Return the engines of the shard, as configured."""
        engine_by_name = self._configuration.engine_by_name
        names = self.shard.engines
        return [engine_by_name[name] for name in names if name in engine_by_name]

    def foreign(self, engine):
        """Return the load on an engine that its own report shows beyond the leases.

        Parameters
        ----------
        engine : str
            Name of the engine.
        """
        load = self._loads.by_engine.get(engine)
        return load.foreign if load is not None else 0

    def request_lease(self, request):
        """Ask for a lease.

        Parameters
        ----------
        request : LeaseRequest
            The request; asked again with the same id, the answer is the same.
        """
        request_id = request.request_id
        lease = self._book.get(request_id)
        if lease is not None:
            return [LeaseGrant(lease.request_id, lease.engine, lease.cached_blocks)]
        if request_id in self._queue or request_id in self._held_by_id:
            return []
        if not self._loads.open:
            return [LeaseRefusal(request_id, "no_engine", RETRY_MS)]
        now = self._clock.now()
        wait = min(request.deadline_ms, self._configuration.bounds.queue_ms)
        customer = self._customer(request.customer)
        item = Waiting(request, now, now + wait)
        self._set_share()
        if not len(self._queue) and self._may_take(request.customer):
            grant = self._place(item)
            if grant is not None:
                return [grant]
            if request_id in self._held_by_id:
                self._places.change(customer, waiting=1)
                return []
        self._places.change(customer, waiting=1)
        self._queue.push(item, customer.weight)
        decisions = self._drain()
        if request_id in self._queue:
            decisions.extend(self._shed(request, customer, wait))
        return decisions

    def _shed(self, request, customer, wait_ms):
        foreseen = self._places.foresee(customer)
        if foreseen is None or foreseen <= wait_ms:
            if not self._places.overfull():
                return []
            foreseen = wait_ms
        spread = 0.5 + hash_name(request.request_id.hex()) / HASHES
        self._leave(request.request_id)
        return [LeaseRefusal(request.request_id, "overloaded", int(foreseen * spread))]

    def _leave(self, request_id):
        if request_id in self._held_by_id:
            item = self._held_by_id.pop(request_id).item
        else:
            item = self._queue.remove(request_id)
        self._places.change(self._customer(item.request.customer), waiting=-1)

    def release(self, request_id, outcome, cached_blocks=-1):
        """Take back a lease, or a request that still waits.

        Parameters
        ----------
        request_id : bytes
            Id of the request; an unknown one is ignored.
        outcome : str
            ``"done"``, ``"failed"`` or ``"cancelled"``.
        cached_blocks : int
            Prefix blocks that the engine said it reused; -1 if it said nothing.
        """
        if request_id in self._queue or request_id in self._held_by_id:
            self._leave(request_id)
            return [LeaseRefusal(request_id, "cancelled", 0)]
        lease = self._book.get(request_id)
        if lease is None:
            return []
        if cached_blocks >= 0:
            self._index.confirm(lease.engine, lease.cached_blocks, cached_blocks)
        self._drop(lease)
        return self._drain()

    def set_held_leases(self, entry, leases):
        """Take the full list of leases that an entry node holds.

        Parameters
        ----------
        entry : str
            Name of the entry node.
        leases : iterable of tuple
            Request id, engine and customer of each.
        """
        now = self._clock.now()
        held = set()
        for request_id, engine, customer in leases:
            held.add(request_id)
            if self._book.get(request_id) is None:
                self._add(Lease(request_id, entry, customer, engine, now))
        for lease in self._book.of_entry(entry):
            old = now - lease.since_ms >= HOLD_GRACE_MS
            if old and lease.request_id not in held:
                self._drop(lease)
        self._untold.discard(entry)
        return self._drain()

    def drop_entry(self, entry):
        """Take back all that an entry node holds, since it is gone.

        Parameters
        ----------
        entry : str
            Name of the entry node.
        """
        refusals = []
        for request in self._waiting_requests():
            if request.entry == entry:
                self._leave(request.request_id)
                refusals.append(LeaseRefusal(request.request_id, "cancelled", 0))
        for lease in self._book.of_entry(entry):
            self._drop(lease)
        self._untold.discard(entry)
        return refusals + self._drain()

    def apply_load_report(self, report):
        """Take an engine's own report of its load.

        Parameters
        ----------
        report : LoadReport
            The report; one of an engine outside the shard is ignored.
        """
        load = self._loads.by_engine.get(report.engine)
        if load is not None:
            load.apply_load_report(report, self._clock.wall())
        return self._drain()

    def apply(self, event):
        """Take an engine's cache event.

        Parameters
        ----------
        event : CacheEvent
            The event.
        """
        self._index.apply(event)

    def apply_part_event(self, event):
        """Take an engine's news of the parts of prompts that it keeps.

        Parameters
        ----------
        event : CacheEvent
            The news.
        """
        self._parts.apply(event, self._clock.wall())

    def tick(self):
        """Return the decisions whose time has come; call it each 20 to 100 ms."""
        wall = self._clock.wall()
        for load in self._loads.by_engine.values():
            load.forget_report(wall)
        refusals = []
        now = self._clock.now()
        late = self._queue.expire(now)
        for request_id, held in list(self._held_by_id.items()):
            if held.item.expires_ms <= now:
                late.append(self._held_by_id.pop(request_id).item)
        for item in late:
            request = item.request
            self._places.change(self._customer(request.customer), waiting=-1)
            refusals.append(LeaseRefusal(request.request_id, "deadline", RETRY_MS))
        return refusals + self._drain()

    def close(self):
        """Refuse all that waits, since another node owns the shard now."""
        refusals = []
        for request in self._waiting_requests():
            self._leave(request.request_id)
            refusals.append(LeaseRefusal(request.request_id, "moved", 0))
        return refusals

    def _waiting_requests(self):
        items = self._queue.items()
        items.extend(held.item for held in self._held_by_id.values())
        return [item.request for item in items]

    def _customer(self, name):
        customer = self._configuration.customer_by_name.get(name)
        return Customer(name) if customer is None else customer

    def _drain(self):
        self._set_share()
        granted = []
        for held in list(self._held_by_id.values()):
            if self._may_go(held):
                self._keep(granted, held.item, self._place(held.item, held))
        while len(self._queue) and self._loads.has_room():
            item = self._queue.pop(self._may_take)
            if item is None:
                break
            self._keep(granted, item, self._place(item))
        return granted

    def _may_go(self, held):
        late = self._clock.now() >= held.until_ms
        ready = self._loads.has_room() if late else self._loads.has_room(held.wanted)
        return ready and self._may_take(held.item.request.customer)

    def _keep(self, granted, item, grant):
        if grant is not None:
            granted.append(grant)
            self._places.change(self._customer(item.request.customer), waiting=-1)

    def _set_share(self):
        self._loads.capacity_share = FRESH_SHARE if self.fresh else 1.0

    def _may_take(self, name):
        self._places.capacity = self._loads.capacity * self._loads.capacity_share
        return self._places.may_take(self._customer(name), self._loads.total())

    def _place(self, item, held=None):
        request = item.request
        if request.part_ends:
            index = self._parts
            lookup = index.look_up(request.prefixes, request.part_ends)
            backlogs = self._backlogs()
        else:
            index = self._index
            lookup = index.look_up(request.prefixes, request.blocks)
            backlogs = ()
        choice = self._chooser.choose(request, lookup, self._loads, backlogs)
        if not choice.engine or self._should_hold(item, held, choice):
            return None
        self._held_by_id.pop(request.request_id, None)
        now = self._clock.now()
        name = choice.engine
        cached = int(lookup.blocks_by_engine.get(name, 0))
        source = self._find_source(lookup, name, cached)
        if request.part_ends:
            missing = (lookup.blocks - cached) * self._block_tokens
            share = FETCH_SHARE if source else 1.0
            load = self._loads.by_engine[name]
            load.read_prompt(missing * share, self._clock.wall())
        index.record(lookup, name, self._clock.wall())
        request_id = request.request_id
        self._add(Lease(request_id, request.entry, request.customer, name, now, cached))
        load = self._loads.by_engine[name].total
        blocks = int(lookup.blocks)
        return LeaseGrant(request_id, name, cached, source, load, self.waiting, blocks)

    def _backlogs(self):
        """Return the blocks that each open engine still has to read."""
        wall_ms = self._clock.wall()
        per_block_ms = self._block_tokens / PREFILL_TOKENS_PER_MS
        return [load.backlog_ms(wall_ms) / per_block_ms for load in self._loads.open]

    def _find_source(self, lookup, name, cached):
        """Return the engine from which it pays to fetch what another lacks."""
        engine_by_name = self._configuration.engine_by_name
        if not engine_by_name[name].shares_cache:
            return ""
        found = [
            (blocks, other)
            for other, blocks in lookup.blocks_by_engine.items()
            if blocks - cached >= MIN_FETCH_BLOCKS and other in self._sources
        ]
        return max(found)[1] if found else ""

    def _should_hold(self, item, held, choice):
        if choice.engine == choice.wanted:
            return False
        now = self._clock.now()
        if held is None and len(self._held_by_id) < MAX_HELD:
            held = _Held(item, choice.wanted, now + choice.patience_ms)
            self._held_by_id[item.request.request_id] = held
        return held is not None and now < held.until_ms

    def _add(self, lease):
        self._book.add(lease)
        self._places.change(self._customer(lease.customer), leases=1)
        self._loads.change(lease.engine, 1, self._clock.wall())

    def _drop(self, lease):
        self._book.remove(lease)
        self._places.change(self._customer(lease.customer), leases=-1)
        self._loads.change(lease.engine, -1, self._clock.wall())
