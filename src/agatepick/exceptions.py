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
    """A peer sent an invalid message, or one that it may not send."""


class BadKey(AgatepickError):
    """An idempotency key isn't a UUIDv7 in canonical form."""


class BadSettings(AgatepickError):
    """A settings file is invalid; the message lists every fault in it."""

    exit_status = 2


class BadChange(AgatepickError):
    """A change can't be applied to the cluster configuration.

    The message names the invalid field.
    """

    exit_status = 2


class TooManyCalls(AgatepickError):
    """The limit of open requests is reached; the request had no effect."""


class Unreachable(AgatepickError):
    """No answer arrived, so it is not known whether a job ran."""

    exit_status = 6


class BadUsage(AgatepickError):
    """A command was called with invalid arguments."""

    exit_status = 2


class Rejected(AgatepickError):
    """A request was refused and had no effect."""

    exit_status = 3


class Conflict(Rejected):
    """A concurrent change was written first; nothing else was written."""

    exit_status = 7


class Unauthorised(Rejected):
    """The bearer token is missing or wrong."""

    exit_status = 8


class OutcomeUnknown(AgatepickError):
    """The answer was lost; the change may or may not have taken effect."""

    exit_status = 5


class StoreError(AgatepickError):
    """The table service couldn't execute a request."""


class StoreConflict(StoreError):
    """A condition of a transaction failed; nothing was written."""


class StoreUnavailable(StoreError):
    """The table service was unavailable; nothing was written."""


class StoreUnknown(StoreError):
    """The answer was lost; the transaction may or may not have committed."""
