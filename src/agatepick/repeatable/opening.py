"""When an entry that has just started takes its first callers.

Load pattern: all machines lost power, or all processes were killed, and
every caller comes back at once.  Entries are up before the agents, and those
know their workers some hundred milliseconds later.

What goes wrong without this: entries take jobs that nothing can start, and
refuse them after 0.1 to 0.3 s.  To most callers a refusal is final, while a
connection that isn't accepted is tried again, at another entry if one can
serve.  After a loss of power 65 of 115 callers of the two seconds around it
were refused.
"""

OPEN_SECONDS = 3.0
"""Time after which callers are taken all the same: an agent finds its
entries within 0.3 s and its worker within 1.5 s.  Who comes then is told at
once why nothing can be done, and when to come back."""


class Opening:
    """Whether one entry takes callers yet; once it does, it goes on."""

    def __init__(self) -> None:
        self.open = False
        self._since: float | None = None

    def opens(self, can_serve: bool, now: float) -> bool:
        """Whether to take callers from now on; said once.

        :param can_serve: a queue and a worker for its tasks are known.
        """
        if self.open:
            return False
        if self._since is None:
            self._since = now
        self.open = can_serve or now >= self._since + OPEN_SECONDS
        return self.open
