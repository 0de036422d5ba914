"""Cases of the routing bench: sizes, workloads and what happens in them."""

from attrs import evolve, frozen

from peridotcove.bench.simulation import Setup
from peridotcove.bench.workload import Shape, make_customers
from peridotcove.models import Bounds, Configuration, Engine, LifecycleStatus, Zone
from peridotcove.registry import Registry

cases = Registry("case")

CAPACITY = 32
MEAN_LOAD = 12
TURNS = 8
SERVICE_MS = 8_000
MEAN_CHAT_BLOCKS = 60
LONG_PREFIX_BLOCKS = 24
PREFIX_BLOCKS = (4, 8, 12, 16)
CUSTOMERS = 10
REGION = "r1"
EVENT_MS = 120_000


@frozen
class Size:
    """A size of the fleet.

    Attributes
    ----------
    nodes, engines, zones, models : int
        How many there are.
    customers : int
        Customers in use.
    pause_ms : int
        Mean of most pauses of a chat in ms.
    warm_ms, end_ms : int
        Start and end of the measurement in ms.
    """

    nodes: int
    engines: int
    zones: int
    models: int = 1
    customers: int = CUSTOMERS
    pause_ms: int = 40_000
    warm_ms: int = 100_000
    end_ms: int = 400_000


SIZE_BY_NAME = {
    "stands": Size(9, 6, 4),
    "gloves": Size(9, 9, 3),
    "region": Size(55, 267, 4, 6, 400, 15_000, 40_000, 60_000),
}


@frozen
class Plan:
    """A case at a size: how to run it.

    Attributes
    ----------
    setup : Setup
        Engines, nodes and times.
    shape : Shape
        The workload.
    window_ms : tuple of int or None
        Time in which waits count.
    event_ms : int or None
        Time after which moved chats are counted.
    """

    setup: Setup
    shape: Shape
    window_ms: tuple | None = None
    event_ms: int | None = None


def make_plan(size, load=MEAN_LOAD, cache_factor=2.0, long_prefixes=False):
    """Return the plan of the steady state.

    Parameters
    ----------
    size : Size
        The size.
    load : float
        Mean load of an engine.
    cache_factor : float
        Size of all caches as a multiple of the working set.
    long_prefixes : bool
        Whether two large customers with long prefixes take half the traffic.
    """
    names = [f"customer-{number}" for number in range(size.customers)]
    rate = load * size.engines / SERVICE_MS * 1000
    cycle_ms = SERVICE_MS + 1.4 * size.pause_ms
    live_chats = int(rate * cycle_ms / 1000)
    blocks = int(cache_factor * live_chats * MEAN_CHAT_BLOCKS / size.engines)
    shares, prefixes = _make_shares(names, long_prefixes)
    models = tuple(f"m{number}" for number in range(size.models))
    shape = Shape(rate / TURNS, live_chats, size.pause_ms, shares, prefixes, models)
    setup = Setup(
        _make_configuration(size, names, models, blocks),
        REGION,
        {f"node-{number}": f"z{number % size.zones}" for number in range(size.nodes)},
        blocks,
        warm_ms=size.warm_ms,
        end_ms=size.end_ms,
    )
    return Plan(setup, shape)


def _make_shares(names, long_prefixes):
    weights = [1.0 / (place + 1) ** 0.8 for place in range(len(names))]
    total = sum(weights)
    shares = {name: w / total for name, w in zip(names, weights, strict=True)}
    prefixes = {
        name: PREFIX_BLOCKS[place % len(PREFIX_BLOCKS)]
        for place, name in enumerate(names)
    }
    if long_prefixes:
        large = names[:2]
        rest = sum(shares[name] for name in names[2:])
        shares = {name: 0.5 * share / rest for name, share in shares.items()}
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
            CAPACITY,
            cache_tokens=tokens,
        )
    zones = {f"z{place}": Zone(f"z{place}", REGION) for place in range(size.zones)}
    customers = make_customers(names, 100_000)
    return Configuration(
        1, bounds, zones, engine_by_name=engines, customer_by_name=customers
    )


def _with_script(plan, *steps, **values):
    return evolve(plan, setup=evolve(plan.setup, script=steps), **values)


def _set_status(names, status):
    def act(world):
        for name in names:
            fake = world.fake_by_engine[name]
            fake.spec = evolve(fake.spec, status=status)
        world.policy.set_engines()

    return act


def _names(plan):
    return sorted(plan.setup.configuration.engine_by_name)


@cases.register("steady")
def steady(size):
    """Return the plan of an even workload.

    Parameters
    ----------
    size : Size
        The size.
    """
    return evolve(make_plan(size), event_ms=EVENT_MS)


