"""Exceptions of agatepick; each records the step and peer of its error."""

import typing


class AgatepickError(Exception):
    """Base class of the errors that agatepick raises.

    :param message: description of the error, for people.
    :param step: step in which the error occurred, such as ``decode`` or
        ``admit``.
    :param peer: the process or address at which the error occurred; empty for
        the local process.
    """

    exit_status: typing.ClassVar[int] = 1

    def __init__(self, message: str, *, step: str = '', peer: str = ''):
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def show(self) -> str:
        """Return the error as one line of text."""
        where = ' '.join(
            f'{name}={value}'
            for name, value in (('step', self.step), ('peer', self.peer))
            if value
        )
        return f'{self.message} ({where})' if where else self.message


class BadMessage(AgatepickError):
    """Error for an invalid message, or one that its sender may not send."""


class BadKey(AgatepickError):
    """Error for an idempotency key that isn't a UUIDv7 in canonical form."""


class BadSettings(AgatepickError):
    """Error for an invalid settings file; the message lists every fault."""

    exit_status = 2


class BadChange(AgatepickError):
    """Error for a change that can't be applied to the configuration.

    The message names the invalid field.
    """

    exit_status = 2


class TooManyCalls(AgatepickError):
    """Error for a request over the limit of open ones; it had no effect."""


class Unreachable(AgatepickError):
    """Error for a request without an answer; whether a job ran is unknown."""

    exit_status = 6


class BadUsage(AgatepickError):
    """Error for a command with invalid arguments."""

    exit_status = 2


class Rejected(AgatepickError):
    """Error for a request that was refused and had no effect."""

    exit_status = 3


class Conflict(Rejected):
    """Error for a change that wasn't written, due to a concurrent change."""

    exit_status = 7


class Unauthorised(Rejected):
    """Error for a missing or wrong bearer token."""

    exit_status = 8


class OutcomeUnknown(AgatepickError):
    """Error for a lost answer; the change may have taken effect or not."""

    exit_status = 5


class StoreError(AgatepickError):
    """Error for a request that the table service couldn't execute."""


class StoreConflict(StoreError):
    """Error for a failed condition of a transaction; nothing was written."""


class StoreUnavailable(StoreError):
    """Error for an unavailable table service; nothing was written."""


class StoreUnknown(StoreError):
    """Error for a lost answer; the transaction may be committed or not."""
