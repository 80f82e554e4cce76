"""The settings file that the platform writes for each process."""

import dataclasses
import math
import os
import typing

import yaml

from agatepick import exceptions

SETTINGS_PATH_VARIABLE = 'AGATEPICK_NODE_FILE'

_LOADER = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)
"""The loader in C parses a file of 84 lines in 0.7 ms of processor time, the
one in Python in 5.4 ms (median of 20), which delays service at a restart."""


@dataclasses.dataclass(frozen=True, slots=True)
class NodeSettings:
    """The settings of one process.

    :param front: address at which callers connect; empty on workers' machines.
    :param ready: address of the readiness endpoint for the platform.
    :param control: address at which this machine's worker announces itself.
    :param links: address at which this process accepts its peers.
    :param worker: address at which this machine's worker takes requests.
    :param store: address of the platform's store.
    :param grace_seconds: time from the request to stop until the kill.
    :param memory_mb: memory of the process; 0 if it isn't given.
    :param descriptors: files and sockets that it may open; 0 if that isn't
        given.
    """

    name: str
    zone: str
    front: str
    ready: str
    control: str
    links: str
    worker: str
    store: str
    grace_seconds: float
    memory_mb: float = 0.0
    descriptors: float = 0.0


def path_from_env() -> str:
    """Return the path of this process's settings file.

    :raises agatepick.exceptions.BadSettings: if the variable isn't set.
    """
    path = os.environ.get(SETTINGS_PATH_VARIABLE, '')
    if not path:
        raise exceptions.BadSettings(
            f'{SETTINGS_PATH_VARIABLE} is not set; it names the settings file',
            step='settings',
        )
    return path


def read(path: str) -> NodeSettings:
    """Read and check a settings file; unknown fields are ignored.

    :raises agatepick.exceptions.BadSettings: if a field is invalid; the
        message names it.
    """
    try:
        with open(path, encoding='utf-8') as file:
            values = yaml.load(file, Loader=_LOADER)
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as exc:
        raise exceptions.BadSettings(
            f'{path}: {exc}', step='settings'
        ) from exc
    if not isinstance(values, dict):
        raise exceptions.BadSettings(
            f'{path}: the file must contain a mapping', step='settings'
        )
    return _parse(_Fields(values))


class _Fields:
    """A reader of fields by dotted name, whose errors name the field."""

    def __init__(self, values: dict[str, typing.Any]):
        self._values = values

    def get_text(self, name: str, default: str | None = None) -> str:
        value = self._look_up(name, default)
        if not isinstance(value, str):
            raise _make_error(name, 'must be a string')
        return value

    def get_number(self, name: str, default: float) -> float:
        value = self._look_up(name, default)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise _make_error(name, 'must be a number')
        return float(value)

    def get_size(self, name: str) -> float:
        """Return a size; 0 if it isn't given."""
        value = self.get_number(name, 0.0)
        if not 0.0 <= value < math.inf:
            raise _make_error(name, 'must be 0 or more')
        return value

    def get_address(self, name: str, default: str | None = None) -> str:
        value = self.get_text(name, default)
        if not value and default is not None:
            return value
        host, _, port = value.rpartition(':')
        if not host or not port.isdigit():
            raise _make_error(name, 'must be an address of the form ip:port')
        return value

    def first_port(self, name: str) -> int:
        value = self._look_up(name, None)
        if not isinstance(value, list) or not value:
            raise _make_error(
                name, 'must be a list of the first and last port'
            )
        if not isinstance(value[0], int):
            raise _make_error(name, 'must contain integer port numbers')
        return value[0]

    def _look_up(self, name: str, default: typing.Any) -> typing.Any:
        value: typing.Any = self._values
        for part in name.split('.'):
            value = value.get(part) if isinstance(value, dict) else None
        if value is None:
            value = default
        if value is None:
            raise _make_error(name, 'is missing')
        return value


def _parse(fields: _Fields) -> NodeSettings:
    return NodeSettings(
        name=fields.get_text('node_name'),
        zone=fields.get_text('zone'),
        front=fields.get_address('bind_addresses.front', ''),
        ready=fields.get_address('bind_addresses.ready', ''),
        control=fields.get_address('bind_addresses.control', ''),
        links=f'{fields.get_text("ip")}:{fields.first_port("internal_ports")}',
        worker=fields.get_address('app', ''),
        store=fields.get_address('platform.address'),
        grace_seconds=fields.get_number('bounds.grace_s', 6.0),
        memory_mb=fields.get_size('limits.memory_mb'),
        descriptors=fields.get_size('limits.max_fds'),
    )


def _make_error(name: str, what: str) -> exceptions.BadSettings:
    return exceptions.BadSettings(f'{name}: {what}', step='settings')