@cases.register("saturday peak")
def saturday_peak(size):
    """Return the plan of a peak: two customers with long prefixes take half of it.

    Parameters
    ----------
    size : Size
        The size.
    """
    return make_plan(size, load=1.6 * MEAN_LOAD, long_prefixes=True)


@cases.register("engine joins")
def engine_joins(size):
    """Return the plan in which the last engine joins halfway.

    Parameters
    ----------
    size : Size
        The size.
    """
    plan = make_plan(size)
    last = _names(plan)[-1:]
    return _with_script(
        plan,
        (0, _set_status(last, LifecycleStatus.ON_ORDER)),
        (EVENT_MS, _set_status(last, LifecycleStatus.IN_SERVICE)),
        event_ms=EVENT_MS,
    )


@cases.register("engine leaves")
def engine_leaves(size):
    """Return the plan in which an engine leaves halfway.

    Parameters
    ----------
    size : Size
        The size.
    """
    plan = make_plan(size)
    leave = _set_status(_names(plan)[-1:], LifecycleStatus.LEAVING)
    return _with_script(plan, (EVENT_MS, leave), event_ms=EVENT_MS)


@cases.register("engine flaps")
def engine_flaps(size):
    """Return the plan in which an engine leaves and returns every 5 s, ten times.

    Parameters
    ----------
    size : Size
        The size.
    """
    plan = make_plan(size)
    last = _names(plan)[-1:]
    steps = []
    for turn in range(10):
        at_ms = EVENT_MS + turn * 10_000
        steps.append((at_ms, _set_status(last, LifecycleStatus.LEAVING)))
        steps.append((at_ms + 5_000, _set_status(last, LifecycleStatus.IN_SERVICE)))
    return _with_script(plan, *steps)


@cases.register("a third arrives")
def third_arrives(size):
    """Return the plan in which a third of the engines arrives, one after another.

    A day is shortened to the length of the run.

    Parameters
    ----------
    size : Size
        The size.
    """
    plan = make_plan(size, load=MEAN_LOAD * 0.8)
    late = _names(plan)[-(size.engines // 3) :]
    steps = [(0, _set_status(late, LifecycleStatus.ON_ORDER))]
    gap = (size.end_ms - plan.setup.warm_ms) // (len(late) + 1)
    for place, name in enumerate(late, 1):
        at_ms = plan.setup.warm_ms + place * gap
        steps.append((at_ms, _set_status([name], LifecycleStatus.IN_SERVICE)))
    return _with_script(plan, *steps)


@cases.register("lists differ")
def lists_differ(size):
    """Return the plan in which half the nodes believe in other owners for 5 s.

    Parameters
    ----------
    size : Size
        The size.
    """
    plan = make_plan(size)
    rivals = sorted(plan.setup.zone_by_node)[::2]

    def split(world):
        if hasattr(world.policy, "split"):
            world.policy.split(rivals)

    def join(world):
        if hasattr(world.policy, "join"):
            world.policy.join()

    return _with_script(plan, (EVENT_MS, split), (EVENT_MS + 5_000, join))


@cases.register("reports late")
def reports_late(size):
    """Return the plan in which engines' reports are 2 s old.

    Parameters
    ----------
    size : Size
        The size.
    """
    plan = make_plan(size)
    return evolve(plan, setup=evolve(plan.setup, report_lag_ms=2_000))


@cases.register("customer surges")
def customer_surges(size):
    """Return the plan in which a customer sends ten times as much for 90 s.

    Parameters
    ----------
    size : Size
        The size.
    """
    plan = make_plan(size)
    window = (EVENT_MS, EVENT_MS + 90_000)
    shape = evolve(plan.shape, surging="customer-0", surge_factor=10.0, surge_ms=window)
    return evolve(plan, shape=shape, window_ms=window)


@cases.register("no surge")
def no_surge(size):
    """Return the plan that the surge is compared with.

    Parameters
    ----------
    size : Size
        The size.
    """
    plan = customer_surges(size)
    return evolve(plan, shape=evolve(plan.shape, surge_factor=1.000001))


@cases.register("small caches")
def small_caches(size):
    """Return the plan with caches half as large as the working set.

    Parameters
    ----------
    size : Size
        The size.
    """
    return make_plan(size, cache_factor=0.5)


@cases.register("owner replaced")
def owner_replaced(size):
    """Return the plan in which new owners, which know nothing, take over halfway.

    Parameters
    ----------
    size : Size
        The size.
    """
    plan = make_plan(size)

    def replace(world):
        if hasattr(world.policy, "replace_owners"):
            world.policy.replace_owners()

    return _with_script(plan, (EVENT_MS, replace), event_ms=EVENT_MS)
