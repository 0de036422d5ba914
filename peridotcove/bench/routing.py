"""``peridotcove bench routing``: what is run, and the targets it is held against."""

import attrs
from attrs import frozen

from peridotcove.bench import owner_policy  # noqa: F401  (registers its policies)
from peridotcove.bench.cache_index_memory import measure_bytes_per_chat
from peridotcove.bench.policies import policies
from peridotcove.bench.routing_cases import SIZE_BY_NAME, cases
from peridotcove.bench.run_metrics import Measure
from peridotcove.bench.simulation import World
from peridotcove.bench.workload import Workload

PRODUCT = "peridotcove"
BEST = "all-knowing"
UNBOUND = "rendezvous"
BASELINES = ("round-robin", "least-in-flight", UNBOUND, BEST)
SHARING = ("local-bound", "two-choices", "gossip")
EVEN_CASES = ("steady", "saturday peak")
TOKEN_CASES = ("steady", "owner replaced")
EVENTS = ("engine joins", "engine leaves")
# Cases that mean nothing to a policy without owners or reports: their baselines are
# those of the steady state.
OWNER_CASES = ("lists differ", "reports late", "no surge", "owner replaced")
SMALL_SIZES = ("stands", "gloves")
REGION = "region"

REUSE_SHARE = 0.95
REUSE_POINTS = 0.03
MOVED_FACTOR = 1.2
SURGE_FACTOR = 1.2
DECISION_US_P50 = 50
DECISION_US_P99 = 200
STATE_BYTES = 64


@frozen
class Target:
    """One target of one run.

    Attributes
    ----------
    name, case, size : str
        What is asked for, and where.
    limit, measured : float
        The target and what was measured.
    met : bool
        Whether it was met.
    """

    name: str
    case: str
    size: str
    limit: float
    measured: float
    met: bool


def plan_runs():
    """Return triples of case, policy and size, in the order in which they run."""
    runs = []
    for size in SMALL_SIZES:
        for case in cases.by_name:
            names = [PRODUCT] if case in OWNER_CASES else [*BASELINES, PRODUCT]
            if case in EVEN_CASES:
                names.extend(SHARING)
            if case in TOKEN_CASES:
                names.append(f"{PRODUCT}+token")
            runs.extend((case, name, size) for name in names)
    names = (*BASELINES, *SHARING, PRODUCT)
    runs.extend(("steady", name, REGION) for name in names)
    runs.extend(("saturday peak", name, REGION) for name in (UNBOUND, BEST, PRODUCT))
    return runs


def run_one(case, policy, size, seed):
    """Run a case and return its `Row`.

    Parameters
    ----------
    case, policy, size : str
        Names in the registries.
    seed : int
        Seed of the workload.
    """
    plan = cases.get(case)(SIZE_BY_NAME[size])
    bound = plan.setup.configuration.bounds.load_bound
    measure = Measure(bound, plan.shape.surging, plan.window_ms)
    workload = Workload(plan.shape, seed)
    World(plan.setup, workload, policies.get(policy), measure, seed).run()
    return measure.row(case, policy, plan)


def run_all(seed, runs, tell):
    """Run and return the rows and the targets.

    Parameters
    ----------
    seed : int
        Seed of the workload.
    runs : list of tuple
        Triples of case, policy and size.
    tell : callable
        Called with a line of progress.

    Returns
    -------
    rows : dict
        `Row` by case, policy and size.
    targets : list of Target
        All targets for which there are rows.
    """
    row_by_run = {}
    for place, run in enumerate(runs, 1):
        case, policy, size = run
        tell(f"{place}/{len(runs)} {size}: {case}, {policy}")
        row_by_run[run] = run_one(*run, seed)
    return row_by_run, list(
        find_targets(row_by_run, round(measure_bytes_per_chat(), 1))
    )


def find_targets(row_by_run, state):
    """Yield a `Target` for each thing asked for.

    Parameters
    ----------
    row_by_run : dict
        `Row` by case, policy and size.
    state : float
        Bytes of state for each remembered chat.
    """
    for (case, policy, size), row in row_by_run.items():
        if policy != PRODUCT:
            continue
        yield from _reuse_targets(row_by_run, case, size, row)
        if case in EVEN_CASES:
            yield _at_most(
                "requests above the load bound", case, size, 0, row.most_over
            )
        if case in EVENTS:
            yield from _moved_target(row_by_run, case, size, row)
        if case == "customer surges":
            yield from _surge_target(row_by_run, case, size, row)
        if size == REGION:
            low, high = row.decision_us_p50, row.decision_us_p99
            yield _at_most("decision us p50", case, size, DECISION_US_P50, low)
            yield _at_most("decision us p99", case, size, DECISION_US_P99, high)
    if row_by_run:
        yield _at_most("bytes per remembered chat", "state", "-", STATE_BYTES, state)


def _reuse_targets(row_by_run, case, size, row):
    baseline = "steady" if case in OWNER_CASES else case
    best = row_by_run.get((baseline, BEST, size))
    if best is not None:
        limit = round(REUSE_SHARE * best.reuse, 4)
        yield _at_least("reuse, 95% of all-knowing", case, size, limit, row.reuse)
    unbound = row_by_run.get((baseline, UNBOUND, size))
    if unbound is not None:
        limit = round(unbound.reuse - REUSE_POINTS, 4)
        yield _at_least("reuse, rendezvous less 3", case, size, limit, row.reuse)


def _moved_target(row_by_run, case, size, row):
    # Moves caused by the event: those beyond what moves without one.
    usual = row_by_run.get(("steady", PRODUCT, size))
    if usual is not None:
        limit = round(MOVED_FACTOR / row.engines, 4)
        moved = round(row.moved_chats - usual.moved_chats, 4)
        yield _at_most("chats moved by the event", case, size, limit, moved)


def _surge_target(row_by_run, case, size, row):
    usual = row_by_run.get(("no surge", PRODUCT, size))
    if usual is not None:
        limit = round(SURGE_FACTOR * usual.wait_ms_p99, 1)
        name = "other customers' wait ms p99"
        yield _at_most(name, case, size, limit, row.wait_ms_p99)


def _at_most(name, case, size, limit, measured):
    return Target(name, case, size, limit, measured, measured <= limit)


def _at_least(name, case, size, limit, measured):
    return Target(name, case, size, limit, measured, measured >= limit)


def to_json(seed, row_by_run, targets):
    """Return the JSON value of a whole run.

    Parameters
    ----------
    seed : int
        Seed of the workload.
    row_by_run : dict
        `Row` by case, policy and size.
    targets : list of Target
        The targets.
    """
    rows = [
        {"size": size, **attrs.asdict(row)} for (_, _, size), row in row_by_run.items()
    ]
    return {"seed": seed, "rows": rows, "targets": [attrs.asdict(t) for t in targets]}


def format_table(heads, lines):
    """Return lines of text in columns.

    Parameters
    ----------
    heads : list of str
        Heads of the columns.
    lines : list of list
        Values, one list a line.
    """
    texts = [heads, *([str(value) for value in line] for line in lines)]
    widths = [max(len(text[place]) for text in texts) for place in range(len(heads))]
    return "\n".join(
        "  ".join(text.ljust(width) for text, width in zip(row, widths, strict=True))
        for row in texts
    )
