"""The graceful stop of an entry.

What goes wrong without it: callers go on using their open connections to a
process that was asked to stop, and requests in progress are cut off with it.
A stopping entry isn't ready any more, takes only what ends in time, answers
all, and ends well before the platform kills it.
"""

STRETCH = 1.6
"""Times its expected seconds that a job is given when a stopping entry takes
it: callers keep using open connections, and what is taken must be answered
before the process is killed after 6 s."""

SPARE_SECONDS = 0.3
"""Time beyond that for waiting and the way to the worker and back."""

LEAST_SECONDS = 2.5
"""How long a stopping entry serves on: the balancer asks once a second and
takes it out of rotation after two misses."""

GIVE_UP_SECONDS = 5.2
"""When a stopping entry answers what hasn't ended: may be tried again."""


class Stopping:
    """One entry's stop, from the request to the end.

    :ivar ended: all is answered, and the process ends any moment.
    """

    def __init__(self) -> None:
        self.ended = False
        self._since: float | None = None

    @property
    def begun(self) -> bool:
        """Whether the process was asked to stop."""
        return self._since is not None

    def begin(self, now: float) -> None:
        """The process is asked to stop; asked again, nothing changes."""
        if self._since is None:
            self._since = now

    def takes(self, expected: float, now: float) -> bool:
        """Whether a job that takes some seconds still ends in time."""
        if self._since is None:
            return True
        if self.ended:
            # The caller would get an error and not know whether it ran.
            return False
        left = self._since + GIVE_UP_SECONDS - now
        return expected * STRETCH + SPARE_SECONDS <= left

    def gives_up(self, now: float) -> bool:
        """Whether what is open must be answered now."""
        return self._since is not None and now >= self._since + GIVE_UP_SECONDS

    def end(self, waiting: bool, now: float) -> bool:
        """Whether to end the process now; said once.

        :param waiting: whether a caller waits for an answer.
        """
        if self._since is None or self.ended or waiting:
            return False
        self.ended = now >= self._since + LEAST_SECONDS
        return self.ended
