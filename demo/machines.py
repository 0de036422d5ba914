"""Demo of the platform interface: what callers get while nodes stop and restart.

Usage: ``python demo/machines.py`` in the repository.
"""

import asyncio
import pathlib
import random
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from tests.soak.world import OK, World

NODES = 3
SERVERS = 4
PHASE_S = 3.0


def _print_counts(text, world):
    counts = world.promises.counts
    served = sum(count for (_, status), count in counts.items() if status == OK)
    print(f"{text}: {sum(counts.values())} requests, {served} served", flush=True)


async def main():
    """Run the demo and return its exit code: 1 if a guarantee was violated."""
    with tempfile.TemporaryDirectory() as folder:
        world = World(NODES, SERVERS, pathlib.Path(folder), random.Random(1))
        try:
            await world.start()
            await asyncio.sleep(PHASE_S)
            _print_counts(f"{NODES} nodes, {SERVERS} servers", world)
            world.publish()
            await asyncio.sleep(PHASE_S)
            _print_counts("a new configuration", world)
            node = world.ways[0].node
            trouble = world.promises.begin_trouble(node.label, planned=True)
            node.terminate()
            await node.wait()
            await world.start_node(node)
            world.promises.end_trouble(trouble)
            await asyncio.sleep(PHASE_S)
            _print_counts("a node left and restarted", world)
            node = world.ways[1].node
            trouble = world.promises.begin_trouble(node.label)
            node.kill()
            await node.wait()
            await world.start_node(node)
            world.promises.end_trouble(trouble)
            await asyncio.sleep(PHASE_S)
            _print_counts("a node was killed and restarted", world)
            await world.settle()
        finally:
            await world.close()
    for violation in world.promises.violations:
        print(f"{violation.promise}: {violation.detail}")
    return 1 if world.promises.violations else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
