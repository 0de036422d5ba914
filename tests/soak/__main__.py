"""Command line of the fault soak: ``python -m tests.soak run --help``."""

import asyncio
import logging
import sys

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option

from tests.soak.fleet import OK
from tests.soak.running import run_seed

# Violations printed for each run; further ones mostly have the same cause.
MAX_PRINTED_VIOLATIONS = 10


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


def main():
    """Run the command line."""
    logging.basicConfig(format="%(asctime)s %(message)s", level=logging.INFO)
    application = Application("soak")
    application.add(SoakCommand())
    application.run()


if __name__ == "__main__":
    sys.exit(main())
