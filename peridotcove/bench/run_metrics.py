"""What a run of the routing bench sees, and the row that it makes of it."""

import math

from attrs import frozen

US_PER_NS = 0.001


@frozen
class Row:
    """One line of the routing bench.

    Attributes
    ----------
    case, policy : str
        What was run.
    nodes, engines, requests : int
        Sizes of the run; requests are those measured.
    reuse : float
        Share of the prompts' blocks that were in the cache.
    skew_p50, skew_p99, skew_max : float
        Highest load over the mean of the model's engines, sampled over time.
    over_bound : float
        Share of samples in which an engine had more than the bound, rounded up.
    most_over : int
        Most requests above the bound in any sample.
    refused : float
        Share of requests refused.
    moved : float
        Share of later turns that ran on another engine than the turn before.
    moved_chats : float
        Share of chats whose first turn after the event of the case ran on another
        engine; 0 without an event.
    bytes_per_node_second : float
        Control bytes that a node sends.
    decision_us_p50, decision_us_p99 : float
        Processor time of a decision in microseconds.
    wait_ms_p50, wait_ms_p99 : float
        Time to the first token in ms, of all but a surging customer.
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


class Measure:
    """Collects what one run shows.

    Parameters
    ----------
    load_bound : float
        The bound that samples are compared with.
    surging : str
        Customer whose waits are left out.
    window_ms : tuple of int or None
        Time in which waits count; all when None.

    Attributes
    ----------
    sent_bytes : int
        Control bytes sent by all nodes.
    decisions_ns : list of int
        Time of each decision in ns.
    samples : list of tuple
        Time in ms and skew of each sample.
    """

    def __init__(self, load_bound, surging="", window_ms=None):
        self.load_bound = load_bound
        self.sent_bytes = 0
        self.decisions_ns = []
        self.samples = []
        self.turns = []
        self._surging = surging
        self._window_ms = window_ms
        self._waits = []
        self._blocks = 0
        self._reused = 0
        self._started = 0
        self._refused = 0
        self._over = 0
        self._most_over = 0

    def start(self, sent, engine, reused, first_ms, clock):
        """Take the start of a request.

        Parameters
        ----------
        sent : Sent
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
        self._started += 1
        if sent.chat.earlier and not sent.chat.engine:
            return
        self._blocks += len(sent.prefixes)
        self._reused += reused
        if sent.chat.engine:
            moved = sent.chat.engine != engine
            self.turns.append((clock.now(), sent.chat.number, moved))
        if sent.request.customer != self._surging and self._counts(clock.now()):
            self._waits.append(first_ms)

    def _counts(self, now_ms):
        window = self._window_ms
        return window is None or window[0] <= now_ms < window[1]

    def refuse(self, sent, code):
        """Take a refusal.

        Parameters
        ----------
        sent : Sent
            The request.
        code : str
            Reason.
        """
        self._refused += 1

    def sample(self, world):
        """Take the loads of all engines.

        Parameters
        ----------
        world : World
            The run.
        """
        fakes_by_model = {}
        for fake in world.open_fakes():
            fakes_by_model.setdefault(fake.spec.model, []).append(fake)
        skew = 1.0
        over = 0
        for fakes in fakes_by_model.values():
            mean = sum(fake.load for fake in fakes) / sum(
                fake.spec.weight for fake in fakes
            )
            for fake in fakes:
                if mean:
                    skew = max(skew, fake.load / (fake.spec.weight * mean))
                bound = math.ceil(self.load_bound * mean * fake.spec.weight)
                over = max(over, fake.load - bound)
        self.samples.append((world.clock.now(), skew))
        self._over += over > 0
        self._most_over = max(self._most_over, over)

    @property
    def reuse(self):
        """Share of the prompts' blocks that were in the cache."""
        return self._reused / max(1, self._blocks)

    def moved_after(self, at_ms):
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

    def row(self, case, policy, plan):
        """Return the line of the run.

        Parameters
        ----------
        case, policy : str
            What was run.
        plan : Plan
            How it was run.
        """
        setup = plan.setup
        chats = 0.0 if plan.event_ms is None else self.moved_after(plan.event_ms)
        skews = [skew for _, skew in self.samples]
        seconds = setup.end_ms / 1000
        nodes = len(setup.zone_by_node)
        moved = sum(moved for _, _, moved in self.turns) / max(1, len(self.turns))
        total = self._started + self._refused
        times = [time * US_PER_NS for time in self.decisions_ns]
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
            round(self._over / max(1, len(skews)), 4),
            self._most_over,
            round(self._refused / max(1, total), 4),
            round(moved, 4),
            round(chats, 4),
            round(self.sent_bytes / nodes / seconds, 1),
            round(percentile(times, 50), 1),
            round(percentile(times, 99), 1),
            round(percentile(self._waits, 50), 1),
            round(percentile(self._waits, 99), 1),
        )


def percentile(values, share):
    """Return the value that a share in percent of the values does not exceed.

    Parameters
    ----------
    values : list of float
        The values; 0 is returned for none.
    share : float
        Percent, 0 to 100.
    """
    if not values:
        return 0.0
    place = math.ceil(len(values) * share / 100) - 1
    return sorted(values)[max(0, place)]
