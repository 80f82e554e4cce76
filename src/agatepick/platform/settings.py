"""The settings file that the platform writes for each process."""

import dataclasses
import os
import typing

import yaml

from agatepick import exceptions

VARIABLE = 'AGATEPICK_NODE_FILE'

_LOADER = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)
"""The one in C takes 0.7 ms of processor time for a file of 84 lines where
the other takes 5.4 (median of 20), and a program that was restarted serves
that much sooner."""


@dataclasses.dataclass(frozen=True, slots=True)
class NodeSettings:
    """What a process is told of itself and of the platform.

    :param front: where callers connect; empty on machines of workers.
    :param ready: where the platform asks whether callers may be sent.
    :param control: where the worker of this machine announces itself.
    :param links: where this process takes connections of its peers.
    :param worker: where the worker of this machine takes orders.
    :param store: address of the platform's store.
    :param grace_seconds: time from the request to stop until the kill.
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


def path_from_env() -> str:
    """Path of this process's settings file.

    :raises agatepick.exceptions.BadSettings: if the variable isn't set.
    """
    path = os.environ.get(VARIABLE, '')
    if not path:
        raise exceptions.BadSettings(
            f'{VARIABLE} is not set; it names the settings file',
            step='settings',
        )
    return path


def read(path: str) -> NodeSettings:
    """Read and check a settings file; fields not known here are left out.

    :raises agatepick.exceptions.BadSettings: naming the field at fault.
    """
    try:
        with open(path, encoding='utf-8') as file:
            found = yaml.load(file, Loader=_LOADER)
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as exc:
        raise exceptions.BadSettings(
            f'{path}: {exc}', step='settings'
        ) from exc
    if not isinstance(found, dict):
        raise exceptions.BadSettings(
            f'{path}: not a table of fields', step='settings'
        )
    return _parse(_Fields(found))


class _Fields:
    """Looks up fields by dotted name, and names the one at fault."""

    def __init__(self, found: dict[str, typing.Any]):
        self._found = found

    def text(self, name: str, default: str | None = None) -> str:
        value = self._look_up(name, default)
        if not isinstance(value, str):
            raise _fault(name, 'must be a text')
        return value

    def number(self, name: str, default: float) -> float:
        value = self._look_up(name, default)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise _fault(name, 'must be a number')
        return float(value)

    def address(self, name: str, default: str | None = None) -> str:
        value = self.text(name, default)
        if not value and default is not None:
            return value
        host, _, port = value.rpartition(':')
        if not host or not port.isdigit():
            raise _fault(name, 'must be an address, ip:port')
        return value

    def first_port(self, name: str) -> int:
        value = self._look_up(name, None)
        if not isinstance(value, list) or not value:
            raise _fault(name, 'must list the first and the last port')
        if not isinstance(value[0], int):
            raise _fault(name, 'must hold port numbers')
        return value[0]

    def _look_up(self, name: str, default: typing.Any) -> typing.Any:
        value: typing.Any = self._found
        for part in name.split('.'):
            value = value.get(part) if isinstance(value, dict) else None
        if value is None:
            value = default
        if value is None:
            raise _fault(name, 'is missing')
        return value


def _parse(fields: _Fields) -> NodeSettings:
    return NodeSettings(
        name=fields.text('node_name'),
        zone=fields.text('zone'),
        front=fields.address('bind_addresses.front', ''),
        ready=fields.address('bind_addresses.ready', ''),
        control=fields.address('bind_addresses.control', ''),
        links=f'{fields.text("ip")}:{fields.first_port("internal_ports")}',
        worker=fields.address('app', ''),
        store=fields.address('platform.address'),
        grace_seconds=fields.number('bounds.grace_s', 6.0),
    )


def _fault(name: str, what: str) -> exceptions.BadSettings:
    return exceptions.BadSettings(f'{name}: {what}', step='settings')
