"""Fit of costs by straight lines over a size, and their file in JSON.

A cost is, for example, bytes per second and the size the number of agents.
The capacity page (``docs/CAPACITY.md``) extrapolates from these lines only.
A line includes its points, which show the measured range.
"""

import collections.abc
import dataclasses
import math
import pathlib
import typing

import msgspec

from agatepick import exceptions

MIN_SIZES = 4


class Line(msgspec.Struct, frozen=True):
    """Least-squares line of one cost over one size.

    :param over: the size that varies, such as ``agents``.
    :param unit: unit of the cost.
    :param fixed: other sizes and conditions, which stayed the same for all
        points.
    :param points: pairs of size and measured cost.
    :param source: ``wire`` for counters of the links, ``process`` for
        figures read from running processes.
    :param residual: root mean square error over the mean of all costs.
    """

    name: str
    over: str
    unit: str
    source: str
    fixed: str
    points: tuple[tuple[float, float], ...]
    slope: float
    intercept: float
    residual: float

    def at(self, size: float) -> float:
        """Return the cost at a size, on the fitted line."""
        return self.intercept + self.slope * size

    def size_at(self, cost: float) -> float:
        """Return the size at which a cost is reached; infinite if never."""
        if self.slope <= 0:
            return math.inf
        return (cost - self.intercept) / self.slope


class Slopes(msgspec.Struct, frozen=True):
    """All lines of one measurement."""

    lines: tuple[Line, ...]

    def line(self, name: str) -> Line:
        """Return a line by its name.

        :raises agatepick.exceptions.BadSettings: if the measurement has no
            such line.
        """
        for line in self.lines:
            if line.name == name:
                return line
        raise exceptions.BadSettings(
            f'no line {name!r} in the measurement', step='slopes'
        )

    def as_json(self) -> str:
        """Return the measurement as JSON."""
        data = msgspec.json.encode(self)
        return msgspec.json.format(data, indent=1).decode()


@dataclasses.dataclass(frozen=True, slots=True)
class LineSpec:
    """Description of a line to fit; its fields are as in :class:`Line`."""

    name: str
    over: str
    unit: str
    source: str
    fixed: str = ''


def fit(
    spec: LineSpec,
    points: collections.abc.Iterable[tuple[float, float]],
) -> Line:
    """Fit a least-squares line through points of at least four sizes.

    :raises agatepick.exceptions.BadSettings: if the points have fewer sizes.
    """
    sorted_points = tuple(sorted(points))
    if len({size for size, _ in sorted_points}) < MIN_SIZES:
        raise exceptions.BadSettings(
            f'{spec.name}: {len(sorted_points)} points; '
            f'allowed: {MIN_SIZES} sizes or more',
            step='slopes',
        )
    slope, intercept = fit_least_squares(sorted_points)
    mean = sum(cost for _, cost in sorted_points) / len(sorted_points)
    squares = sum(
        (cost - intercept - slope * size) ** 2 for size, cost in sorted_points
    )
    error = math.sqrt(squares / len(sorted_points))
    return Line(
        spec.name,
        spec.over,
        spec.unit,
        spec.source,
        spec.fixed,
        sorted_points,
        slope,
        intercept,
        error / abs(mean) if mean else 0.0,
    )


def fit_least_squares(
    points: collections.abc.Sequence[tuple[float, float]],
) -> tuple[float, float]:
    """Return the slope and the intercept of the least-squares line."""
    count = len(points)
    mean_size = sum(size for size, _ in points) / count
    mean_cost = sum(cost for _, cost in points) / count
    sum_of_squares = sum((size - mean_size) ** 2 for size, _ in points)
    sum_of_products = sum(
        (size - mean_size) * (cost - mean_cost) for size, cost in points
    )
    slope = sum_of_products / sum_of_squares
    return slope, mean_cost - slope * mean_size


def load(path: pathlib.Path) -> Slopes:
    """Load a measurement from a file.

    :raises agatepick.exceptions.BadSettings: if the file can't be read or
        decoded.
    """
    try:
        return msgspec.json.decode(path.read_bytes(), type=Slopes)
    except (OSError, msgspec.DecodeError) as exc:
        raise exceptions.BadSettings(f'{path}: {exc}', step='slopes') from exc


Points = typing.Mapping[str, list[tuple[float, float]]]


def fit_all(
    specs: collections.abc.Iterable[LineSpec], points: Points
) -> tuple[Line, ...]:
    """Fit the lines for which ``points`` has points under the line's name."""
    return tuple(
        fit(spec, points[spec.name]) for spec in specs if spec.name in points
    )
