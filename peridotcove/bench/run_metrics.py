"""Metrics of one run of the routing bench, and the row computed from them."""

import math

from attrs import frozen

US_PER_NS = 0.001


@frozen
class Row:
    """One row of the routing bench's report.

    Attributes
    ----------
    case, policy : str
        Names of the case and the policy.
    nodes, engines, requests : int
        Sizes of the run; requests after the warm-up are counted.
    reuse : float
        Share of the prompts' blocks that were in the cache.
    skew_p50, skew_p99, skew_max : float
        Percentiles over time of the highest load over the mean of the model's engines.
    over_bound : float
        Share of samples in which an engine exceeded the load bound, rounded up.
    most_over : int
        Largest number of requests above the bound in any sample.
    refused : float
        Share of requests refused.
    moved : float
        Share of later turns that ran on another engine than the turn before.
    moved_chats : float
        Share of chats whose first turn after the event of the case ran on another
        engine; 0 without an event.
    bytes_per_node_second : float
        Control bytes that a node sends per second.
    decision_us_p50, decision_us_p99 : float
        Processor time of a decision in microseconds.
    wait_ms_p50, wait_ms_p99 : float
        Time to the first token in ms, without the surging customer's requests.
    """

    case: str
    policy: str
    nodes: int
    engines: int
    requests: int
    reuse: float
    skew_p50: float
    skew_p99: float
    skew_max: float
    over_bound: float
    most_over: int
    refused: float
    moved: float
    moved_chats: float
    bytes_per_node_second: float
    decision_us_p50: float
    decision_us_p99: float
    wait_ms_p50: float
    wait_ms_p99: float


class RunMetrics:
    """Collects the metrics of one run.

    Parameters
    ----------
    load_bound : float
        Highest allowed load of an engine, as a multiple of the mean.
    surging : str
        Customer whose waits are excluded, or empty.
    window_ms : tuple of int or None
        Start and end of the time in which waits are recorded; None for all.

    Attributes
    ----------
    sent_bytes : int
        Control bytes sent by all nodes.
    decision_times_ns : list of int
        Time of each decision in ns.
    skew_samples : list of tuple
        Time in ms and skew of each sample.
    """

    def __init__(self, load_bound, surging="", window_ms=None):
        self.load_bound = load_bound
        self.sent_bytes = 0
        self.decision_times_ns = []
        self.skew_samples = []
        self.turns = []
        self._surging = surging
        self._window_ms = window_ms
        self._waits_ms = []
        self._prompt_blocks = 0
        self._reused_blocks = 0
        self._started_count = 0
        self._refused_count = 0
        self._over_bound_count = 0
        self._most_over = 0

    def record_start(self, pending, engine, reused, first_ms, clock):
        """Record the start of a request.

        Parameters
        ----------
        pending : RequestInProgress
            The request.
        engine : str
            Engine that runs it.
        reused : int
            Blocks found in its cache.
        first_ms : int
            Time to the first token in ms.
        clock : Clock
            The clock.
        """
        self._started_count += 1
        if pending.chat.started_earlier and not pending.chat.engine:
            return
        self._prompt_blocks += len(pending.prefixes)
        self._reused_blocks += reused
        if pending.chat.engine:
            moved = pending.chat.engine != engine
            self.turns.append((clock.now(), pending.chat.number, moved))
        if pending.request.customer != self._surging and self._is_in_window(
            clock.now()
        ):
            self._waits_ms.append(first_ms)

    def _is_in_window(self, now_ms):
        window = self._window_ms
        return window is None or window[0] <= now_ms < window[1]

    def record_refusal(self, pending, code):
        """Record a refusal.

        Parameters
        ----------
        pending : RequestInProgress
            The request.
        code : str
            Reason.
        """
        self._refused_count += 1

    def sample_loads(self, simulation):
        """Sample the loads of all available engines.

        Parameters
        ----------
        simulation : Simulation
            The run.
        """
        engines_by_model = {}
        for simulated in simulation.list_available_engines():
            engines_by_model.setdefault(simulated.spec.model, []).append(simulated)
        skew = 1.0
        over = 0
        for available in engines_by_model.values():
            mean = sum(simulated.load for simulated in available) / sum(
                simulated.spec.weight for simulated in available
            )
            for simulated in available:
                if mean:
                    skew = max(skew, simulated.load / (simulated.spec.weight * mean))
                bound = math.ceil(self.load_bound * mean * simulated.spec.weight)
                over = max(over, simulated.load - bound)
        self.skew_samples.append((simulation.clock.now(), skew))
        self._over_bound_count += over > 0
        self._most_over = max(self._most_over, over)

    @property
    def reuse(self):
        """Share of the prompts' blocks that were in the cache."""
        return self._reused_blocks / max(1, self._prompt_blocks)

    def compute_moved_share(self, at_ms):
        """Return the share of chats that moved on their first turn after a time.

        Parameters
        ----------
        at_ms : int
            Time in ms.
        """
        first_by_chat = {}
        for now, number, moved in self.turns:
            if now >= at_ms:
                first_by_chat.setdefault(number, moved)
        return sum(first_by_chat.values()) / max(1, len(first_by_chat))

    def make_row(self, case, policy, plan):
        """Return the row of the run.

        Parameters
        ----------
        case, policy : str
            Names of the case and the policy.
        plan : CasePlan
            Plan of the run.
        """
        setup = plan.setup
        chats = (
            0.0
            if plan.event_at_ms is None
            else self.compute_moved_share(plan.event_at_ms)
        )
        skews = [skew for _, skew in self.skew_samples]
        seconds = setup.end_ms / 1000
        nodes = len(setup.zone_by_node)
        moved = sum(moved for _, _, moved in self.turns) / max(1, len(self.turns))
        total = self._started_count + self._refused_count
        times = [time * US_PER_NS for time in self.decision_times_ns]
        return Row(
            case,
            policy,
            nodes,
            len(setup.configuration.engine_by_name),
            total,
            round(self.reuse, 4),
            round(percentile(skews, 50), 3),
            round(percentile(skews, 99), 3),
            round(max(skews, default=0.0), 3),
            round(self._over_bound_count / max(1, len(skews)), 4),
            self._most_over,
            round(self._refused_count / max(1, total), 4),
            round(moved, 4),
            round(chats, 4),
            round(self.sent_bytes / nodes / seconds, 1),
            round(percentile(times, 50), 1),
            round(percentile(times, 99), 1),
            round(percentile(self._waits_ms, 50), 1),
            round(percentile(self._waits_ms, 99), 1),
        )


def percentile(values, percent):
    """Return a percentile of values (nearest rank).

    Parameters
    ----------
    values : list of float
        The values; 0 is returned for none.
    percent : float
        Percent, 0 to 100.
    """
    if not values:
        return 0.0
    index = math.ceil(len(values) * percent / 100) - 1
    return sorted(values)[max(0, index)]
