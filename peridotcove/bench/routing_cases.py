"""Cases of the routing bench: fleet sizes, workloads and scripted events."""

from attrs import evolve, frozen

from peridotcove.bench.simulation import SimulationSetup
from peridotcove.bench.workload import WorkloadParameters, make_customers
from peridotcove.models import Bounds, Configuration, Engine, LifecycleStatus, Zone
from peridotcove.registry import Registry

cases = Registry("case")

ENGINE_CAPACITY = 32
MEAN_LOAD = 12
TURNS_PER_CHAT = 8
MEAN_SERVICE_MS = 8_000
MEAN_CHAT_BLOCKS = 60
LONG_PREFIX_BLOCKS = 24
PREFIX_BLOCKS = (4, 8, 12, 16)
CUSTOMER_COUNT = 10
REGION = "r1"
EVENT_AT_MS = 120_000


@frozen
class FleetSize:
    """Size of a fleet and length of its run.

    Attributes
    ----------
    nodes, engines, zones, models : int
        How many there are.
    customers : int
        Customers that send requests.
    pause_ms : int
        Mean of a chat's short pauses in ms.
    warmup_ms, end_ms : int
        Start and end of the measurement in ms.
    """

    nodes: int
    engines: int
    zones: int
    models: int = 1
    customers: int = CUSTOMER_COUNT
    pause_ms: int = 40_000
    warmup_ms: int = 100_000
    end_ms: int = 400_000


SIZE_BY_NAME = {
    "stands": FleetSize(9, 6, 4),
    "gloves": FleetSize(9, 9, 3),
    "region": FleetSize(55, 267, 4, 6, 400, 15_000, 40_000, 60_000),
}


@frozen
class CasePlan:
    """How to run a case at a fleet size.

    Attributes
    ----------
    setup : SimulationSetup
        Engines, nodes and times.
    parameters : WorkloadParameters
        Parameters of the workload.
    window_ms : tuple of int or None
        Start and end of the time in which waits are measured.
    event_at_ms : int or None
        Time after which moved chats are counted.
    """

    setup: SimulationSetup
    parameters: WorkloadParameters
    window_ms: tuple | None = None
    event_at_ms: int | None = None


def make_steady_plan(size, load=MEAN_LOAD, cache_factor=2.0, long_prefixes=False):
    """Return the plan of a steady workload.

    Parameters
    ----------
    size : FleetSize
        Size of the fleet.
    load : float
        Mean load of an engine.
    cache_factor : float
        Total cache size as a multiple of the working set.
    long_prefixes : bool
        Whether two large customers with long prefixes send half the traffic.
    """
    names = [f"customer-{number}" for number in range(size.customers)]
    rate = load * size.engines / MEAN_SERVICE_MS * 1000
    cycle_ms = MEAN_SERVICE_MS + 1.4 * size.pause_ms
    live_chats = int(rate * cycle_ms / 1000)
    blocks = int(cache_factor * live_chats * MEAN_CHAT_BLOCKS / size.engines)
    shares, prefixes = _make_customer_shares(names, long_prefixes)
    models = tuple(f"m{number}" for number in range(size.models))
    parameters = WorkloadParameters(
        rate / TURNS_PER_CHAT, live_chats, size.pause_ms, shares, prefixes, models
    )
    setup = SimulationSetup(
        _make_configuration(size, names, models, blocks),
        REGION,
        {f"node-{number}": f"z{number % size.zones}" for number in range(size.nodes)},
        blocks,
        warmup_ms=size.warmup_ms,
        end_ms=size.end_ms,
    )
    return CasePlan(setup, parameters)


def _make_customer_shares(names, long_prefixes):
    weights = [1.0 / (index + 1) ** 0.8 for index in range(len(names))]
    total = sum(weights)
    shares = {name: w / total for name, w in zip(names, weights, strict=True)}
    prefixes = {
        name: PREFIX_BLOCKS[index % len(PREFIX_BLOCKS)]
        for index, name in enumerate(names)
    }
    if long_prefixes:
        large = names[:2]
        remaining_share = sum(shares[name] for name in names[2:])
        shares = {name: 0.5 * share / remaining_share for name, share in shares.items()}
        shares.update(dict.fromkeys(large, 0.25))
        prefixes.update(dict.fromkeys(large, LONG_PREFIX_BLOCKS))
    return shares, prefixes


def _make_configuration(size, names, models, cache_blocks):
    bounds = Bounds()
    tokens = cache_blocks * bounds.block_chars // 4
    engines = {}
    for number in range(size.engines):
        name = f"engine-{number:03}"
        engines[name] = Engine(
            name,
            f"http://127.0.0.1:{number + 1}",
            f"z{number % size.zones}",
            models[number % len(models)],
            ENGINE_CAPACITY,
            cache_tokens=tokens,
        )
    zones = {f"z{index}": Zone(f"z{index}", REGION) for index in range(size.zones)}
    customers = make_customers(names, 100_000)
    return Configuration(
        1, bounds, zones, engine_by_name=engines, customer_by_name=customers
    )


def _add_script(plan, *steps, **values):
    return evolve(plan, setup=evolve(plan.setup, script=steps), **values)


def _make_status_change(names, status):
    def change_status(simulation):
        for name in names:
            simulated = simulation.simulated_engine_by_name[name]
            simulated.spec = evolve(simulated.spec, status=status)
        simulation.policy.set_engines()

    return change_status


def _list_engine_names(plan):
    return sorted(plan.setup.configuration.engine_by_name)


