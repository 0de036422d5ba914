"""Dispatcher of one shard: decides which engine runs each request, and when."""

from attrs import evolve, frozen

from peridotcove.cache_index import CHARS_PER_TOKEN, CacheIndex
from peridotcove.cold_engines import ColdEngines
from peridotcove.customer_slots import CustomerSlots
from peridotcove.engine_loads import EngineLoads
from peridotcove.engine_selection import LIMITED_REQUEST_EXTRA, EngineSelector
from peridotcove.engine_time.admission import QUEUE_WAIT_SHARE, Admission
from peridotcove.engine_time.answer_times import NO_TIMES
from peridotcove.engine_time.engine_times import EngineTimes
from peridotcove.engine_time.grant_history import GrantHistory
from peridotcove.engine_time.return_schedule import ReturnSchedule
from peridotcove.fair_queue import (
    TURNS_PER_LOWER_PRIORITY,
    FairQueue,
    QueuedRequest,
)
from peridotcove.lease_table import Lease, LeaseTable
from peridotcove.models import Customer, LeaseGrant, LeaseRefusal, LifecycleStatus
from peridotcove.prompt_part_index import PromptPartIndex
from peridotcove.rendezvous import hash_name
from peridotcove.residency import NO_REGION, RegionLimit, find_engines_outside
from peridotcove.zone_traffic.planner import ZonePlanner

LEASE_RECOVERY_MS = 3_000
RECOVERY_CAPACITY_SHARE = 0.5
HELD_LEASES_GRACE_MS = 2_000
RETRY_AFTER_MS = 1_000
HASH_RANGE = 1 << 64
MAX_DEFERRED_REQUESTS = 32
# Time between two checks whether waiting requests can still be served in time, and how
# far beyond their time they have to be: it may get better.
HOPELESS_CHECK_INTERVAL_MS = 100
HOPELESS_FACTOR = 1.5
# Waiting requests of a customer from which on later ones of others count: with fewer,
# it has not sent more than its share for long.
MIN_PLACE = 8
# Time after its start in which a dispatcher expects the first lists of the caches.
FIRST_LISTS_MS = 1_000
# An engine that leaves takes no new work but can still serve its cache to others.
FETCH_SOURCE_STATUSES = (LifecycleStatus.IN_SERVICE, LifecycleStatus.LEAVING)
# A transfer has a fixed cost of some ms; recomputing fewer blocks is as fast.
MIN_FETCH_BLOCKS = 4
# Time to fetch a cached prefix, as a share of the time to recompute it.
FETCH_COST_SHARE = 0.25


@frozen
class _DeferredRequest:
    """A request that waits for its preferred engine, which is at its load bound.

    Without a preferred engine it waits for the first lists of the engines' caches.
    """

    item: QueuedRequest
    preferred_engine: str
    until_ms: float


