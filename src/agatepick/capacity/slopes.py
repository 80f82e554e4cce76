"""Costs as straight lines over a size: least squares, residual, JSON.

The capacity page extrapolates from these lines only.  A line carries its
points, so that a reader sees what was measured and what was not.
"""

import collections.abc
import dataclasses
import math
import pathlib
import typing

import msgspec

from agatepick import exceptions

LEAST_POINTS = 4


class Line(msgspec.Struct, frozen=True):
    """One cost over one size.

    :param over: what grows, such as ``agents``.
    :param fixed: sizes that stay the same meanwhile.
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
        """The cost at a size, on the fitted line."""
        return self.intercept + self.slope * size

    def size_at(self, cost: float) -> float:
        """The size at which the cost is reached; infinite if never."""
        if self.slope <= 0:
            return math.inf
        return (cost - self.intercept) / self.slope


class Slopes(msgspec.Struct, frozen=True):
    """All lines of one measurement."""

    lines: tuple[Line, ...]

    def line(self, name: str) -> Line:
        """The line of a name.

        :raises agatepick.exceptions.BadSettings: if it wasn't measured.
        """
        for line in self.lines:
            if line.name == name:
                return line
        raise exceptions.BadSettings(
            f'no line {name!r} in the measurement', step='slopes'
        )

    def as_json(self) -> str:
        """The measurement as JSON."""
        data = msgspec.json.encode(self)
        return msgspec.json.format(data, indent=1).decode()


@dataclasses.dataclass(frozen=True, slots=True)
class Subject:
    """What a line is about; see :class:`Line`."""

    name: str
    over: str
    unit: str
    source: str
    fixed: str = ''


def fit(
    subject: Subject,
    points: collections.abc.Iterable[tuple[float, float]],
) -> Line:
    """The least-squares line through at least four points.

    :raises agatepick.exceptions.BadSettings: for fewer sizes.
    """
    found = tuple(sorted(points))
    if len({size for size, _ in found}) < LEAST_POINTS:
        raise exceptions.BadSettings(
            f'{subject.name}: {len(found)} points; '
            f'allowed: {LEAST_POINTS} sizes or more',
            step='slopes',
        )
    slope, intercept = least_squares(found)
    mean = sum(cost for _, cost in found) / len(found)
    squares = sum(
        (cost - intercept - slope * size) ** 2 for size, cost in found
    )
    error = math.sqrt(squares / len(found))
    return Line(
        subject.name,
        subject.over,
        subject.unit,
        subject.source,
        subject.fixed,
        found,
        slope,
        intercept,
        error / abs(mean) if mean else 0.0,
    )


def least_squares(
    points: collections.abc.Sequence[tuple[float, float]],
) -> tuple[float, float]:
    """Slope and intercept."""
    count = len(points)
    mean_size = sum(size for size, _ in points) / count
    mean_cost = sum(cost for _, cost in points) / count
    spread = sum((size - mean_size) ** 2 for size, _ in points)
    joint = sum(
        (size - mean_size) * (cost - mean_cost) for size, cost in points
    )
    slope = joint / spread
    return slope, mean_cost - slope * mean_size


def load(path: pathlib.Path) -> Slopes:
    """The measurement in a file."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=Slopes)
    except (OSError, msgspec.DecodeError) as exc:
        raise exceptions.BadSettings(f'{path}: {exc}', step='slopes') from exc


Points = typing.Mapping[str, list[tuple[float, float]]]


def fit_all(
    subjects: collections.abc.Iterable[Subject], points: Points
) -> tuple[Line, ...]:
    """Lines for all subjects that have points."""
    return tuple(
        fit(subject, points[subject.name])
        for subject in subjects
        if subject.name in points
    )
