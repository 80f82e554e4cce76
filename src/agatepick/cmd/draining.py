"""Waiting at the operator's shell until a zone that was taken out is empty."""

import asyncio
import dataclasses
import typing

from agatepick.cmd import operator_client
from agatepick import exceptions

POLL_SECONDS = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Drained:
    """How a zone's departure ended.

    :param last_start_after_acceptance: seconds from the acceptance of the
        change to the last start in the zone; ``None`` if none came after it.
    :param entries_asked: entries whose work was counted.
    :param entries_listed: entries that there are.
    """

    zone: str
    version: int
    last_start_after_acceptance: float | None
    entries_asked: int
    entries_listed: int

    def show(self) -> str:
        """For a person."""
        when = 'none started after acceptance'
        if self.last_start_after_acceptance is not None:
            when = (
                f'the last start came {self.last_start_after_acceptance:.3f}'
                ' s after acceptance'
            )
        text = (
            f'in force: version {self.version}; the last task in '
            f'{self.zone} has ended; {when}'
        )
        if self.entries_asked < self.entries_listed:
            text += (
                f' (work counted at {self.entries_asked} of '
                f'{self.entries_listed} entries; name them all with --entry)'
            )
        return text


async def until_empty(
    clients: list[operator_client.OperatorClient],
    zone: str,
    version: int,
    accepted_at: float,
    patience: float,
) -> Drained:
    """Wait until no entry has a task running in a zone.

    :param accepted_at: when the change was accepted, by the entries' clock.
    :raises agatepick.exceptions.OutcomeUnknown: if that takes longer than
        ``patience`` seconds.
    """
    for _ in range(int(patience / POLL_SECONDS)):
        answers = [await one.get('/v1/status') for one in clients]
        found = [_work(answer.data, zone) for answer in answers]
        if not sum(one['running'] for one in found):
            last = max(one['last_start_at'] for one in found) - accepted_at
            listed = answers[0].data['configuration']['entries']
            return Drained(
                zone,
                version,
                round(last, 3) if last > 0 else None,
                len(clients),
                len([one for one in listed if not one['removed_at']]),
            )
        await asyncio.sleep(POLL_SECONDS)
    raise exceptions.OutcomeUnknown(
        f'version {version} is in force, and tasks still run in {zone} after '
        f'{patience:g} s',
        step='drain',
    )


def _work(status: dict[str, typing.Any], zone: str) -> dict[str, float]:
    for one in status['zone_work']:
        if one['zone'] == zone:
            return typing.cast(dict[str, float], one)
    return {'running': 0, 'last_start_at': 0.0}
