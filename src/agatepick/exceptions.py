"""The one tree of errors; each knows where it arose and how to show itself."""

import typing


class AgatepickError(Exception):
    """Base of every error that agatepick raises.

    :param message: what went wrong, for a person.
    :param step: what was being done, such as ``decode`` or ``admit``.
    :param peer: the process or address at which it arose; empty if here.
    """

    exit_status: typing.ClassVar[int] = 1

    def __init__(self, message: str, *, step: str = '', peer: str = ''):
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def show(self) -> str:
        """One line for a person."""
        where = ' '.join(
            f'{name}={value}'
            for name, value in (('step', self.step), ('peer', self.peer))
            if value
        )
        return f'{self.message} ({where})' if where else self.message


class BadMessage(AgatepickError):
    """A peer sent what isn't a message, or not one it may send."""


class BadKey(AgatepickError):
    """An idempotency key isn't one that agatepick can serve."""


class BadSettings(AgatepickError):
    """A settings file can't be used; lists every fault in it."""

    exit_status = 2


class BadChange(AgatepickError):
    """A change can't be applied to the cluster configuration.

    The message names the field at fault.
    """

    exit_status = 2


class TooManyCalls(AgatepickError):
    """More requests are open than the process holds; nothing was done."""


class Unreachable(AgatepickError):
    """No answer came, so whether a job ran is not known."""

    exit_status = 6


class BadUsage(AgatepickError):
    """A command was given what it doesn't take."""

    exit_status = 2


class Rejected(AgatepickError):
    """A request was refused, and did nothing."""

    exit_status = 3


class Conflict(Rejected):
    """Another change of the configuration won; nothing was written."""

    exit_status = 7


class Unauthorised(Rejected):
    """The bearer token is missing or wrong."""

    exit_status = 8


class OutcomeUnknown(AgatepickError):
    """The answer was lost on its way: the change may or may not hold."""

    exit_status = 5


class StoreError(AgatepickError):
    """The table service could not do what was asked."""


class StoreConflict(StoreError):
    """A condition of a transaction didn't hold; nothing was written."""


class StoreUnavailable(StoreError):
    """The request didn't reach the table service; nothing was written."""


class StoreUnknown(StoreError):
    """The answer was lost: the transaction may or may not have happened."""
