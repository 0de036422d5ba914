"""Demo of the platform interface: what callers get while nodes stop and restart.

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
PHASE_S = 3.0


def _print_counts(text, fleet):
    answer_counts = fleet.promises.answer_counts
    served = sum(count for (_, status), count in answer_counts.items() if status == OK)
    print(
        f"{text}: {sum(answer_counts.values())} requests, {served} served", flush=True
    )


async def main():
    """Run the demo and return its exit code: 1 if a guarantee was violated."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = SoakFleet(NODES, SERVERS, pathlib.Path(folder), random.Random(1))
        try:
            await fleet.start()
            await asyncio.sleep(PHASE_S)
            _print_counts(f"{NODES} nodes, {SERVERS} servers", fleet)
            fleet.publish_configuration()
            await asyncio.sleep(PHASE_S)
            _print_counts("a new configuration", fleet)
            node = fleet.store_links[0].node
            disruption = fleet.promises.begin_disruption(node.label, planned=True)
            node.terminate()
            await node.wait()
            await fleet.start_node(node)
            fleet.promises.end_disruption(disruption)
            await asyncio.sleep(PHASE_S)
            _print_counts("a node left and restarted", fleet)
            node = fleet.store_links[1].node
            disruption = fleet.promises.begin_disruption(node.label)
            node.kill()
            await node.wait()
            await fleet.start_node(node)
            fleet.promises.end_disruption(disruption)
            await asyncio.sleep(PHASE_S)
            _print_counts("a node was killed and restarted", fleet)
            await fleet.check_recovery()
        finally:
            await fleet.close()
    for violation in fleet.promises.violations:
        print(f"{violation.promise}: {violation.detail}")
    return 1 if fleet.promises.violations else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
