"""The policies of peridotcove itself: owners of shards grant leases."""

import time

from attrs import evolve

from peridotcove.bench.policies import FRAME_OVERHEAD_BYTES, Policy, policies
from peridotcove.dispatch import Dispatcher
from peridotcove.models import Instance, LeaseGrant
from peridotcove.nodes.messages import (
    AskLease,
    GiveLease,
    ReleaseLease,
    encode,
    pack_hashes,
)
from peridotcove.ownership import compute_shards, rank_shard_owners
from peridotcove.shard_selection import ShardLoad, ShardSelector

HEARTBEAT_INTERVAL_MS = 1_000
ENCODING_INTERVAL = 8


@policies.register("peridotcove")
class OwnerPolicy(Policy):
    """Entry nodes request leases from shard owners, which run a `Dispatcher`."""

    sends_hints = False
    weights = None

    def __init__(self, simulation):
        super().__init__(simulation)
        setup = simulation.setup
        self._configuration = setup.configuration
        self.shards = compute_shards(self._configuration, setup.region)
        self._nodes = [
            Instance(name, "node", "", 1, zone)
            for name, zone in setup.zone_by_node.items()
        ]
        self._owner_by_shard = {
            shard.name: rank_shard_owners(shard.name, self._nodes)[0]
            for shard in self.shards
        }
        self.dispatcher_by_shard = self._make_dispatchers(())
        self.split_dispatcher_by_shard = {}
        self.split_entries = frozenset()
        self._held_leases_by_entry = {node.name: {} for node in self._nodes}
        self._request_and_shard_by_id = {}
        self._message_count = 0
        self._load_by_shard = {}
        self._selector_by_model = self._make_selectors()
        self._exchange_loads()

    def _make_dispatchers(self, entries):
        return {
            shard.name: Dispatcher(
                shard, self._configuration, self.simulation.clock, entries, self.weights
            )
            for shard in self.shards
        }

    def _make_selectors(self):
        shards_by_model = {}
        for shard in self.shards:
            shards_by_model.setdefault(shard.model, []).append(shard)
        engines = self._configuration.engine_by_name
        return {
            model: ShardSelector(
                shards,
                {
                    shard.name: sum(engines[name].weight for name in shard.engines)
                    for shard in shards
                },
            )
            for model, shards in shards_by_model.items()
        }

    def _find_dispatcher(self, entry, shard):
        if entry in self.split_entries:
            return self.split_dispatcher_by_shard[shard]
        return self.dispatcher_by_shard[shard]

    def _compute_delay_ms(self, entry, shard):
        is_owner = self._owner_by_shard[shard] == entry
        return 0 if is_owner else self.simulation.setup.hop_ms

    def _count_bytes(self, entry, shard, message):
        # Encodes one of every ENCODING_INTERVAL messages and extrapolates its size.
        self._message_count += 1
        if self._message_count % ENCODING_INTERVAL == 0 and self._compute_delay_ms(
            entry, shard
        ):
            message_bytes = (
                len(encode(message, self._configuration.revision))
                + FRAME_OVERHEAD_BYTES
            )
            self.simulation.metrics.sent_bytes += ENCODING_INTERVAL * message_bytes

    def submit(self, request, chat):
        """Request a lease from the owner of the chat's shard."""
        hint = chat.engine if self.sends_hints else ""
        selector = self._selector_by_model[request.model]
        shard = selector.select_shard(
            request.chat_key, hint, self._load_by_shard[request.model]
        )
        message = AskLease(
            request.request_id,
            shard,
            request.customer,
            "",
            pack_hashes(request.prefixes),
            request.blocks,
            hint,
            request.deadline_ms,
            request.chat_key,
        )
        self._count_bytes(request.entry, shard, message)
        if hint:
            request = evolve(request, hint=hint)
        delay_ms = self._compute_delay_ms(request.entry, shard)
        self.simulation.schedule(delay_ms, self._request_lease, request, shard)

    def _request_lease(self, request, shard):
        dispatcher = self._find_dispatcher(request.entry, shard)
        started_ns = time.thread_time_ns()
        decisions = dispatcher.request_lease(request)
        elapsed_ns = time.thread_time_ns() - started_ns
        self.simulation.metrics.decision_times_ns.append(elapsed_ns)
        self._request_and_shard_by_id[request.request_id] = (request, shard)
        self._send_decisions(decisions)

    def _send_decisions(self, decisions):
        for decision in decisions:
            request, shard = self._request_and_shard_by_id[decision.request_id]
            delay_ms = self._compute_delay_ms(request.entry, shard)
            if isinstance(decision, LeaseGrant):
                message = GiveLease(
                    decision.request_id, decision.engine, decision.cached_blocks
                )
                self._count_bytes(request.entry, shard, message)
                held_leases = self._held_leases_by_entry[request.entry]
                held_leases[request.request_id] = (
                    shard,
                    decision.engine,
                    request.customer,
                )
                self.simulation.schedule(
                    delay_ms,
                    self.simulation.start_request,
                    request.request_id,
                    decision.engine,
                )
            else:
                del self._request_and_shard_by_id[decision.request_id]
                self.simulation.schedule(
                    delay_ms,
                    self.simulation.refuse_request,
                    decision.request_id,
                    decision.code,
                )

    def finish(self, request, engine, reused):
        """Release the lease."""
        _, shard = self._request_and_shard_by_id.pop(request.request_id)
        del self._held_leases_by_entry[request.entry][request.request_id]
        message = ReleaseLease(request.request_id, "done", reused)
        self._count_bytes(request.entry, shard, message)
        delay_ms = self._compute_delay_ms(request.entry, shard)
        self.simulation.schedule(delay_ms, self._release, request, shard, reused)

    def _release(self, request, shard, reused):
        dispatcher = self._find_dispatcher(request.entry, shard)
        self._send_decisions(dispatcher.release(request.request_id, "done", reused))

    def tick(self):
        """Run the periodic work of each owner's dispatcher."""
        for dispatcher in self._list_dispatchers():
            self._send_decisions(dispatcher.tick())

    def _list_dispatchers(self):
        dispatchers = list(self.dispatcher_by_shard.values())
        dispatchers.extend(self.split_dispatcher_by_shard.values())
        return dispatchers

    def handle_load_report(self, report):
        """Pass an engine's load report to the owners of its shard."""
        for dispatcher in self._list_dispatchers():
            if report.engine in dispatcher.shard.engines:
                self._send_decisions(dispatcher.apply_load_report(report))

    def set_engines(self):
        """Apply the status of engines at their owners."""
        for dispatcher in self._list_dispatchers():
            names = set(dispatcher.shard.engines)
            specs = [
                spec for spec in self.simulation.list_specs() if spec.name in names
            ]
            self._send_decisions(dispatcher.set_engines(specs))

    def _exchange_loads(self):
        loads = {model: {} for model in self._selector_by_model}
        for shard in self.shards:
            dispatcher = self.dispatcher_by_shard[shard.name]
            load = ShardLoad(dispatcher.load, dispatcher.weight)
            loads[shard.model][shard.name] = load
        for shard in self.shards:
            other_loads = [
                load for name, load in loads[shard.model].items() if name != shard.name
            ]
            self.dispatcher_by_shard[shard.name].set_other_shards_load(
                sum(load.total for load in other_loads),
                sum(load.weight for load in other_loads),
            )
        self._load_by_shard = loads
        self.simulation.schedule(HEARTBEAT_INTERVAL_MS, self._exchange_loads)

    def replace_owners(self):
        """Replace the owners of all shards by owners without state."""
        self.dispatcher_by_shard = self._make_dispatchers(self._held_leases_by_entry)
        self.set_engines()
        for entry in self._held_leases_by_entry:
            self.simulation.schedule(
                self.simulation.setup.hop_ms * 50, self._announce_leases, entry
            )

    def split(self, entries):
        """Make some entry nodes use other owners, as if their lists of nodes differed.

        Parameters
        ----------
        entries : iterable of str
            Names of the entry nodes.
        """
        self.split_entries = frozenset(entries)
        self.split_dispatcher_by_shard = self._make_dispatchers(
            self._held_leases_by_entry
        )
        self.set_engines()
        for entry in self.split_entries:
            self._announce_leases(entry)

    def join(self):
        """Make all entry nodes use the same owners again."""
        entries = self.split_entries
        for dispatcher in self.split_dispatcher_by_shard.values():
            for refusal in dispatcher.close():
                request, shard = self._request_and_shard_by_id[refusal.request_id]
                self.simulation.schedule(
                    2 * self._compute_delay_ms("", shard),
                    self._request_lease,
                    request,
                    shard,
                )
        self.split_entries = frozenset()
        self.split_dispatcher_by_shard = {}
        for entry in entries:
            self._announce_leases(entry)

    def _announce_leases(self, entry):
        leases_by_shard = {shard.name: [] for shard in self.shards}
        for request_id, lease in self._held_leases_by_entry[entry].items():
            shard, engine, customer = lease
            leases_by_shard[shard].append((request_id, engine, customer))
        for shard, leases in leases_by_shard.items():
            self._send_decisions(
                self._find_dispatcher(entry, shard).set_held_leases(entry, leases)
            )


@policies.register("peridotcove+token")
class OwnerPolicyWithToken(OwnerPolicy):
    """`OwnerPolicy` with callers that return the continuation token."""

    sends_hints = True
