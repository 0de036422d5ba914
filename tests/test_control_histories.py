"""Generated fault histories: no revision reverts, and after healing all nodes agree.

``make soak`` runs the same histories in larger number.
"""

import logging
import unittest
from unittest import mock

from hypothesis import Phase, settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from peridotcove import topology
from peridotcove.peer_state import PeerState
from peridotcove.revision_fetcher import RevisionFetcher
from peridotcove.revisions import Revisions
from peridotcove.standins.fleet import MemoryFleet, describe_zones
from tests.fakes import count_history, make_links

ZONES = {"r": {"a": 2, "b": 2}}
NAMES = ("a-0", "a-1", "b-0", "b-1")
STEPS = 12
IN_FORCE_MS = 7_000
REJOIN_MS = 35_000

nodes = strategies.sampled_from(NAMES)
pairs = strategies.tuples(nodes, nodes)
logging.getLogger("peridotcove").setLevel(logging.CRITICAL)
INVALID = {
    "a bound of 0": {"bounds": {"bounds": {"load_bound": 0}}},
    "a customer twice": {"twice": {"customers": {"always": {}}}},
    "an unknown zone": {
        "engines": {"engines": {"e": {"url": "u", "zone": "x", "model": "m"}}}
    },
    "no object": {"odd": ["customers"]},
}


class Histories(RuleBasedStateMachine):
    """Four nodes in two zones, one service, any faults in any order."""

    @initialize(seed=strategies.integers(0, 1 << 30))
    def start(self, seed):
        count_history("never reverts, all agree after healing")
        self.fleet = MemoryFleet(make_links(seed), ZONES)
        self.service = self.fleet.service
        self.valid = {}
        self.bad = None
        self.highest = {}
        zones = {"zones": describe_zones(self.fleet.region_by_zone)}
        always = {"customers": {"always": {}}}
        self.service.publish({"zones": zones, "always": always})
        self.valid[1] = {"always"}
        self.fleet.start()
        self.fleet.links.run(4_000)

    @rule(number=strategies.integers(0, 3))
    def publish(self, number):
        changes = {"more": {"customers": {f"c{number}": {}}}}
        if self.bad is not None:
            changes.update(dict.fromkeys(self.bad))
            self.bad = None
        self.service.publish(changes)
        self.valid[self.service.revision] = {"always", f"c{number}"}

    @precondition(lambda self: self.bad is None)
    @rule(kind=strategies.sampled_from(sorted(INVALID)))
    def publish_invalid(self, kind):
        self.bad = INVALID[kind]
        self.service.publish(self.bad)

    @rule(down=strategies.booleans(), stale=strategies.booleans())
    def trouble_service(self, down, stale):
        self.service.down, self.service.stale = down, stale
        if not stale:
            self.service.show(self.service.revision)

    @rule(pair=pairs, drop=strategies.sampled_from([0.02, 0.5, 1.0]))
    def drop(self, pair, drop):
        self.fleet.links.set_faults([pair], drop=drop)

    @rule(pair=pairs, most_ms=strategies.sampled_from([100, 2_000]))
    def delay_reorder_duplicate(self, pair, most_ms):
        links = self.fleet.links
        links.set_faults([pair], delay_ms=(1, most_ms), duplicate=0.3)

    @rule(pair=pairs, both=strategies.booleans())
    def silence(self, pair, both):
        self.fleet.links.silence(*pair, both)

    @rule(side=strategies.sets(nodes, min_size=1, max_size=3))
    def partition(self, side):
        self.fleet.links.partition(side)

    @rule(name=nodes)
    def pause(self, name):
        self.fleet.links.pause(name)

    @rule(name=nodes)
    def resume(self, name):
        self.fleet.links.resume(name)

    @rule(name=nodes)
    def restart(self, name):
        self.highest.pop(name, None)
        self.fleet.start(name)

    @rule(name=nodes)
    def stop(self, name):
        self.fleet.stop(name)

    @rule(name=nodes, other=nodes)
    def list_without(self, name, other):
        listed = self.fleet.instance_by_name
        some = [one for one in listed.values() if one.name != other]
        self.fleet.node_by_name[name].control.membership.set_instances(some)

    @rule(ms=strategies.sampled_from([100, 700, 1_500, 4_000]))
    def pass_time(self, ms):
        self.fleet.links.run(ms)

    @invariant()
    def never_reverts(self):
        if not hasattr(self, "fleet"):
            return
        for name, node in self.fleet.node_by_name.items():
            revision = node.revision
            assert revision >= self.highest.get(name, 0)
            self.highest[name] = revision
            current = node.control.revisions.current()
            assert current.revision == revision
            wanted = self.valid[revision] if revision else set()
            assert set(current.customer_by_name) == wanted

    def teardown(self):
        if not hasattr(self, "fleet"):
            return
        wanted = self.heal()
        self.fleet.links.run(IN_FORCE_MS)
        self.never_reverts()
        revisions = {node.name: node.revision for node in self.fleet.running_nodes()}
        assert len(set(revisions.values())) == 1, revisions
        (found,) = set(revisions.values())
        assert wanted <= found <= max(self.valid), revisions
        self.fleet.links.run(REJOIN_MS - IN_FORCE_MS)
        for node in self.fleet.running_nodes():
            # Without a configuration, no other zone is known to be of the region.
            zone = node.name.split("-")[0]
            seen = [name for name in NAMES if found or name.startswith(zone)]
            assert node.live_names() == seen, (node.name, node.live_names())
            assert node.control.membership.fresh()
            assert node.control.revisions.ready() == (found > 0)
            refused = node.control.revisions.refused
            assert (refused is None) == (self.bad is None), refused

    def heal(self):
        links = self.fleet.links
        links.heal()
        self.trouble_service(down=False, stale=False)
        for name in NAMES:
            links.resume(name)
            if name in links.down:
                self.restart(name)
        self.fleet.update_instances()
        if self.bad is None:
            return max(self.valid)
        # The service shows its last revision only, so an earlier one lives in nodes.
        return max(node.revision for node in self.fleet.running_nodes())


