"""Prometheus metrics of one node."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30)

RATIO_BUCKETS = (0.25, 0.5, 0.75, 0.9, 1.1, 1.33, 2, 4)


class Metrics:
    """All metrics of one node, in their own registry."""

    def __init__(self):
        self.registry = CollectorRegistry()
        self.requests = self._add_counter(
            "peridotcove_requests", "Requests by kind and outcome.", "kind", "outcome"
        )
        self.verdicts = self._add_counter(
            "peridotcove_verdicts", "Answers by verdict.", "verdict"
        )
        self.retries = self._add_counter("peridotcove_retries", "Requests sent again.")
        self.moved = self._add_counter(
            "peridotcove_requests_moved", "Requests moved to the minter of a ticket."
        )
        self.cached_blocks = self._add_counter(
            "peridotcove_cached_blocks", "Prefix blocks that engines reused."
        )
        self.prompt_blocks = self._add_counter(
            "peridotcove_prompt_blocks", "Prefix blocks sent to engines."
        )
        self.control_bytes = self._add_counter(
            "peridotcove_control_bytes",
            "Bytes between nodes on the wire, headers of TCP and IP included.",
            "way",
            "message",
        )
        self.first_byte = Histogram(
            "peridotcove_first_byte_seconds",
            "Time from arrival to the first byte of the answer.",
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.lease_wait = Histogram(
            "peridotcove_lease_wait_seconds",
            "Time from asking for a lease to its grant or refusal, queueing included.",
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.first_event_ratio = Histogram(
            "peridotcove_first_event_ratio",
            "Time to an engine's first event, seen by expected, at the owner.",
            buckets=RATIO_BUCKETS,
            registry=self.registry,
        )
        self.refused_again = self._add_counter(
            "peridotcove_refused_again",
            "Requests refused for lack of engines that had been refused before.",
        )
        self.attempts = self._add_counter(
            "peridotcove_attempts", "Requests sent to engines, by outcome.", "outcome"
        )
        self.log_lines_dropped = self._add_gauge(
            "peridotcove_log_lines_dropped", "Lines of the log that were not written."
        )
        self.in_progress = self._add_gauge(
            "peridotcove_requests_in_progress", "Requests in progress."
        )
        self.connections_given_up = self._add_counter(
            "peridotcove_connections_given_up",
            "Connections that were refused or closed to bound what all hold.",
            "port",
            "reason",
        )
        self.held_bytes = self._add_gauge(
            "peridotcove_held_bytes", "Bytes held for connections."
        )
        self.held_bytes_limit = self._add_gauge(
            "peridotcove_held_bytes_limit", "Bytes that may be held for connections."
        )
        self.revision = self._add_gauge(
            "peridotcove_configuration_revision",
            "Configuration revision in force, within its epoch.",
        )
        self.epoch = self._add_gauge(
            "peridotcove_configuration_epoch", "Epoch of the revision in force."
        )
        self.refused_revision = self._add_gauge(
            "peridotcove_configuration_refused_revision", "Last refused revision, or 0."
        )
        self.configuration_age = self._add_gauge(
            "peridotcove_configuration_age_seconds",
            "Time since the configuration service or a peer was last heard.",
        )
        self.live_nodes = self._add_gauge(
            "peridotcove_live_nodes", "Nodes of the region believed live."
        )
        self.nodes_by_build = self._add_gauge(
            "peridotcove_nodes_by_build",
            "Nodes by build and protocol, as this node knows them.",
            "build",
            "protocol",
        )
        self.engine_load = self._add_gauge(
            "peridotcove_engine_load", "Leases on an engine, at its owner.", "engine"
        )
        self.engine_backlog = self._add_gauge(
            "peridotcove_engine_backlog_seconds",
            "Time that an engine needs for the prompts it was given, at its owner.",
            "engine",
        )
        self.engine_read_rate = self._add_gauge(
            "peridotcove_engine_read_rate",
            "Prompt tokens that an engine reads in a second, at its owner.",
            "engine",
        )
        self.engine_slowness = self._add_gauge(
            "peridotcove_engine_slowness",
            "How long work takes on an engine's machine now, as a multiple of usual.",
            "engine",
        )
        self.skew = self._add_gauge(
            "peridotcove_shard_skew", "Highest load over mean, at the owner.", "shard"
        )
        self.zone_may_leave = self._add_gauge(
            "peridotcove_zone_may_leave",
            "Share of a zone's requests that may leave it, at the owner.",
            "shard",
            "zone",
        )
        self.zone_left = self._add_gauge(
            "peridotcove_zone_left",
            "Share of a zone's leases on engines of other zones, at the owner.",
            "shard",
            "zone",
            "reason",
        )
        self.quarantined_parts = self._add_gauge(
            "peridotcove_quarantined_parts",
            "Prompt parts that crashed engines and are refused.",
        )
        self.engines_leaving = self._add_counter(
            "peridotcove_engines_leaving",
            "Engines whose answers said that they leave.",
            "engine",
        )
        self.engine_pauses = self._add_counter(
            "peridotcove_engine_pauses",
            "Refusals with a time for which the engine wants no requests.",
            "engine",
        )
        self.notice_faults = self._add_counter(
            "peridotcove_engine_notice_faults",
            "Times in refusals of engines that can't be kept as they are.",
            "engine",
        )
        self.draining = self._add_gauge(
            "peridotcove_draining", "1 while the node leaves."
        )

    def record_first_event(self, expected_ms, seen_ms):
        """Record the expected and the seen time to a first event.

        Parameters
        ----------
        expected_ms, seen_ms : float
            Times in ms; the expected one is at least 1 ms.
        """
        self.first_event_ratio.observe(seen_ms / max(1.0, expected_ms))

    def _add_counter(self, name, text, *labels):
        return Counter(name, text, labels, registry=self.registry)

    def _add_gauge(self, name, text, *labels):
        return Gauge(name, text, labels, registry=self.registry)
