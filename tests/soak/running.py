"""One run of the soak: faults drawn from a seed are injected into a fleet."""

import asyncio
import logging
import pathlib
import random
import tempfile

from attrs import frozen

from tests.soak.faults import FAULTS, FaultContext
from tests.soak.fleet import SoakFleet

# Each seed draws one of these as its maximum interval in s between the starts of two
# faults. Faults last up to 5 s: with the shortest interval some always overlap; with
# the longest there are periods without a fault, in which stricter promises apply.
MAX_INTERVALS_S = (1.5, 3.0, 6.0)
# Planned changes and failing servers are drawn more often, since they can break most.
WEIGHT_BY_FAULT = {"publish": 3, "replace-server": 3, "bad-server": 3, "terminate": 2}

log = logging.getLogger("soak")


@frozen
class Outcome:
    """Result of one run.

    Attributes
    ----------
    seed : int
        The run's seed.
    faults : tuple of str
        Names of the injected faults, in order.
    violations : tuple of Violation
        Broken promises.
    answer_counts : dict
        Number of answers by kind of request and status.
    """

    seed: int
    faults: tuple
    violations: tuple
    answer_counts: dict


async def run_seed(seed, nodes=4, servers=6, seconds=20.0, folder=None, script=()):
    """Run a fleet under the faults of a seed.

    Parameters
    ----------
    seed : int
        Seed for the faults and for which nodes and servers they affect.
    nodes, servers : int
        Number of nodes and of servers.
    seconds : float
        How long faults are injected.
    folder : str or None
        Folder that keeps settings and logs of the nodes; if None, they are deleted at
        the end.
    script : sequence of str
        Names of the faults to inject, in order; if empty, they are drawn from the seed.
    """
    with tempfile.TemporaryDirectory() as temporary:
        folder_path = pathlib.Path(folder or temporary)
        folder_path.mkdir(parents=True, exist_ok=True)
        rng = random.Random(seed)
        fleet = SoakFleet(nodes, servers, folder_path, random.Random(rng.random()))
        injected = []
        try:
            await fleet.start()
            await _inject_faults(FaultContext(fleet, rng), seconds, script, injected)
            await fleet.check_recovery()
        finally:
            await fleet.close()
        promises = fleet.promises
        return Outcome(
            seed,
            tuple(injected),
            tuple(promises.violations),
            dict(promises.answer_counts),
        )


async def _inject_faults(context, seconds, script, injected):
    max_interval_s = context.rng.choice(MAX_INTERVALS_S)
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    async with asyncio.TaskGroup() as group:
        for name in script or _draw_fault_names(context.rng):
            injected.append(name)
            log.info("injecting the fault %s", name)
            group.create_task(FAULTS.get(name)(context))
            await asyncio.sleep(context.rng.uniform(0, max_interval_s))
            if loop.time() >= end:
                break


def _draw_fault_names(rng):
    names = sorted(FAULTS.by_name)
    weights = [WEIGHT_BY_FAULT.get(name, 1) for name in names]
    while True:
        yield rng.choices(names, weights)[0]