class ContactHistories(Histories):
    """Histories in which zones exchange views by contacts, as in a large region."""

    @initialize(seed=strategies.integers(0, 1 << 30))
    def start(self, seed):
        self.patch = mock.patch.object(topology, "FULL_MESH_MAX_NODES", 1)
        self.patch.start()
        super().start(seed)

    def teardown(self):
        try:
            super().teardown()
        finally:
            if hasattr(self, "patch"):
                self.patch.stop()


Histories.TestCase.settings = settings(stateful_step_count=STEPS)
ContactHistories.TestCase.settings = settings(stateful_step_count=STEPS)
HistoriesTest = Histories.TestCase
ContactHistoriesTest = ContactHistories.TestCase


def due_if_live(peer, now):
    """Return whether a heartbeat is due; never for lost nodes."""
    if peer.heard_ms is not None and not peer.live:
        return False
    return peer.sent_ms is None or now - peer.sent_ms >= peer.period_ms


# Histories in which the fault of each variant has to be found. Hypothesis derives them
# from the source text of `Histories` and from constants of all modules imported so far;
# over seeds, a variant is found after 44 to 839 of them.
NAIVE_EXAMPLES = 2_000
NAIVE = {
    "wants any other revision": (
        Revisions,
        "wants",
        lambda self, other: other != self.revision,
    ),
    "wants none before a refused one": (
        Revisions,
        "wants",
        lambda self, other: other > self.watch_after,
    ),
    "pulls nothing": (RevisionFetcher, "tick", lambda self, revision, wants: []),
    "sends no heartbeats to lost nodes": (PeerState, "is_heartbeat_due", due_if_live),
}


class NaiveVariantsTest(unittest.TestCase):
    """Histories find the fault of each variant that lacks a rule."""

    def test_each_variant_is_found(self):
        phases = settings(
            stateful_step_count=STEPS,
            phases=[Phase.generate],
            max_examples=NAIVE_EXAMPLES,
        )
        for name, (cls, method, variant) in NAIVE.items():
            with (
                self.subTest(variant=name),
                mock.patch.object(cls, method, variant),
                self.assertRaises(AssertionError),
            ):
                run_state_machine_as_test(Histories, settings=phases)
