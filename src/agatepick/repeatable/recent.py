"""Bounded memory of what happened in the last seconds."""

import typing

Key = typing.TypeVar('Key', bound=typing.Hashable)
Value = typing.TypeVar('Value')


class Recent(typing.Generic[Key, Value]):
    """The last values by key, each with its instant.

    :param seconds: time for which a value is kept.
    :param max_count: largest number of values; the oldest is dropped first.
    """

    def __init__(self, seconds: float, max_count: int) -> None:
        self._seconds = seconds
        self._max_count = max_count
        self._values: dict[Key, tuple[float, Value]] = {}

    def add(self, key: Key, value: Value, now: float) -> None:
        """Store a value in place of the key's last one."""
        self._values.pop(key, None)
        self._values[key] = (now, value)
        if len(self._values) > self._max_count:
            del self._values[next(iter(self._values))]

    def get(self, key: Key, now: float) -> tuple[float, Value] | None:
        """Return a key's instant and value, if it isn't too old."""
        found = self._values.get(key)
        if found is None or now > found[0] + self._seconds:
            return None
        return found
