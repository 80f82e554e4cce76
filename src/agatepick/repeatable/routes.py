"""Which jobs are taken, and where their tasks may run."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """One queue of jobs.

    :param name: names the queue; run times are learnt by it.
    :param host: host that callers name.
    :param prefix: what the path of a job begins with.
    :param pool: workers that run its tasks.
    :param priority: 0 is the most urgent.
    :param max_attempts: runs of one task that may fail before its job does.
    :param stretch: times the longest chain of work that a job may take.
    :param target_seconds: what it may take beyond that.
    """

    name: str
    host: str
    prefix: str
    pool: str
    priority: int = 1
    max_attempts: int = 3
    stretch: float = 1.6
    target_seconds: float = 0.06

    def slack(self, work: float) -> float:
        """Seconds that a job may wait and still end in its objective.

        :param work: seconds of its longest chain of work.
        """
        return (self.stretch - 1.0) * work + self.target_seconds


@dataclasses.dataclass(frozen=True, slots=True)
class RouteTable:
    """All queues, as of one version of the desired state."""

    version: int
    routes: tuple[Route, ...]

    def match(self, host: str, path: str) -> Route | None:
        """The queue of a request: its host's longest prefix of the path."""
        found: Route | None = None
        for route in self.routes:
            if route.host != host or not path.startswith(route.prefix):
                continue
            if found is None or len(route.prefix) > len(found.prefix):
                found = route
        return found
