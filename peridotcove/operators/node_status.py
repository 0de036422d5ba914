"""Status of the node that the operators' port reports."""

from peridotcove.clock import MS_PER_S
from peridotcove.revision_numbers import get_count, get_epoch
from peridotcove.zone_evacuations import find_evacuated_zones, find_unserved_models


class NodeStatus:
    """Readiness, configuration, metrics and events of a node.

    Parameters
    ----------
    drain : DrainController
        Shutdown of the node.
    control : ControlPlane
        Membership and configuration.
    leases : LeaseServer
        Shards that this node owns.
    metrics : Metrics
        Metrics of the node.
    timeline : Timeline
        Events of the node.
    notices : EngineNotices
        What engines said of themselves.
    fleet : FleetView
        The node's view of the fleet.
    links : LinkManager
        Links to the other nodes.
    memory : ConnectionMemory
        What connections hold.
    """

    def __init__(
        self, drain, control, leases, metrics, timeline, notices, fleet, links, memory
    ):
        self.metrics = metrics
        self.timeline = timeline
        self._drain = drain
        self._control = control
        self._leases = leases
        self._notices = notices
        self._fleet = fleet
        self._links = links
        self._memory = memory

    def find_unready_reason(self):
        """Return why the node is not ready for callers; empty if it is ready."""
        if not self._drain.ready:
            return "leaving"
        if not self._control.revisions.ready():
            return "no configuration yet"
        if not self._control.membership.has_instance_list:
            return "no list of instances yet"
        return ""

    def describe_configuration(self):
        """Return the content of the configuration page as a dict for JSON."""
        revisions = self._control.revisions
        refused = revisions.refused
        return {
            "revision": revisions.revision,
            "age_ms": revisions.age_ms(),
            "refused_revision": refused.revision if refused else 0,
            "faults": list(refused.faults) if refused else [],
            "engine_notices": self._notices.describe(),
            "evacuated_zones": find_evacuated_zones(self._fleet.configuration),
            "unserved_models": find_unserved_models(self._fleet.configuration),
            "zone_traffic": {
                name: dispatcher.zones.describe()
                for name, dispatcher in self._leases.dispatcher_by_shard.items()
            },
        }

    def describe_nodes(self):
        """Return the builds of this node and its peers as a dict for JSON."""
        identity = self._links.identity
        return {
            "node": identity.node,
            "zone": identity.zone,
            "build": identity.build,
            "protocol": identity.protocol,
            "oldest_protocol": identity.oldest_protocol,
            "peers": self._links.peer_builds.describe(),
        }

    def update_gauges(self):
        """Set the metrics that are gauges to their current values."""
        metrics, revisions = self.metrics, self._control.revisions
        # A whole revision number has more digits than a gauge keeps.
        metrics.revision.set(get_count(revisions.revision))
        metrics.epoch.set(get_epoch(revisions.revision))
        refused = revisions.refused
        metrics.refused_revision.set(get_count(refused.revision) if refused else 0)
        metrics.configuration_age.set((revisions.age_ms() or 0) / 1000)
        metrics.live_nodes.set(len(self._control.membership.live_nodes()))
        metrics.quarantined_parts.set(
            self._leases.suspect_sync.suspects.quarantined_count
        )
        metrics.draining.set(int(not self._drain.ready))
        self._update_builds()
        metrics.held_bytes.set(self._memory.total_bytes)
        metrics.held_bytes_limit.set(self._memory.limit_bytes)
        for name, dispatcher in self._leases.dispatcher_by_shard.items():
            load_by_engine = dispatcher.load_by_engine()
            for engine, load in load_by_engine.items():
                metrics.engine_load.labels(engine).set(load)
            for engine, times in dispatcher.describe_times().items():
                backlog_s = times["backlog_ms"] / MS_PER_S
                metrics.engine_backlog.labels(engine).set(backlog_s)
                read_rate = times["tokens_per_ms"] * MS_PER_S
                metrics.engine_read_rate.labels(engine).set(read_rate)
                metrics.engine_slowness.labels(engine).set(times["slowness"])
            mean = sum(load_by_engine.values()) / max(1, len(load_by_engine))
            highest = max(load_by_engine.values(), default=0)
            metrics.skew.labels(name).set(highest / mean if mean else 1)
            self._update_zone_gauges(name, dispatcher)

    def _update_builds(self):
        nodes = self.describe_nodes()
        gauge = self.metrics.nodes_by_build
        gauge.clear()
        for node in (nodes, *nodes["peers"]):
            gauge.labels(node["build"] or "unnamed", str(node["protocol"])).inc()

    def _update_zone_gauges(self, shard, dispatcher):
        for zone, described in dispatcher.zones.describe().items():
            self.metrics.zone_may_leave.labels(shard, zone).set(described["may_leave"])
            for reason, part in described["left"].items():
                self.metrics.zone_left.labels(shard, zone, reason).set(part)
