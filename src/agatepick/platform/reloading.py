"""Reloading of a settings file that may change while its process runs."""

import asyncio
import os
import typing

from agatepick import exceptions
from agatepick.platform import settings
from agatepick.telemetry import logs

LOG = logs.logger(__name__)

RELOAD_INTERVAL_SECONDS = 1.0
"""Interval of checks of the settings file, which may change without SIGHUP."""


class SettingsFile:
    """A settings file, and its state when it was last read."""

    def __init__(self, path: str) -> None:
        self._path = path
        self._modified_at = 0.0

    def read(self) -> settings.NodeSettings:
        """Return the settings in the file.

        :raises agatepick.exceptions.BadSettings: if they are invalid.
        """
        # A file that changes while it is read is read once more.
        self._modified_at = self._get_modified_at()
        return settings.read(self._path)

    def has_changed(self) -> bool:
        """Return whether the file has changed since it was last read."""
        return self._get_modified_at() != self._modified_at

    def _get_modified_at(self) -> float:
        try:
            return os.stat(self._path).st_mtime
        except OSError:
            return 0.0


async def follow_settings(
    file: SettingsFile,
    on_change: typing.Callable[[settings.NodeSettings], None],
    requested: asyncio.Event,
) -> None:
    """Pass changed settings to a callback, until cancelled.

    :param requested: event that is set to reload the file at once.
    """
    while True:
        try:
            await asyncio.wait_for(requested.wait(), RELOAD_INTERVAL_SECONDS)
        except TimeoutError:
            pass
        if not file.has_changed() and not requested.is_set():
            continue
        requested.clear()
        try:
            cfg = file.read()
        except exceptions.BadSettings as exc:
            logs.warning(LOG, 'settings_bad', reason=exc)
            continue
        on_change(cfg)
        logs.info(LOG, 'settings_reloaded', store=cfg.store)
