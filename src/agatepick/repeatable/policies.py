"""Switches of the optional decisions under load, and limits of clients.

Each decision acts only where what a process observes calls for it, and not at
all while its switch is off.
"""

import dataclasses

from agatepick.conf import typed_toml
from agatepick import exceptions
from agatepick import intake

SECTION = 'policies'
"""Table of the settings file that holds the switches."""


@dataclasses.dataclass(frozen=True, slots=True)
class Policies:
    """Which optional decisions are in effect.

    :param weigh_moves: move a slow run only where the move is expected to
        gain time.
    :param worker_speeds: learn each worker's usual speed, and place by it.
    :param queue_shares: reserve each queue's usual share of the capacity for
        it while others press.
    :param crash_guard: isolate tasks under which workers crashed, and give
        them up.
    :param capacity_guard: adapt to a worker whose capacity changes.
    """

    weigh_moves: bool = False
    worker_speeds: bool = False
    queue_shares: bool = False
    crash_guard: bool = False
    capacity_guard: bool = False

    @classmethod
    def from_toml(cls, text: str, file: str) -> 'Policies':
        """Return the switches in a settings file; missing ones are off.

        :raises agatepick.exceptions.BadSettings: if the text isn't valid.
        """
        return Settings.from_toml(text, file).policies


@dataclasses.dataclass(frozen=True)
class Settings:
    """The whole settings file."""

    policies: Policies = Policies()
    limits: intake.IntakeSettings = intake.IntakeSettings()

    @classmethod
    def from_toml(cls, text: str, file: str) -> 'Settings':
        """Return the settings in a file; missing switches are off.

        :param file: name by which errors refer to the text.
        :raises agatepick.exceptions.BadSettings: if the text isn't valid; the
            message names each faulty field.
        """
        tables = typed_toml.parse_toml(text, file)
        faults: list[str] = []
        parsed = typed_toml.build(tables, cls, faults)
        if faults:
            raise exceptions.BadSettings(
                f'{file}: {"; ".join(faults)}', step='settings'
            )
        return parsed


def read(path: str) -> Policies:
    """Return the switches in a settings file; see :func:`read_settings`."""
    return read_settings(path).policies


def read_settings(path: str) -> Settings:
    """Read and check a settings file.

    :raises agatepick.exceptions.BadSettings: if the file can't be read or
        isn't valid.
    """
    try:
        with open(path, encoding='utf-8') as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as exc:
        raise exceptions.BadSettings(
            f'{path}: {exc}', step='settings'
        ) from exc
    return Settings.from_toml(text, path)
