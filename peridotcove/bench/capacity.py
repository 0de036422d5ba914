"""Measures the cost of each role of a node: ``peridotcove bench capacity``."""

import json
import resource

from attrs import asdict
from cleo.commands.command import Command
from cleo.helpers import option

from peridotcove.bench import (
    capacity_configuration,
    capacity_fleet,
    capacity_links,
    capacity_requests,
)
from peridotcove.bench.slopes import probes, run_probe

GROUPS = {
    "requests": capacity_requests,
    "configuration": capacity_configuration,
    "links": capacity_links,
    "fleet": capacity_fleet,
}
BYTES_PER_KB = 1024


def select_probes(groups):
    """Return the probes of some groups, in the order of their registration.

    Parameters
    ----------
    groups : collection of str
        Names of `GROUPS`.
    """
    modules = {GROUPS[name].__name__ for name in groups}
    known = probes.by_name.values()
    return [
        selected_probe
        for selected_probe in known
        if selected_probe.measure.__module__ in modules
    ]


class BenchCapacityCommand(Command):
    """``peridotcove bench capacity``."""

    name = "bench capacity"
    description = "Measure the slopes from which the capacity page is computed."
    options = [
        option("json", None, "Print JSON.", flag=True),
        option("only", None, "Groups, separated by commas.", flag=False),
        option("largest", None, "Skip sizes above this one.", flag=False),
        option("no-scenes", None, "Skip the scenarios of 330 nodes.", flag=True),
    ]
    help = (
        "Groups: requests, configuration, links, fleet (with its scenarios). "
        "Exit codes: 0 measured, 2 wrong usage."
    )

    def handle(self):
        """Measure the probes and scenarios, and print them."""
        groups = (self.option("only") or ",".join(GROUPS)).split(",")
        unknown = [name for name in groups if name not in GROUPS]
        if unknown:
            self.line_error(
                f"unknown group {', '.join(unknown)}; known: {', '.join(GROUPS)}"
            )
            return 2
        largest = self.option("largest")
        largest = None if largest is None else int(largest)
        resident_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        slopes = []
        for selected_probe in select_probes(groups):
            slopes.append(run_probe(selected_probe, largest))
            self._print_slope(slopes[-1])
        scenarios = []
        if "fleet" in groups and not self.option("no-scenes"):
            for name, usage, findings in capacity_fleet.run_scenarios():
                scenarios.append({"scene": name, **asdict(usage), **findings})
                self._print_scenario(scenarios[-1])
        if self.option("json"):
            report = {
                "resident_bytes_at_start": resident_kb * BYTES_PER_KB,
                "slopes": [asdict(slope) for slope in slopes],
                "scenes": scenarios,
            }
            self.line(json.dumps(report, indent=1))
        return 0

    def _print_slope(self, slope):
        if self.option("json"):
            return
        points = "  ".join(f"{size}: {value:g}" for size, value in slope.points)
        self.line(f"{slope.name} [{slope.unit} by {slope.by}]")
        self.line(f"    {points}")
        self.line(
            f"    {slope.slope:g} each, base {slope.base:g}; "
            f"at {slope.target}: {slope.at_target:g}"
        )

    def _print_scenario(self, scenario):
        if not self.option("json"):
            self.line(", ".join(f"{name}: {value}" for name, value in scenario.items()))
