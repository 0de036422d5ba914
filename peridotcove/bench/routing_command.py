"""The command ``peridotcove bench routing``."""

import json

import attrs
from cleo.commands.command import Command
from cleo.helpers import option

from peridotcove.bench.routing import (
    Target,
    format_table,
    plan_runs,
    run_cases,
    to_json,
)
from peridotcove.bench.run_metrics import Row


class BenchRoutingCommand(Command):
    """``peridotcove bench routing``."""

    name = "bench routing"
    description = "Measure engine selection against baselines, on a simulated clock."
    options = [
        option("seed", None, "Seed of the workloads.", flag=False, default="1"),
        option("json", None, "Print one JSON value.", flag=True),
        option("case", None, "Run only this case.", flag=False),
        option("size", None, "Run only this size: stands, gloves, region.", flag=False),
        option("policy", None, "Run only this policy.", flag=False),
    ]
    help = "Exit codes: 0 all targets met, 1 some missed, 2 wrong usage."

    def handle(self):
        """Run the cases, and print the rows and the targets."""
        seed = int(self.option("seed"))
        rows, targets = run_cases(seed, self._runs(), self.line_error)
        if not rows:
            self.line_error("<error>no run matches this case, policy and size</error>")
            return 2
        if self.option("json"):
            self.line(json.dumps(to_json(seed, rows, targets), indent=1))
        else:
            self._print_tables(rows, targets)
        return 0 if all(target.met for target in targets) else 1

    def _runs(self):
        wanted = [self.option(name) for name in ("case", "policy", "size")]
        return [
            run
            for run in plan_runs()
            if all(want in (None, part) for want, part in zip(wanted, run, strict=True))
        ]

    def _print_tables(self, rows, targets):
        names = [spec.name for spec in attrs.fields(Row)]
        lines = [[size, *attrs.astuple(row)] for (_, _, size), row in rows.items()]
        self.line(format_table(["size", *names], lines))
        self.line("")
        headings = [spec.name for spec in attrs.fields(Target)]
        headings[-1] = "target met"
        lines = [
            [*attrs.astuple(target)[:-1], "yes" if target.met else "NO"]
            for target in targets
        ]
        self.line(format_table(headings, lines))
