"""The runs of ``peridotcove bench routing`` and their targets."""

import attrs
from attrs import frozen

from peridotcove.bench import owner_policy  # noqa: F401  (registers its policies)
from peridotcove.bench.cache_index_memory import measure_bytes_per_chat
from peridotcove.bench.policies import policies
from peridotcove.bench.routing_cases import SIZE_BY_NAME, cases
from peridotcove.bench.run_metrics import RunMetrics
from peridotcove.bench.simulation import Simulation
from peridotcove.bench.workload import Workload

PRODUCT = "peridotcove"
ORACLE = "all-knowing"
UNBOUNDED = "rendezvous"
BASELINES = ("round-robin", "least-in-flight", UNBOUNDED, ORACLE)
LOAD_SHARING_POLICIES = ("local-bound", "two-choices", "gossip")
EVEN_CASES = ("steady", "saturday peak")
TOKEN_CASES = ("steady", "owner replaced")
EVENT_CASES = ("engine joins", "engine leaves")
# Cases that do not affect policies without owners or reports; their baselines are
# taken from the steady case.
OWNER_CASES = ("lists differ", "reports late", "no surge", "owner replaced")
SMALL_SIZES = ("stands", "gloves")
REGION = "region"

MIN_REUSE_SHARE = 0.95
MAX_REUSE_LOSS = 0.03
MAX_MOVED_FACTOR = 1.2
MAX_SURGE_FACTOR = 1.2
MAX_DECISION_US_P50 = 50
MAX_DECISION_US_P99 = 200
MAX_BYTES_PER_CHAT = 64


@frozen
class Target:
    """One target of one run.

    Attributes
    ----------
    name, case, size : str
        Name of the target, and the case and size to which it applies.
    limit, measured : float
        The limit and the measured value.
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
                names.extend(LOAD_SHARING_POLICIES)
            if case in TOKEN_CASES:
                names.append(f"{PRODUCT}+token")
            runs.extend((case, name, size) for name in names)
    names = (*BASELINES, *LOAD_SHARING_POLICIES, PRODUCT)
    runs.extend(("steady", name, REGION) for name in names)
    runs.extend(
        ("saturday peak", name, REGION) for name in (UNBOUNDED, ORACLE, PRODUCT)
    )
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
    metrics = RunMetrics(bound, plan.parameters.surging, plan.window_ms)
    workload = Workload(plan.parameters, seed)
    Simulation(plan.setup, workload, policies.get(policy), metrics, seed).run()
    return metrics.make_row(case, policy, plan)


def run_cases(seed, runs, print_progress):
    """Run cases and return their rows and targets.

    Parameters
    ----------
    seed : int
        Seed of the workload.
    runs : list of tuple
        Triples of case, policy and size.
    print_progress : callable
        Called with each line of progress.

    Returns
    -------
    rows : dict
        `Row` by case, policy and size.
    targets : list of Target
        All targets for which there are rows.
    """
    row_by_run = {}
    for index, run in enumerate(runs, 1):
        case, policy, size = run
        print_progress(f"{index}/{len(runs)} {size}: {case}, {policy}")
        row_by_run[run] = run_one(*run, seed)
    return row_by_run, list(
        evaluate_targets(row_by_run, round(measure_bytes_per_chat(), 1))
    )


def evaluate_targets(row_by_run, bytes_per_chat):
    """Yield each `Target` for which rows exist.

    Parameters
    ----------
    row_by_run : dict
        `Row` by case, policy and size.
    bytes_per_chat : float
        Bytes of the cache index per remembered chat.
    """
    for (case, policy, size), row in row_by_run.items():
        if policy != PRODUCT:
            continue
        yield from _make_reuse_targets(row_by_run, case, size, row)
        if case in EVEN_CASES:
            yield _at_most(
                "requests above the load bound", case, size, 0, row.most_over
            )
        if case in EVENT_CASES:
            yield from _make_moved_target(row_by_run, case, size, row)
        if case == "customer surges":
            yield from _make_surge_target(row_by_run, case, size, row)
        if size == REGION:
            low, high = row.decision_us_p50, row.decision_us_p99
            yield _at_most("decision us p50", case, size, MAX_DECISION_US_P50, low)
            yield _at_most("decision us p99", case, size, MAX_DECISION_US_P99, high)
    if row_by_run:
        yield _at_most(
            "bytes per remembered chat",
            "state",
            "-",
            MAX_BYTES_PER_CHAT,
            bytes_per_chat,
        )


def _make_reuse_targets(row_by_run, case, size, row):
    baseline = "steady" if case in OWNER_CASES else case
    oracle = row_by_run.get((baseline, ORACLE, size))
    if oracle is not None:
        limit = round(MIN_REUSE_SHARE * oracle.reuse, 4)
        yield _at_least("reuse, 95% of all-knowing", case, size, limit, row.reuse)
    unbounded = row_by_run.get((baseline, UNBOUNDED, size))
    if unbounded is not None:
        limit = round(unbounded.reuse - MAX_REUSE_LOSS, 4)
        yield _at_least("reuse, rendezvous less 3", case, size, limit, row.reuse)


def _make_moved_target(row_by_run, case, size, row):
    # Chats moved by the event: the share above that of the steady case.
    reference = row_by_run.get(("steady", PRODUCT, size))
    if reference is not None:
        limit = round(MAX_MOVED_FACTOR / row.engines, 4)
        moved = round(row.moved_chats - reference.moved_chats, 4)
        yield _at_most("chats moved by the event", case, size, limit, moved)


def _make_surge_target(row_by_run, case, size, row):
    reference = row_by_run.get(("no surge", PRODUCT, size))
    if reference is not None:
        limit = round(MAX_SURGE_FACTOR * reference.wait_ms_p99, 1)
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


def format_table(headings, lines):
    """Return a text table with aligned columns.

    Parameters
    ----------
    headings : list of str
        Headings of the columns.
    lines : list of list
        Values, one list per line.
    """
    texts = [headings, *([str(value) for value in line] for line in lines)]
    widths = [max(len(text[index]) for text in texts) for index in range(len(headings))]
    return "\n".join(
        "  ".join(text.ljust(width) for text, width in zip(row, widths, strict=True))
        for row in texts
    )