class Dispatcher:
    """Grants leases on the engines of one shard.

    Methods that return a list return the grants and refusals that are due. Each
    request gets exactly one grant or refusal.

    Parameters
    ----------
    shard : Shard
        Shard of engines that this dispatcher serves.
    configuration : Configuration
        Accepted configuration.
    clock : Clock
        Source of time.
    entries : iterable of str
        Nodes that may hold leases granted by an earlier owner. Until each has reported
        them, or `LEASE_RECOVERY_MS` have passed, only a share of each engine's capacity
        is granted.
    weights : SelectionWeights or None
        Weights of the selection of an engine; defaults when None.
    on_first_event : callable
        Called with the expected and the seen time in ms to the first event of an
        answer.
    on_refused_again : callable
        Called when a request is refused that had been refused before.
    """

    def __init__(
        self,
        shard,
        configuration,
        clock,
        entries=(),
        weights=None,
        on_first_event=lambda expected_ms, seen_ms: None,
        on_refused_again=lambda: None,
    ):
        self.shard = shard
        self._clock = clock
        self.start_recovery(entries)
        self._weights = weights
        block_chars = configuration.bounds.block_chars
        self._prefix_index = CacheIndex(block_chars)
        self._block_tokens = block_chars / CHARS_PER_TOKEN
        self._part_index = PromptPartIndex(self._block_tokens)
        self._leases = LeaseTable()
        self._slots = CustomerSlots(clock)
        self._queue = FairQueue()
        self._deferred_by_id = {}
        self._fetch_sources = frozenset()
        # Engines whose caches may have contents that a new owner doesn't know yet.
        self._unlisted_caches = {
            engine.name
            for engine in self.engines_of(configuration)
            if engine.shares_cache and engine.status is LifecycleStatus.IN_SERVICE
        }
        self._lists_until_ms = clock.now() + FIRST_LISTS_MS
        self._loads = EngineLoads(configuration.bounds.load_bound)
        self._cold = ColdEngines(clock)
        self._outside_by_regions = {}
        self.zones = ZonePlanner(clock)
        self._times = EngineTimes(clock)
        self._admission = Admission(clock)
        self._checked_ms = clock.now()
        self._grants = GrantHistory(clock)
        self._returns = ReturnSchedule(clock)
        self._on_first_event = on_first_event
        self._on_refused_again = on_refused_again
        self.set_configuration(configuration)

    def start_recovery(self, entries):
        """Expect the leases that an earlier owner granted.

        Parameters
        ----------
        entries : iterable of str
            Nodes that may hold such leases.
        """
        self._unreported_entries = set(entries)
        self._recovery_until_ms = self._clock.now() + LEASE_RECOVERY_MS

    def set_configuration(self, configuration):
        """Apply a new revision of the configuration.

        Parameters
        ----------
        configuration : Configuration
            Accepted configuration.
        """
        self._configuration = configuration
        self._loads.load_bound = configuration.bounds.load_bound
        self.zones.set_configuration(configuration)
        engines = configuration.engine_by_name
        names = [name for name in self.shard.engines if name in engines]
        self._selector = EngineSelector(
            [engines[name] for name in names], self._weights
        )
        return self.set_engines([engines[name] for name in names])

    def set_engines(self, engines):
        """Set the engines; only those in service get new work.

        Parameters
        ----------
        engines : iterable of Engine
            Engines of the shard, with their current status as this node knows it.
        """
        engines = list(engines)
        self._loads.set_engines(engines, self._leases.count_by_engine())
        self._fetch_sources = {
            one.name for one in engines if one.status in FETCH_SOURCE_STATUSES
        }
        self._prefix_index.set_engines(engines)
        self._part_index.set_engines(engines)
        self._times.set_engines(engines)
        self._apply_times(one.name for one in engines)
        configuration = self._configuration
        self._cold.set_engines(
            engines, configuration.model_by_name, configuration.bounds
        )
        had_limits = bool(self._outside_by_regions)
        self._outside_by_regions.clear()
        refusals = self._refuse_unserved() if had_limits else []
        return refusals + self._grant_waiting()

    def _find_outside(self, regions):
        """Return the engines that a request with a limit of regions must not use."""
        outside = self._outside_by_regions.get(regions)
        if outside is None:
            limit = RegionLimit.from_regions(regions)
            outside = find_engines_outside(self._configuration, self.engines(), limit)
            self._outside_by_regions[regions] = outside
        return outside

    def _is_unserved(self, request):
        """Return whether no engine that accepts work is in the request's regions."""
        if not request.regions:
            return False
        outside = self._find_outside(request.regions)
        return all(load.name in outside for load in self._loads.open_engines)

    def _refuse_unserved(self):
        """Refuse the waiting requests whose regions have lost their last engine."""
        refusals = []
        for request in self._waiting_requests():
            if self._is_unserved(request):
                self._remove_waiting(request.request_id)
                refusals.append(
                    LeaseRefusal(request.request_id, NO_REGION, RETRY_AFTER_MS)
                )
        return refusals

    def set_role(self, is_first_owner, is_owner):
        """Set which part of the rate of cold engines this node may use.

        Parameters
        ----------
        is_first_owner : bool
            Whether this node is the first owner of the shard.
        is_owner : bool
            Whether it may grant leases to other nodes.
        """
        is_alone = is_first_owner and not self.is_recovering
        self._cold.set_role(is_alone, is_owner)

    def set_other_shards_load(self, total, weight):
        """Set the load of the model's other shards in the region.

        Parameters
        ----------
        total : float
            Requests in progress there.
        weight : float
            Summed weight of their engines that accept work.
        """
        self._loads.set_other_shards_load(total, weight)

    @property
    def load(self):
        """Requests in progress on engines that accept work; sent in heartbeats."""
        return self._loads.total()

    @property
    def weight(self):
        """Summed weight of the engines that accept work; sent in heartbeats."""
        return self._loads.weight

    @property
    def waiting(self):
        """Number of requests that wait for a lease."""
        return len(self._queue) + len(self._deferred_by_id)

    @property
    def lease_count(self):
        """Number of leases that this dispatcher knows."""
        return len(self._leases)

    @property
    def is_recovering(self):
        """Whether leases granted by an earlier owner may still be unknown."""
        return (
            bool(self._unreported_entries)
            and self._clock.now() < self._recovery_until_ms
        )

    def load_by_engine(self):
        """Return the number of requests in progress by engine."""
        return {
            name: load.total for name, load in self._loads.engine_load_by_name.items()
        }

    def engines(self):
        """Return the engines of the shard, as configured."""
        return self.engines_of(self._configuration)

    def engines_of(self, configuration):
        """Return the engines of the shard in a configuration.

        Parameters
        ----------
        configuration : Configuration
            Accepted configuration.
        """
        engine_by_name = configuration.engine_by_name
        names = self.shard.engines
        return [engine_by_name[name] for name in names if name in engine_by_name]

    def unleased_load(self, engine):
        """Return the load that an engine reported beyond the leases granted here.

        Parameters
        ----------
        engine : str
            Name of the engine.
        """
        load = self._loads.engine_load_by_name.get(engine)
        return load.unleased_load if load is not None else 0

    def request_lease(self, request):
        """Request a lease.

        Parameters
        ----------
        request : LeaseRequest
            The request. A repeated call with the same id returns the same grant, or
            an empty list while the request waits.
        """
        request_id = request.request_id
        lease = self._leases.get(request_id)
        if lease is not None:
            return [LeaseGrant(lease.request_id, lease.engine, lease.cached_blocks)]
        if request_id in self._queue or request_id in self._deferred_by_id:
            return []
        code = self._find_refusal(request)
        if code:
            return [LeaseRefusal(request_id, code, RETRY_AFTER_MS)]
        now = self._clock.now()
        wait = min(request.deadline_ms, self._configuration.bounds.queue_ms)
        cold_wait_ms = self._estimate_cold_wait_ms(request)
        if cold_wait_ms is not None and cold_wait_ms > wait:
            jitter = 0.5 + hash_name(request_id.hex()) / HASH_RANGE
            return [LeaseRefusal(request_id, "cold", int(cold_wait_ms * jitter))]
        customer = self._customer(request.customer)
        item = QueuedRequest(request, now, now + wait)
        self._update_capacity_share()
        if not len(self._queue) and self._may_lease(request.customer):
            grant = self._try_grant(item)
            if grant is not None:
                return [grant]
            if request_id in self._deferred_by_id:
                self._slots.change_usage(customer, waiting=1)
                return []
        self._slots.change_usage(customer, waiting=1)
        self._queue.push(item, customer.weight)
        decisions = self._grant_waiting()
        if request_id in self._queue:
            decisions.extend(self._refuse_if_overloaded(request, customer, wait))
        return decisions

    def _estimate_cold_wait_ms(self, request):
        """Return how long a request waits if all engines that it may use are cold."""
        unusable = self._find_unusable(request)
        names = [
            load.name for load in self._loads.open_engines if load.name not in unusable
        ]
        return self._cold.estimate_wait_ms(names, self.waiting) if names else None

    def _find_unusable(self, request):
        if not request.regions:
            return request.excluded
        return self._find_outside(request.regions).union(request.excluded)

    def _find_refusal(self, request):
        """Return why no engine may serve a request, or an empty text."""
        if not self._loads.open_engines:
            return "no_engine"
        if self._is_unserved(request):
            return NO_REGION
        # Engines of a version that began a stream are in service, if none is open now.
        is_paused = request.excluded and not request.software_versions
        return "all-paused" if is_paused and self._excludes_all(request) else ""

    def _excludes_all(self, request):
        unusable = self._find_unusable(request)
        return all(load.name in unusable for load in self._loads.open_engines)

    def _refuse_if_overloaded(self, request, customer, wait_ms):
        expected_wait_ms = self._estimate_wait_ms(request, customer)
        if expected_wait_ms is None:
            if not self._slots.is_queue_full():
                return []
            expected_wait_ms = 2 * wait_ms
        own_ms = self._times.fixed_ms
        limit_ms = self._admission.find_limit_ms(request, wait_ms, own_ms)
        if expected_wait_ms <= limit_ms:
            return []
        self._remove_waiting(request.request_id)
        return [self._refuse_overloaded(request, expected_wait_ms - limit_ms)]

    def _estimate_wait_ms(self, request, customer, place=None):
        """Return how long a queued request waits, or None if that is not known."""
        queue, priority = self._queue, request.priority
        if place is None:
            place = queue.count_customer(request.customer, priority)
        turns = queue.count_until(request.customer, priority, place)
        # More urgent requests come first, also those of the next moments, but leave a
        # share of all turns.
        share = max(1 - self._grants.share_above(priority), 1e-3)
        turns = min(
            (turns + queue.count_above(priority)) / share,
            turns * TURNS_PER_LOWER_PRIORITY,
        )
        wait_ms = self._slots.estimate_wait_ms(customer, turns)
        is_overloaded = self._admission.is_overloaded(request)
        if wait_ms is None or not (is_overloaded or place >= MIN_PLACE):
            return wait_ms
        # Requests of customers below their share come first, also later ones.
        interval_ms = self._grants.find_interval_ms(priority, request.customer)
        if not is_overloaded:
            fair_share = self._slots.fair_fraction(customer)
            fair_ms = self._slots.find_interval_ms() / (share * fair_share)
            interval_ms = min(interval_ms, fair_ms)
        return max(wait_ms, place * interval_ms)

    def _refuse_overloaded(self, request, room_ms):
        """Return a refusal whose caller may come back when there is room for it."""
        if self._admission.record_refusal(request):
            self._on_refused_again()
        fraction = hash_name(request.request_id.hex()) / HASH_RANGE
        interval_ms = self._slots.find_interval_ms() or RETRY_AFTER_MS / 10
        retry_after_ms = self._returns.add(
            request.priority, room_ms, interval_ms, fraction
        )
        return LeaseRefusal(request.request_id, "overloaded", int(retry_after_ms) + 1)

    def _remove_waiting(self, request_id):
        if request_id in self._deferred_by_id:
            item = self._deferred_by_id.pop(request_id).item
        else:
            item = self._queue.remove(request_id)
        self._slots.change_usage(self._customer(item.request.customer), waiting=-1)

    def _apply_times(self, names):
        """Apply the times of engines to their loads."""
        times = self._times
        for name in names:
            load = self._loads.engine_load_by_name[name]
            load.tokens_per_ms = times.get_usual_rate(name)
            load.fixed_ms = times.get_usual_fixed_ms(name)
            load.time_factor = times.get_time_factor(name)
            load.slowness = times.get_slowness(name)

    def _fade_slowness(self):
        """Apply the age of what is known of the engines that are slow at present."""
        for name in self._times.expire():
            load = self._loads.engine_load_by_name[name]
            if load.slowness != 1.0:
                load.slowness = self._times.get_slowness(name)

    def describe_times(self):
        """Return what is known of the times of each engine, for operators."""
        wall_ms = self._clock.wall()
        loads = self._loads.engine_load_by_name
        return {
            name: times | {"backlog_ms": loads[name].prefill_backlog_ms(wall_ms)}
            for name, times in self._times.describe().items()
        }

    def _record_times(self, lease, times):
        """Record the times of an answer that was complete."""
        engine, estimate = lease.engine, lease.estimate
        if times is NO_TIMES or engine not in self._loads.engine_load_by_name:
            return
        # An engine that has just started is slow for a time that says nothing of later.
        if self._cold.is_cold(engine):
            return
        if estimate is not None and times.first_ms and self._times.is_known(engine):
            self._on_first_event(estimate.expected_ms, times.first_ms)
        is_new_for_all, correction_ms = self._times.record(engine, estimate, times)
        self._apply_times(
            self._loads.engine_load_by_name if is_new_for_all else (engine,)
        )
        if correction_ms:
            load = self._loads.engine_load_by_name[engine]
            load.correct_prefill(correction_ms, self._clock.wall())

    def release(self, request_id, outcome, cached_blocks=-1, times=NO_TIMES):
        """Release a lease, or cancel a request that still waits.

        Parameters
        ----------
        request_id : bytes
            Id of the request; an unknown id is ignored.
        outcome : str
            ``"done"``, ``"failed"`` or ``"cancelled"``.
        cached_blocks : int
            Prefix blocks that the engine reported as reused; -1 if not reported.
        times : AnswerTimes
            Times of the answer.
        """
        if request_id in self._queue or request_id in self._deferred_by_id:
            self._remove_waiting(request_id)
            return [LeaseRefusal(request_id, "cancelled", 0)]
        lease = self._leases.get(request_id)
        if lease is None:
            return []
        if cached_blocks >= 0:
            self._prefix_index.record_reuse(
                lease.engine, lease.cached_blocks, cached_blocks
            )
        if outcome == "done":
            self._record_times(lease, times)
        self._remove_lease(lease)
        return self._grant_waiting()

    def set_held_leases(self, entry, leases):
        """Apply the full list of leases that an entry node holds.

        Unknown leases are added. Known leases that are not in the list are removed,
        unless they are younger than `HELD_LEASES_GRACE_MS`.

        Parameters
        ----------
        entry : str
            Name of the entry node.
        leases : iterable of tuple
            Request id, engine and customer of each.
        """
        now = self._clock.now()
        held_ids = set()
        for request_id, engine, customer in leases:
            held_ids.add(request_id)
            if self._leases.get(request_id) is None:
                self._add_lease(Lease(request_id, entry, customer, engine, now))
        for lease in self._leases.leases_of_entry(entry):
            past_grace = now - lease.since_ms >= HELD_LEASES_GRACE_MS
            if past_grace and lease.request_id not in held_ids:
                self._remove_lease(lease)
        self._unreported_entries.discard(entry)
        return self._grant_waiting()

    def drop_entry(self, entry):
        """Remove all leases and waiting requests of an entry node that is gone.

        Parameters
        ----------
        entry : str
            Name of the entry node.
        """
        refusals = []
        for request in self._waiting_requests():
            if request.entry == entry:
                self._remove_waiting(request.request_id)
                refusals.append(LeaseRefusal(request.request_id, "cancelled", 0))
        for lease in self._leases.leases_of_entry(entry):
            self._remove_lease(lease)
        self._unreported_entries.discard(entry)
        return refusals + self._grant_waiting()

    def apply_load_report(self, report):
        """Apply an engine's report of its load.

        Parameters
        ----------
        report : LoadReport
            The report; ignored if the engine is not in the shard.
        """
        load = self._loads.engine_load_by_name.get(report.engine)
        if load is not None:
            load.apply_load_report(report, self._clock.wall())
        return self._grant_waiting()

    def apply_cache_event(self, event):
        """Apply an engine's cache event to the index of prefix blocks.

        Parameters
        ----------
        event : CacheEvent
            The event.
        """
        self._prefix_index.apply_event(event)

    def apply_part_event(self, event):
        """Apply an engine's cache event to the index of prompt parts.

        Parameters
        ----------
        event : CacheEvent
            The event; its hashes are those of prompt parts.
        """
        self._part_index.apply_event(event, self._clock.wall())
        if not event.full or event.engine not in self._unlisted_caches:
            return []
        self._unlisted_caches.discard(event.engine)
        return [] if self._unlisted_caches else self._grant_waiting()

    def tick(self):
        """Return the decisions that are due; to be called every 20 to 100 ms."""
        wall = self._clock.wall()
        for load in self._loads.engine_load_by_name.values():
            load.expire_report(wall)
        cold = self._cold.find_cold()
        self.zones.update(self._loads, wall, cold, not self.is_recovering)
        self._fade_slowness()
        refusals = []
        now = self._clock.now()
        expired = self._queue.expire(now)
        for request_id, deferred in list(self._deferred_by_id.items()):
            if deferred.item.expires_ms <= now:
                expired.append(self._deferred_by_id.pop(request_id).item)
        for item in expired:
            request = item.request
            self._slots.change_usage(self._customer(request.customer), waiting=-1)
            refusals.append(
                LeaseRefusal(request.request_id, "deadline", RETRY_AFTER_MS)
            )
        refusals += self._refuse_hopeless(now)
        return refusals + self._grant_waiting()

    def _refuse_hopeless(self, now):
        """Refuse the waiting requests whose turn would come after their time."""
        if now < self._checked_ms + HOPELESS_CHECK_INTERVAL_MS or not len(self._queue):
            return []
        self._checked_ms = now
        refusals = []
        for customer_name, items in self._queue.list_by_customer():
            customer = self._customer(customer_name)
            for place, item in enumerate(reversed(items)):
                request, left_ms = item.request, item.expires_ms - now
                wait_ms = self._estimate_wait_ms(request, customer, len(items) - place)
                if wait_ms is None or wait_ms <= HOPELESS_FACTOR * left_ms:
                    break
                self._remove_waiting(request.request_id)
                refusals.append(self._refuse_overloaded(request, wait_ms - left_ms))
        return refusals

    def close(self):
        """Refuse all waiting requests, since another node owns the shard now."""
        refusals = []
        for request in self._waiting_requests():
            self._remove_waiting(request.request_id)
            refusals.append(LeaseRefusal(request.request_id, "moved", 0))
        return refusals

    def _waiting_requests(self):
        items = self._queue.items()
        items.extend(deferred.item for deferred in self._deferred_by_id.values())
        return [item.request for item in items]

    def _customer(self, name):
        customer = self._configuration.customer_by_name.get(name)
        return Customer(name) if customer is None else customer

    def _grant_waiting(self):
        self._update_capacity_share()
        granted = []
        # Limits of which no engine has room: the next request of them needs no search.
        full_limits = set()
        for deferred in list(self._deferred_by_id.values()):
            request = deferred.item.request
            limit = (request.regions, request.excluded)
            if limit not in full_limits and self._can_place_deferred(deferred):
                grant = self._try_grant(deferred.item, deferred)
                self._append_grant(granted, deferred.item, grant)
                if grant is None and request.regions and not deferred.preferred_engine:
                    full_limits.add(limit)
        while len(self._queue) and self._loads.has_room():
            item = self._queue.pop(self._may_lease)
            if item is None:
                break
            self._append_grant(granted, item, self._try_grant(item))
        return granted

    def _awaits_lists(self):
        """Return whether caches are unknown whose lists are still expected."""
        if self._unlisted_caches and self._clock.now() >= self._lists_until_ms:
            self._unlisted_caches.clear()
        return bool(self._unlisted_caches)

    def _can_place_deferred(self, deferred):
        expired = self._clock.now() >= deferred.until_ms
        if not deferred.preferred_engine:
            expired = expired or not self._awaits_lists()
        request = deferred.item.request
        ready = self._loads.has_room(
            None if expired else deferred.preferred_engine,
            LIMITED_REQUEST_EXTRA if request.regions else 0,
        )
        return ready and self._may_lease(request.customer)

    def _append_grant(self, granted, item, grant):
        if grant is not None:
            granted.append(grant)
            self._slots.change_usage(self._customer(item.request.customer), waiting=-1)

    def _update_capacity_share(self):
        self._loads.capacity_share = (
            RECOVERY_CAPACITY_SHARE if self.is_recovering else 1.0
        )

    def _may_lease(self, name):
        self._slots.capacity = self._loads.capacity * self._loads.capacity_share
        return self._slots.may_lease(self._customer(name), self._loads.total())

    def _try_grant(self, item, deferred=None):
        request = item.request
        if deferred is None and request.part_ends and self._awaits_lists():
            # Waits no longer than an engine takes to compute the whole prompt.
            prompt_ms = request.part_ends[-1] / self._times.tokens_per_ms
            self._deferred_by_id[request.request_id] = _DeferredRequest(
                item, "", self._clock.now() + prompt_ms
            )
            return None
        blocked = [*self._cold.find_blocked(), *self._find_other_versions(request)]
        if blocked or request.regions:
            unusable = frozenset(self._find_unusable(request)).union(blocked)
            request = evolve(request, excluded=unusable)
        if request.part_ends:
            index = self._part_index
            lookup = index.look_up(request.prefixes, request.part_ends)
            backlogs = self._backlogs()
        else:
            index = self._prefix_index
            lookup = index.look_up(request.prefixes, request.blocks)
            backlogs = ()
        block_ms = self._block_tokens / self._times.tokens_per_ms
        plan = self.zones.plan(request, lookup, self._loads, block_ms)
        choice = self._selector.select(request, lookup, self._loads, backlogs, plan)
        late_by_engine = self._find_late_engines(item, request, lookup, choice.engine)
        if late_by_engine:
            request = evolve(request, excluded=(*request.excluded, *late_by_engine))
            if not self._excludes_all(request):
                choice = self._selector.select(
                    request, lookup, self._loads, backlogs, plan
                )
            if choice.engine in ("", *late_by_engine):
                self._deferred_by_id.pop(request.request_id, None)
                return self._refuse_overloaded(request, min(late_by_engine.values()))
        if not choice.engine and request.excluded and deferred is None:
            # Only engines that the request must not use have room.
            self._deferred_by_id[request.request_id] = _DeferredRequest(
                item, "", self._clock.now()
            )
            return None
        if not choice.engine or self._should_defer(item, deferred, choice):
            return None
        self._deferred_by_id.pop(request.request_id, None)
        load = self._loads.engine_load_by_name[choice.engine]
        self.zones.record_grant(request, lookup, load, plan, self._loads)
        return self._grant(request, lookup, index, load)

    def _grant(self, request, lookup, index, load):
        """Return the grant of a lease on an engine, and record all that it changes."""
        name = load.name
        now, wall = self._clock.now(), self._clock.wall()
        cached = int(lookup.blocks_by_engine.get(name, 0))
        source = self._find_source(request, lookup, name, cached)
        backlog_ms, tokens = 0.0, 0.0
        if request.part_ends:
            missing = (lookup.blocks - cached) * self._block_tokens
            tokens = missing * (FETCH_COST_SHARE if source else 1.0)
            backlog_ms = load.prefill_backlog_ms(wall)
            load.add_prefill(tokens, wall)
        expected_ms = backlog_ms + load.expect_first_event_ms(tokens)
        estimate = self._times.record_grant(name, tokens, backlog_ms, expected_ms)
        index.record(lookup, name, wall)
        self._cold.record_grant(name)
        self._grants.record(request)
        request_id = request.request_id
        entry, customer = request.entry, request.customer
        if source:
            # How long a transfer between engines takes says nothing of how fast they
            # read.
            estimate.forget_previous()
        known = None if source else estimate
        self._add_lease(Lease(request_id, entry, customer, name, now, cached, known))
        return LeaseGrant(
            request_id,
            name,
            cached,
            source,
            load.total,
            self.waiting,
            int(lookup.blocks),
            backlog_ms,
            expected_ms,
        )

    def _find_other_versions(self, request):
        """Return the open engines of software versions that a request must not use.

        Those that have joined while it waited are not in its `excluded`.
        """
        if not request.software_versions:
            return []
        engine_by_name = self._configuration.engine_by_name
        return [
            load.name
            for load in self._loads.open_engines
            if engine_by_name[load.name].software_version
            not in request.software_versions
        ]

    def _find_late_engines(self, item, request, lookup, engine):
        """Return by how much engines would miss the limit of a request, by name.

        Empty if the chosen engine keeps it, or if too little is known of that one.
        """
        is_known = engine and request.part_ends and self._times.is_known(engine)
        if not is_known:
            return {}
        limit_ms = request.deadline_ms / QUEUE_WAIT_SHARE
        limit_ms -= self._clock.now() - item.arrived_ms
        if self._find_excess_ms(request, lookup, engine, limit_ms) <= 0:
            return {}
        late_by_engine = {}
        for load in self._loads.open_engines:
            name = load.name
            if name not in request.excluded and self._times.is_known(name):
                excess_ms = self._find_excess_ms(request, lookup, name, limit_ms)
                if excess_ms > 0:
                    late_by_engine[name] = excess_ms
        return late_by_engine

    def _find_excess_ms(self, request, lookup, engine, limit_ms):
        """Return by how much an engine is expected to miss a limit, in ms."""
        blocks = lookup.blocks - lookup.blocks_by_engine.get(engine, 0)
        load = self._loads.engine_load_by_name[engine]
        backlog_ms = load.prefill_backlog_ms(self._clock.wall())
        own_ms = load.expect_first_event_ms(blocks * self._block_tokens)
        limit_ms = self._admission.find_backlog_limit_ms(request, limit_ms, own_ms)
        return backlog_ms - limit_ms

    def _backlogs(self):
        """Return the blocks that each open engine still has to prefill."""
        wall_ms = self._clock.wall()
        per_block_ms = self._block_tokens / self._times.tokens_per_ms
        return [
            load.prefill_backlog_ms(wall_ms) / per_block_ms
            for load in self._loads.open_engines
        ]

    def _find_source(self, request, lookup, name, cached):
        """Return the engine to fetch the missing prefix from, or an empty name."""
        engine = self._configuration.engine_by_name[name]
        if not engine.shares_cache:
            return ""
        sources = self._fetch_sources
        if request.regions:
            sources = sources - self._find_outside(request.regions)
        found = [
            (blocks, other)
            for other, blocks in lookup.blocks_by_engine.items()
            if blocks - cached >= MIN_FETCH_BLOCKS and other in sources
        ]
        if not found:
            return ""
        most, best = max(found)
        if self._configuration.bounds.zone_traffic:
            # A transfer between zones takes longer than the rest of the prompt.
            engine_by_name = self._configuration.engine_by_name
            found = [
                (blocks, other)
                for blocks, other in found
                if most - blocks < MIN_FETCH_BLOCKS
                and engine_by_name[other].zone == engine.zone
            ]
            best = max(found, default=(most, best))[1]
        return best

    def _should_defer(self, item, deferred, choice):
        if choice.engine == choice.preferred_engine:
            return False
        now = self._clock.now()
        if deferred is None and len(self._deferred_by_id) < MAX_DEFERRED_REQUESTS:
            deferred = _DeferredRequest(
                item, choice.preferred_engine, now + choice.defer_ms
            )
            self._deferred_by_id[item.request.request_id] = deferred
        if deferred is None or now >= deferred.until_ms:
            return False
        if deferred.preferred_engine not in ("", choice.preferred_engine):
            # Another engine has become the best one meanwhile.
            self._deferred_by_id[item.request.request_id] = evolve(
                deferred, preferred_engine=choice.preferred_engine
            )
        return True

    def _add_lease(self, lease):
        self._leases.add(lease)
        self._slots.change_usage(self._customer(lease.customer), leases=1)
        self._loads.change_leases(lease.engine, 1, self._clock.wall())
        self.zones.change_leases(lease.entry, 1)

    def _remove_lease(self, lease):
        self._leases.remove(lease)
        if lease.estimate is not None:
            lease.estimate.forget_previous()
        self._slots.change_usage(self._customer(lease.customer), leases=-1)
        self._loads.change_leases(lease.engine, -1, self._clock.wall())
        self.zones.change_leases(lease.entry, -1)
        self.zones.record_service_time(self._clock.now() - lease.since_ms)
