"""One run of the soak: a fleet, faults drawn from a seed, and what they broke."""

import asyncio
import logging
import pathlib
import random
import tempfile

from attrs import frozen

from tests.soak.faults import FAULTS, Scene
from tests.soak.fleet import SoakFleet

# Longest pauses in s between the begin of one fault and of the next, of which a seed
# draws one. Faults last up to 5 s: with the first some overlap at any time, with the
# last there are calm spans, in which more is promised.
MAX_PAUSES_S = (1.5, 3.0, 6.0)
# Planned work and failing servers, after which most can go wrong, come more often.
WEIGHT_BY_FAULT = {"publish": 3, "replace-server": 3, "bad-server": 3, "terminate": 2}

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
    answer_counts : dict
        Answers by kind of request and status.
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
        Draws the faults and what they hit.
    nodes, servers : int
        Size of the fleet.
    seconds : float
        How long faults are injected.
    folder : str or None
        Where settings and logs of the nodes are kept; deleted at the end when None.
    script : sequence of str
        Names of the faults to inject in order; drawn from the seed when empty.
    """
    with tempfile.TemporaryDirectory() as temporary:
        path = pathlib.Path(folder or temporary)
        path.mkdir(parents=True, exist_ok=True)
        rng = random.Random(seed)
        fleet = SoakFleet(nodes, servers, path, random.Random(rng.random()))
        injected = []
        try:
            await fleet.start()
            await _inject(Scene(fleet, rng), seconds, script, injected)
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


async def _inject(scene, seconds, script, injected):
    max_pause_s = scene.rng.choice(MAX_PAUSES_S)
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    async with asyncio.TaskGroup() as group:
        for name in script or _draw(scene.rng):
            injected.append(name)
            log.info("fault %s", name)
            group.create_task(FAULTS.get(name)(scene))
            await asyncio.sleep(scene.rng.uniform(0, max_pause_s))
            if loop.time() >= end:
                break


def _draw(rng):
    names = sorted(FAULTS.by_name)
    weights = [WEIGHT_BY_FAULT.get(name, 1) for name in names]
    while True:
        yield rng.choices(names, weights)[0]
