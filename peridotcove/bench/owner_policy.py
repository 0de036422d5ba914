"""The product's own way in the bench: owners of shards that grant leases."""

import time

from attrs import evolve

from peridotcove.bench.policies import FRAME_BYTES, Policy, policies
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

HEARTBEAT_MS = 1_000
COUNTED = 8


@policies.register("peridotcove")
class Owners(Policy):
    """Entry nodes ask the owner of a shard, as `peridotcove.dispatch` decides."""

    hints = False
    weights = None

    def __init__(self, world):
        super().__init__(world)
        setup = world.setup
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
        self.rival_by_shard = {}
        self.rival_entries = frozenset()
        self._held_by_entry = {node.name: {} for node in self._nodes}
        self._shard_by_id = {}
        self._count = 0
        self._load_by_shard = {}
        self._picker_by_model = self._make_pickers()
        self._heartbeat()

    def _make_dispatchers(self, entries):
        return {
            shard.name: Dispatcher(
                shard, self._configuration, self.world.clock, entries, self.weights
            )
            for shard in self.shards
        }

    def _make_pickers(self):
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

    def _dispatcher(self, entry, shard):
        if entry in self.rival_entries:
            return self.rival_by_shard[shard]
        return self.dispatcher_by_shard[shard]

    def _hop(self, entry, shard):
        same = self._owner_by_shard[shard] == entry
        return 0 if same else self.world.setup.hop_ms

    def _count_bytes(self, entry, shard, message):
        # One in COUNTED messages is encoded, and counts for all of them.
        self._count += 1
        if self._count % COUNTED == 0 and self._hop(entry, shard):
            size = len(encode(message, self._configuration.revision)) + FRAME_BYTES
            self.world.measure.sent_bytes += COUNTED * size

    def submit(self, request, chat):
        """Ask the owner of the chat's shard."""
        hint = chat.engine if self.hints else ""
        picker = self._picker_by_model[request.model]
        shard = picker.select_shard(
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
        hop = self._hop(request.entry, shard)
        self.world.after(hop, self._ask, request, shard)

    def _ask(self, request, shard):
        dispatcher = self._dispatcher(request.entry, shard)
        begin = time.thread_time_ns()
        decisions = dispatcher.request_lease(request)
        taken = time.thread_time_ns() - begin
        self.world.measure.decisions_ns.append(taken)
        self._shard_by_id[request.request_id] = (request, shard)
        self._tell(decisions)

    def _tell(self, decisions):
        for decision in decisions:
            request, shard = self._shard_by_id[decision.request_id]
            hop = self._hop(request.entry, shard)
            if isinstance(decision, LeaseGrant):
                message = GiveLease(
                    decision.request_id, decision.engine, decision.cached_blocks
                )
                self._count_bytes(request.entry, shard, message)
                held = self._held_by_entry[request.entry]
                held[request.request_id] = (shard, decision.engine, request.customer)
                self.world.after(
                    hop, self.world.start, request.request_id, decision.engine
                )
            else:
                del self._shard_by_id[decision.request_id]
                self.world.after(
                    hop, self.world.refuse, decision.request_id, decision.code
                )

    def finish(self, request, engine, reused):
        """Release the lease."""
        _, shard = self._shard_by_id.pop(request.request_id)
        del self._held_by_entry[request.entry][request.request_id]
        message = ReleaseLease(request.request_id, "done", reused)
        self._count_bytes(request.entry, shard, message)
        hop = self._hop(request.entry, shard)
        self.world.after(hop, self._release, request, shard, reused)

    def _release(self, request, shard, reused):
        dispatcher = self._dispatcher(request.entry, shard)
        self._tell(dispatcher.release(request.request_id, "done", reused))

    def tick(self):
        """Act on the time at each owner."""
        for dispatcher in self._dispatchers():
            self._tell(dispatcher.tick())

    def _dispatchers(self):
        dispatchers = list(self.dispatcher_by_shard.values())
        dispatchers.extend(self.rival_by_shard.values())
        return dispatchers

    def report(self, report):
        """Pass an engine's report on to its owner."""
        for dispatcher in self._dispatchers():
            if report.engine in dispatcher.shard.engines:
                self._tell(dispatcher.apply_load_report(report))

    def set_engines(self):
        """Tell owners the status of their engines."""
        for dispatcher in self._dispatchers():
            names = set(dispatcher.shard.engines)
            specs = [spec for spec in self.world.specs() if spec.name in names]
            self._tell(dispatcher.set_engines(specs))

    def _heartbeat(self):
        loads = {model: {} for model in self._picker_by_model}
        for shard in self.shards:
            dispatcher = self.dispatcher_by_shard[shard.name]
            load = ShardLoad(dispatcher.load, dispatcher.weight)
            loads[shard.model][shard.name] = load
        for shard in self.shards:
            others = [
                load for name, load in loads[shard.model].items() if name != shard.name
            ]
            self.dispatcher_by_shard[shard.name].set_other_shards_load(
                sum(load.total for load in others), sum(load.weight for load in others)
            )
        self._load_by_shard = loads
        self.world.after(HEARTBEAT_MS, self._heartbeat)

    def replace_owners(self):
        """Let other nodes, which know nothing yet, own all shards."""
        self.dispatcher_by_shard = self._make_dispatchers(self._held_by_entry)
        self.set_engines()
        for entry in self._held_by_entry:
            self.world.after(self.world.setup.hop_ms * 50, self._hold, entry)

    def split(self, entries):
        """Let some entry nodes believe in other owners.

        Parameters
        ----------
        entries : iterable of str
            Their names.
        """
        self.rival_entries = frozenset(entries)
        self.rival_by_shard = self._make_dispatchers(self._held_by_entry)
        self.set_engines()
        for entry in self.rival_entries:
            self._hold(entry)

    def join(self):
        """Let all entry nodes believe in the same owners again."""
        entries = self.rival_entries
        for dispatcher in self.rival_by_shard.values():
            for refusal in dispatcher.close():
                request, shard = self._shard_by_id[refusal.request_id]
                self.world.after(2 * self._hop("", shard), self._ask, request, shard)
        self.rival_entries = frozenset()
        self.rival_by_shard = {}
        for entry in entries:
            self._hold(entry)

    def _hold(self, entry):
        leases_by_shard = {shard.name: [] for shard in self.shards}
        for request_id, held in self._held_by_entry[entry].items():
            shard, engine, customer = held
            leases_by_shard[shard].append((request_id, engine, customer))
        for shard, leases in leases_by_shard.items():
            self._tell(self._dispatcher(entry, shard).set_held_leases(entry, leases))


@policies.register("peridotcove+token")
class OwnersWithToken(Owners):
    """The same, with callers that send the continuation token back."""

    hints = True
