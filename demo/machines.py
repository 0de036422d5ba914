"""Nodes on stand-ins of the users' machines: what callers get while nodes go and come.

Usage: ``python demo/machines.py`` in the repository.
"""

import asyncio
import pathlib
import random
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from tests.soak.fleet import OK, SoakFleet

NODES = 3
SERVERS = 4
SERVED_S = 3.0


def _print(text, fleet):
    answer_counts = fleet.promises.answer_counts
    served = sum(count for (_, status), count in answer_counts.items() if status == OK)
    print(
        f"{text}: {sum(answer_counts.values())} requests, {served} served", flush=True
    )


async def main():
    """Run the demonstration and return its exit code: 1 if a promise was broken."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = SoakFleet(NODES, SERVERS, pathlib.Path(folder), random.Random(1))
        try:
            await fleet.start()
            await asyncio.sleep(SERVED_S)
            _print(f"{NODES} nodes, {SERVERS} servers", fleet)
            fleet.publish_configuration()
            await asyncio.sleep(SERVED_S)
            _print("a new configuration", fleet)
            node = fleet.store_links[0].node
            disruption = fleet.promises.begin_disruption(node.label, planned=True)
            node.terminate()
            await node.wait()
            await fleet.start_node(node)
            fleet.promises.end_disruption(disruption)
            await asyncio.sleep(SERVED_S)
            _print("a node left and is back", fleet)
            node = fleet.store_links[1].node
            disruption = fleet.promises.begin_disruption(node.label)
            node.kill()
            await node.wait()
            await fleet.start_node(node)
            fleet.promises.end_disruption(disruption)
            await asyncio.sleep(SERVED_S)
            _print("a node was killed and is back", fleet)
            await fleet.check_recovery()
        finally:
            await fleet.close()
    for violation in fleet.promises.violations:
        print(f"{violation.promise}: {violation.detail}")
    return 1 if fleet.promises.violations else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
