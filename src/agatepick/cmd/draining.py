"""Waiting for a zone to drain after it was taken out of service."""

import asyncio
import dataclasses
import typing

from agatepick.cmd import operator_client
from agatepick import exceptions

POLL_SECONDS = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class DrainResult:
    """Result of draining a zone.

    :param last_start_after_acceptance: seconds from the acceptance of the
        change to the last start in the zone; ``None`` if no task started
        after the acceptance.
    :param version: version of the configuration that takes the zone out.
    :param entries_asked: number of entries whose tasks were counted.
    :param entries_listed: number of entries in the configuration.
    """

    zone: str
    version: int
    last_start_after_acceptance: float | None
    entries_asked: int
    entries_listed: int

    def show(self) -> str:
        """Return the result as a line of text."""
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


async def wait_until_empty(
    clients: list[operator_client.OperatorClient],
    zone: str,
    version: int,
    accepted_at: float,
    timeout_seconds: float,
) -> DrainResult:
    """Wait until no entry has a running task in a zone.

    :param accepted_at: acceptance time of the change, by the entries' clock.
    :raises agatepick.exceptions.OutcomeUnknown: if tasks still run after
        ``timeout_seconds``.
    """
    for _ in range(int(timeout_seconds / POLL_SECONDS)):
        answers = [await client.get('/v1/status') for client in clients]
        zone_work = [_get_zone_work(answer.data, zone) for answer in answers]
        if not sum(work['running'] for work in zone_work):
            last_start_delay = (
                max(work['last_start_at'] for work in zone_work) - accepted_at
            )
            listed = answers[0].data['configuration']['entries']
            return DrainResult(
                zone,
                version,
                round(last_start_delay, 3) if last_start_delay > 0 else None,
                len(clients),
                len([entry for entry in listed if not entry['removed_at']]),
            )
        await asyncio.sleep(POLL_SECONDS)
    raise exceptions.OutcomeUnknown(
        f'version {version} is in force, but tasks still run in {zone} after '
        f'{timeout_seconds:g} s',
        step='drain',
    )


def _get_zone_work(
    status: dict[str, typing.Any], zone: str
) -> dict[str, float]:
    for work in status['zone_work']:
        if work['zone'] == zone:
            return typing.cast(dict[str, float], work)
    return {'running': 0, 'last_start_at': 0.0}
