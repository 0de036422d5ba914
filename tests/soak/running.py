"""One run of the soak: a fleet, faults drawn from a seed, and what they broke."""

import asyncio
import logging
import pathlib
import random
import tempfile

from attrs import frozen

from tests.soak.faults import FAULTS, Scene
from tests.soak.world import World

# Longest pause in s between the begin of one fault and of the next; faults last up to
# 5 s, so that a few overlap.
MAX_PAUSE_S = 2.5

log = logging.getLogger("soak")


@frozen
class Outcome:
    """What one run gave.

    Attributes
    ----------
    seed : int
        The run's seed.
    faults : tuple of str
        Faults that were injected, in order.
    violations : tuple of Violation
        Promises that were not kept.
    counts : dict
        Answers by kind of request and status.
    """

    seed: int
    faults: tuple
    violations: tuple
    counts: dict


async def run_seed(seed, nodes=4, servers=6, seconds=20.0, folder=None):
    """Run a fleet under the faults of a seed.

    Parameters
    ----------
    seed : int
        Draws the faults and what they hit.
    nodes, servers : int
        Size of the fleet.
    seconds : float
        How long faults are injected.
    folder : str or None
        Where settings and logs of the nodes are kept; deleted at the end when None.
    """
    with tempfile.TemporaryDirectory() as temporary:
        path = pathlib.Path(folder or temporary)
        path.mkdir(parents=True, exist_ok=True)
        rng = random.Random(seed)
        world = World(nodes, servers, path, random.Random(rng.random()))
        injected = []
        try:
            await world.start()
            await _inject(Scene(world, rng), seconds, injected)
            await world.settle()
        finally:
            await world.close()
        promises = world.promises
        return Outcome(
            seed, tuple(injected), tuple(promises.violations), dict(promises.counts)
        )


async def _inject(scene, seconds, injected):
    names = sorted(FAULTS.by_name)
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    async with asyncio.TaskGroup() as group:
        while loop.time() < end:
            name = scene.rng.choice(names)
            injected.append(name)
            log.info("fault %s", name)
            group.create_task(FAULTS.get(name)(scene))
            await asyncio.sleep(scene.rng.uniform(0, MAX_PAUSE_S))
