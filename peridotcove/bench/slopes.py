"""Probes that measure at several sizes, and least-squares lines through them."""

import gc
import time
import tracemalloc

from attrs import field, frozen

from peridotcove.registry import Registry

TIMING_ROUNDS = 3
US_PER_S = 1_000_000

probes = Registry("probe")


@frozen
class Probe:
    """A measurement at several sizes.

    Attributes
    ----------
    name : str
        What is measured.
    role : str
        Role of a node that bears the cost.
    unit : str
        Unit of the measured value.
    by : str
        Quantity that the size counts.
    sizes : tuple of int
        Sizes at which it is measured.
    target : int
        Size at the target of the capacity page.
    measure : callable
        Function that takes a size and returns the value.
    """

    name: str
    role: str
    unit: str
    by: str
    sizes: tuple[int, ...]
    target: int
    measure: object


@frozen
class Slope:
    """The measured values of a probe and the line through them.

    Attributes
    ----------
    name, role, unit, by : str
        As in the probe.
    points : tuple
        Pairs of size and measured value.
    slope, base : float
        Least-squares line: value = base + slope x size.
    target : int
        Size at the target.
    at_target : float
        Value at the target: interpolated between the nearest measured sizes, or
        extrapolated on the line beyond them.
    """

    name: str
    role: str
    unit: str
    by: str
    points: tuple = field(converter=tuple)
    slope: float
    base: float
    target: int
    at_target: float


def probe(name, role, unit, by, sizes, target):
    """Return a decorator that registers a measuring function as a probe.

    Parameters
    ----------
    name, role, unit, by : str
        As in `Probe`.
    sizes : tuple of int
        Sizes at which it is measured.
    target : int
        Size at the target.
    """

    def decorate(measure):
        probes.register(name)(Probe(name, role, unit, by, sizes, target, measure))
        return measure

    return decorate


def run_probe(item, largest=None):
    """Measure a probe and return its slope.

    Parameters
    ----------
    item : Probe
        The probe.
    largest : int or None
        Sizes above it are skipped; None for all sizes.
    """
    sizes = [size for size in item.sizes if largest is None or size <= largest]
    points = [(size, item.measure(size)) for size in sizes or item.sizes[:1]]
    slope, base = fit_line(points)
    at_target = estimate(points, slope, base, item.target)
    return Slope(
        item.name,
        item.role,
        item.unit,
        item.by,
        [(size, _round_significant(value)) for size, value in points],
        _round_significant(slope),
        _round_significant(base),
        item.target,
        _round_significant(at_target),
    )


def fit_line(points):
    """Return slope and base of the least-squares line.

    Parameters
    ----------
    points : sequence of tuple
        Pairs of size and value; a single pair gives a horizontal line.
    """
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    if not spread:
        return 0.0, mean_y
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return slope, mean_y - slope * mean_x


def estimate(points, slope, base, target):
    """Return the interpolated or extrapolated value at a size.

    Parameters
    ----------
    points : sequence of tuple
        Pairs of size and value, sizes ascending.
    slope, base : float
        The line through them.
    target : int
        The size.
    """
    for (x1, y1), (x2, y2) in zip(points, points[1:], strict=False):
        if x1 <= target <= x2:
            return y1 + (y2 - y1) * (target - x1) / (x2 - x1)
    return base + slope * target


def _round_significant(value):
    return float(f"{value:.4g}")


def measure_cpu_us(call, count):
    """Return the processor time of one call in microseconds, the best round's mean.

    Parameters
    ----------
    call : callable
        Function that takes the number of the call.
    count : int
        Calls per round.
    """
    best = float("inf")
    for round_number in range(TIMING_ROUNDS):
        first = round_number * count
        started = time.thread_time()
        for number in range(first, first + count):
            call(number)
        best = min(best, time.thread_time() - started)
    return best * US_PER_S / count


def measure_allocated_bytes(make):
    """Return the bytes that Python allocates for the result of a function.

    Parameters
    ----------
    make : callable
        Returns the object; temporary objects are freed before the count.
    """
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        result = make()
        gc.collect()
        after = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    del result
    return after - before
