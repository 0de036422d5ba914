"""Measures membership and configuration of fleets: ``peridotcove bench fleet``."""

import json
import logging

from attrs import asdict, frozen
from cleo.commands.command import Command
from cleo.helpers import option

from peridotcove.bench.fleet_cases import (
    LAYOUT_BY_SIZE,
    count_bytes,
    count_reads,
    time_change_cost,
    time_change_propagation,
    time_detection,
    time_heartbeats,
)

MAX_IN_FORCE_MS = 7_000
MAX_DETECTION_MS = 3_000
MAX_NODE_BYTES_PER_S = 6_000
MAX_READS_PER_S = 2_000
MAX_CPU_MS_PER_S = 10.0
MAX_MEMORY_MB = 32


@frozen
class Row:
    """One measured value.

    Attributes
    ----------
    case : str
        What was measured, and its unit.
    size : str
        Size of the fleet or configuration.
    value : float
        The measured value.
    target : float or None
        Highest acceptable value, if one is set.
    met : bool or None
        Whether the target is met.
    """

    case: str
    size: str
    value: float
    target: float | None = None
    met: bool | None = None


def make_row(case, size, value, target=None):
    """Return a row with a value and whether it meets its target.

    Parameters
    ----------
    case, size : str
        What was measured, at which size.
    value : float
        The measured value.
    target : float or None
        Highest acceptable value.
    """
    return Row(case, size, value, target, None if target is None else value <= target)


def run(sizes, seeds, customers, engines, deaths=20):
    """Yield the measured rows.

    Parameters
    ----------
    sizes : list of int
        Sizes of fleets; keys of `LAYOUT_BY_SIZE`.
    seeds : int
        Fleets of each size in which the time of a change is measured.
    customers, engines : int
        Size of the large configuration.
    deaths : int
        Node failures whose detection is measured.
    """
    for size in sizes:
        nodes = f"{size} nodes"
        times = [time_change_propagation(size, seed) for seed in range(seeds)]
        case = f"change in force, slowest of {seeds}, ms"
        yield make_row(case, nodes, max(times), MAX_IN_FORCE_MS)
    for size in (sizes[0], sizes[-1]):
        nodes = f"{size} nodes"
        for case, value in count_reads(size).items():
            target = MAX_READS_PER_S if "1 s" in case or "steady" in case else None
            yield make_row(f"reads: {case}", nodes, value, target)
        for case, value in count_bytes(size).items():
            yield make_row(
                f"bytes a second: {case}", nodes, value, MAX_NODE_BYTES_PER_S
            )
    for case, value in time_detection(deaths).items():
        targets = {"slowest ms": MAX_DETECTION_MS, "missed": 0, "false alarms": 0}
        nodes = "zone of 15 at 2% loss"
        yield make_row(f"detection: {case}", nodes, value, targets.get(case))
    for case, value in time_heartbeats(sizes[-1]).items():
        target = MAX_CPU_MS_PER_S if case == "ms a second" else None
        yield make_row(
            f"heartbeats: {case}", f"one of {sizes[-1]} nodes", value, target
        )
    size = f"{customers} customers, {engines} engines"
    for case, value in time_change_cost(customers, engines).items():
        target = MAX_MEMORY_MB if case == "memory added MB" else None
        yield make_row(f"configuration: {case}", size, value, target)


class BenchFleetCommand(Command):
    """``peridotcove bench fleet``."""

    name = "bench fleet"
    description = "Measure membership and configuration of simulated fleets."
    options = [
        option("json", None, "Print JSON.", flag=True),
        option(
            "sizes",
            None,
            "Sizes of fleets, separated by commas.",
            flag=False,
            default=",".join(map(str, LAYOUT_BY_SIZE)),
        ),
        option("seeds", None, "Fleets per size.", flag=False, default="5"),
        option("customers", None, "Customers.", flag=False, default="11000"),
        option("engines", None, "Engines.", flag=False, default="1600"),
    ]
    help = "Exit codes: 0 measured (met or not), 2 wrong usage."

    def handle(self):
        """Measure the rows and print each."""
        logging.getLogger("peridotcove").setLevel(logging.CRITICAL)
        sizes = [int(word) for word in self.option("sizes").split(",")]
        if not set(sizes) <= set(LAYOUT_BY_SIZE):
            self.line_error(
                f"<error>sizes must be among {list(LAYOUT_BY_SIZE)}</error>"
            )
            return 2
        names = ("seeds", "customers", "engines")
        rows = []
        for row in run(sizes, *(int(self.option(name)) for name in names)):
            rows.append(asdict(row))
            if not self.option("json"):
                mark = {None: "", True: " met", False: " MISSED"}[row.met]
                target = "" if row.target is None else f" (target {row.target})"
                self.line(f"{row.case:45} {row.size:32} {row.value:>10}{target}{mark}")
        if self.option("json"):
            self.line(json.dumps(rows, indent=1))
        return 0
