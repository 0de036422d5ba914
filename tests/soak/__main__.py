"""Command line of the soak: ``python -m tests.soak run --help``, or ``upgrade``."""

import asyncio
import logging
import pathlib
import sys
import tempfile

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option

from tests.soak.builds import extract_build, read_release_commit
from tests.soak.fleet import OK
from tests.soak.processes import CURRENT_BUILD
from tests.soak.running import run_seed
from tests.soak.upgrade import DISTURBANCES, run_upgrade

# Violations printed for each run; further ones mostly have the same cause.
MAX_PRINTED_VIOLATIONS = 10
TABLE_HEAD = (
    "seed | direction | requests | served | cut | twice | refused though run | "
    "taken up | not taken up | other promises | stalled ms"
)
# Promises with a column of their own.
TABLE_PROMISES = ("lost", "whole", "twice", "refused")


class SoakCommand(Command):
    """Runs seeds one after another and prints the promises that were broken."""

    name = "run"
    description = "Runs real node processes under injected faults."
    options = (
        option("seed", None, "First seed.", flag=False, default="1"),
        option("seeds", None, "Number of seeds.", flag=False, default="1"),
        option("nodes", None, "Number of node processes.", flag=False, default="4"),
        option("servers", None, "Number of servers.", flag=False, default="6"),
        option(
            "seconds",
            None,
            "How long faults are injected, in s.",
            flag=False,
            default="20",
        ),
        option("folder", None, "Folder where settings and logs are kept.", flag=False),
    )

    def handle(self):
        """Run the seeds; return 1 if a promise was broken."""
        first, count, nodes, servers = (
            int(self.option(name)) for name in ("seed", "seeds", "nodes", "servers")
        )
        seconds = float(self.option("seconds"))
        broken = 0
        for seed in range(first, first + count):
            folder = self.option("folder")
            folder = f"{folder}/{seed}" if folder else None
            outcome = asyncio.run(run_seed(seed, nodes, servers, seconds, folder))
            self._print(outcome)
            broken += bool(outcome.violations)
        self.line(f"{count} seeds, {broken} with broken promises")
        return 1 if broken else 0

    def _print(self, outcome):
        answers = outcome.answer_counts.items()
        served = sum(count for (_, status), count in answers if status == OK)
        self.line(
            f"seed {outcome.seed}: {len(outcome.faults)} faults, "
            f"{sum(outcome.answer_counts.values())} requests, {served} served, "
            f"{len(outcome.violations)} promises broken"
        )
        for violation in outcome.violations[:MAX_PRINTED_VIOLATIONS]:
            self.line(f"  {violation.promise}: {violation.detail}")


class UpgradeCommand(Command):
    """Replaces the nodes of a fleet by another build, and prints a table."""

    name = "upgrade"
    description = "Runs real node processes of this build and of an earlier commit."
    options = (
        option("commit", None, "The earlier commit.", flag=False),
        option("seed", None, "First seed.", flag=False, default="1"),
        option("seeds", None, "Number of seeds.", flag=False, default="1"),
        option("nodes", None, "Number of node processes.", flag=False, default="8"),
        option("servers", None, "Number of servers.", flag=False, default="6"),
        option(
            "faults",
            None,
            "Names of the faults that are injected meanwhile.",
            flag=False,
            default=",".join(DISTURBANCES),
        ),
        option(
            "directions",
            None,
            "forward: the earlier commit first; back: last; same: both times.",
            flag=False,
            default="forward,back",
        ),
        option("folder", None, "Folder where settings and logs are kept.", flag=False),
    )

    def handle(self):
        """Run the seeds in each direction; return 1 if a promise was broken."""
        commit = self.option("commit") or read_release_commit()
        first, count = int(self.option("seed")), int(self.option("seeds"))
        broken = 0
        self.line(TABLE_HEAD)
        with tempfile.TemporaryDirectory() as temporary:
            earlier = extract_build(commit, pathlib.Path(temporary))
            pairs = {
                "forward": (earlier, CURRENT_BUILD),
                "back": (CURRENT_BUILD, earlier),
                "same": (earlier, earlier),
            }
            for seed in range(first, first + count):
                for direction in self.option("directions").split(","):
                    outcome = self._run(seed, direction, pairs[direction])
                    broken += bool(outcome.violations)
        self.line(f"{commit}: {count} seeds, {broken} runs with broken promises")
        return 1 if broken else 0

    def _run(self, seed, direction, builds):
        folder = self.option("folder")
        folder = f"{folder}/{seed}-{direction}" if folder else None
        outcome = asyncio.run(
            run_upgrade(
                seed,
                builds,
                int(self.option("nodes")),
                int(self.option("servers")),
                self.option("faults").split(","),
                folder,
            )
        )
        counts = outcome.count_by_promise
        columns = (
            seed,
            direction,
            outcome.requests,
            outcome.served,
            counts["lost"] + counts["whole"],
            counts["twice"],
            counts["refused"],
            outcome.taken_up,
            outcome.not_taken_up,
            counts.total() - sum(counts[name] for name in TABLE_PROMISES),
            outcome.stalled_ms,
        )
        self.line(" | ".join(str(column) for column in columns))
        for violation in outcome.violations[:MAX_PRINTED_VIOLATIONS]:
            self.line(f"  {violation.promise}: {violation.detail}")
        return outcome


def main():
    """Run the command line."""
    logging.basicConfig(format="%(asctime)s %(message)s", level=logging.INFO)
    application = Application("soak")
    application.add(SoakCommand())
    application.add(UpgradeCommand())
    application.run()


if __name__ == "__main__":
    sys.exit(main())