@cases.register("steady")
def steady(size):
    """Return the plan of a steady workload that measures moved chats.

    Parameters
    ----------
    size : FleetSize
        Size of the fleet.
    """
    return evolve(make_steady_plan(size), event_at_ms=EVENT_AT_MS)


@cases.register("saturday peak")
def saturday_peak(size):
    """Return the plan of a peak, half of it from two customers with long prefixes.

    Parameters
    ----------
    size : FleetSize
        Size of the fleet.
    """
    return make_steady_plan(size, load=1.6 * MEAN_LOAD, long_prefixes=True)


@cases.register("engine joins")
def engine_joins(size):
    """Return the plan in which the last engine joins during the measurement.

    Parameters
    ----------
    size : FleetSize
        Size of the fleet.
    """
    plan = make_steady_plan(size)
    last_engine = _list_engine_names(plan)[-1:]
    return _add_script(
        plan,
        (0, _make_status_change(last_engine, LifecycleStatus.ON_ORDER)),
        (EVENT_AT_MS, _make_status_change(last_engine, LifecycleStatus.IN_SERVICE)),
        event_at_ms=EVENT_AT_MS,
    )


@cases.register("engine leaves")
def engine_leaves(size):
    """Return the plan in which an engine leaves during the measurement.

    Parameters
    ----------
    size : FleetSize
        Size of the fleet.
    """
    plan = make_steady_plan(size)
    leave = _make_status_change(_list_engine_names(plan)[-1:], LifecycleStatus.LEAVING)
    return _add_script(plan, (EVENT_AT_MS, leave), event_at_ms=EVENT_AT_MS)


@cases.register("engine flaps")
def engine_flaps(size):
    """Return the plan in which an engine leaves and returns every 5 s, ten times.

    Parameters
    ----------
    size : FleetSize
        Size of the fleet.
    """
    plan = make_steady_plan(size)
    last_engine = _list_engine_names(plan)[-1:]
    steps = []
    for turn in range(10):
        at_ms = EVENT_AT_MS + turn * 10_000
        steps.append((at_ms, _make_status_change(last_engine, LifecycleStatus.LEAVING)))
        steps.append(
            (
                at_ms + 5_000,
                _make_status_change(last_engine, LifecycleStatus.IN_SERVICE),
            )
        )
    return _add_script(plan, *steps)


@cases.register("a third arrives")
def third_arrives(size):
    """Return the plan in which a third of the engines joins, one after another.

    The joins of a day are compressed into the length of the run.

    Parameters
    ----------
    size : FleetSize
        Size of the fleet.
    """
    plan = make_steady_plan(size, load=MEAN_LOAD * 0.8)
    late_engines = _list_engine_names(plan)[-(size.engines // 3) :]
    steps = [(0, _make_status_change(late_engines, LifecycleStatus.ON_ORDER))]
    gap = (size.end_ms - plan.setup.warmup_ms) // (len(late_engines) + 1)
    for index, name in enumerate(late_engines, 1):
        at_ms = plan.setup.warmup_ms + index * gap
        steps.append((at_ms, _make_status_change([name], LifecycleStatus.IN_SERVICE)))
    return _add_script(plan, *steps)


@cases.register("lists differ")
def lists_differ(size):
    """Return the plan in which half the nodes use other owners for 5 s.

    Parameters
    ----------
    size : FleetSize
        Size of the fleet.
    """
    plan = make_steady_plan(size)
    split_nodes = sorted(plan.setup.zone_by_node)[::2]

    def split(simulation):
        if hasattr(simulation.policy, "split"):
            simulation.policy.split(split_nodes)

    def join(simulation):
        if hasattr(simulation.policy, "join"):
            simulation.policy.join()

    return _add_script(plan, (EVENT_AT_MS, split), (EVENT_AT_MS + 5_000, join))


@cases.register("reports late")
def reports_late(size):
    """Return the plan in which engines' load reports are 2 s old.

    Parameters
    ----------
    size : FleetSize
        Size of the fleet.
    """
    plan = make_steady_plan(size)
    return evolve(plan, setup=evolve(plan.setup, report_lag_ms=2_000))


@cases.register("customer surges")
def customer_surges(size):
    """Return the plan in which a customer sends ten times its load for 90 s.

    Parameters
    ----------
    size : FleetSize
        Size of the fleet.
    """
    plan = make_steady_plan(size)
    window = (EVENT_AT_MS, EVENT_AT_MS + 90_000)
    parameters = evolve(
        plan.parameters, surging="customer-0", surge_factor=10.0, surge_ms=window
    )
    return evolve(plan, parameters=parameters, window_ms=window)


@cases.register("no surge")
def no_surge(size):
    """Return the baseline plan of the surge, without extra requests.

    Parameters
    ----------
    size : FleetSize
        Size of the fleet.
    """
    plan = customer_surges(size)
    return evolve(plan, parameters=evolve(plan.parameters, surge_factor=1.000001))


@cases.register("small caches")
def small_caches(size):
    """Return the plan in which caches hold half the working set.

    Parameters
    ----------
    size : FleetSize
        Size of the fleet.
    """
    return make_steady_plan(size, cache_factor=0.5)


@cases.register("owner replaced")
def owner_replaced(size):
    """Return the plan in which owners without state replace all owners.

    Parameters
    ----------
    size : FleetSize
        Size of the fleet.
    """
    plan = make_steady_plan(size)

    def replace(simulation):
        if hasattr(simulation.policy, "replace_owners"):
            simulation.policy.replace_owners()

    return _add_script(plan, (EVENT_AT_MS, replace), event_at_ms=EVENT_AT_MS)
