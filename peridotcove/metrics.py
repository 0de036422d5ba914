"""Prometheus metrics of one node."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

SECONDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30)


class Metrics:
    """All metrics of one node, in a registry of their own."""

    def __init__(self):
        self.registry = CollectorRegistry()
        self.requests = self._count(
            "peridotcove_requests", "Requests by kind and outcome.", "kind", "outcome"
        )
        self.verdicts = self._count(
            "peridotcove_verdicts", "Answers by verdict.", "verdict"
        )
        self.retries = self._count("peridotcove_retries", "Requests sent again.")
        self.moved = self._count(
            "peridotcove_requests_moved", "Requests moved to the minter of a ticket."
        )
        self.cached_blocks = self._count(
            "peridotcove_cached_blocks", "Prefix blocks that engines reused."
        )
        self.prompt_blocks = self._count(
            "peridotcove_prompt_blocks", "Prefix blocks sent to engines."
        )
        self.control_bytes = self._count(
            "peridotcove_control_bytes",
            "Bytes between nodes on the wire, headers of TCP and IP included.",
            "way",
            "message",
        )
        self.first_byte = Histogram(
            "peridotcove_first_byte_seconds",
            "Time from arrival to the first byte of the answer.",
            buckets=SECONDS,
            registry=self.registry,
        )
        self.lease_wait = Histogram(
            "peridotcove_lease_wait_seconds",
            "Time from asking for a lease to its grant or refusal, queueing included.",
            buckets=SECONDS,
            registry=self.registry,
        )
        self.attempts = self._count(
            "peridotcove_attempts", "Requests sent to engines, by outcome.", "outcome"
        )
        self.log_lines_dropped = self._level(
            "peridotcove_log_lines_dropped", "Lines of the log that were not written."
        )
        self.in_progress = self._level(
            "peridotcove_requests_in_progress", "Requests in progress."
        )
        self.revision = self._level(
            "peridotcove_configuration_revision", "Configuration revision in force."
        )
        self.refused_revision = self._level(
            "peridotcove_configuration_refused_revision", "Last refused revision, or 0."
        )
        self.configuration_age = self._level(
            "peridotcove_configuration_age_seconds",
            "Time since the configuration service or a peer was last heard.",
        )
        self.live_nodes = self._level(
            "peridotcove_live_nodes", "Nodes of the region believed live."
        )
        self.engine_load = self._level(
            "peridotcove_engine_load", "Leases on an engine, at its owner.", "engine"
        )
        self.skew = self._level(
            "peridotcove_shard_skew", "Highest load over mean, at the owner.", "shard"
        )
        self.draining = self._level("peridotcove_draining", "1 while the node leaves.")

    def _count(self, name, text, *labels):
        return Counter(name, text, labels, registry=self.registry)

    def _level(self, name, text, *labels):
        return Gauge(name, text, labels, registry=self.registry)
