"""Queues of jobs, and the pools in which their tasks may run."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """One queue of jobs.

    :param name: name of the queue, by which run times are learnt.
    :param host: host in the callers' requests.
    :param prefix: prefix of the path in the callers' requests.
    :param pool: pool of workers that run its tasks.
    :param priority: 0 is the most urgent.
    :param max_attempts: failed runs of one task after which its job fails.
    :param stretch: factor on the longest chain of work within which a job
        should end.
    :param target_seconds: seconds that a job may take beyond that multiple of
        its longest chain.
    """

    name: str
    host: str
    prefix: str
    pool: str
    priority: int = 1
    max_attempts: int = 3
    stretch: float = 1.6
    target_seconds: float = 0.06

    def slack(self, chain_seconds: float) -> float:
        """Return the seconds that a job may wait and still meet its objective.

        :param chain_seconds: expected seconds of its longest chain of work.
        """
        return (self.stretch - 1.0) * chain_seconds + self.target_seconds


@dataclasses.dataclass(frozen=True, slots=True)
class RouteTable:
    """All queues in one version of the desired state."""

    version: int
    routes: tuple[Route, ...]

    def match(self, host: str, path: str) -> Route | None:
        """Return the host's queue with the longest prefix of the path."""
        best: Route | None = None
        for route in self.routes:
            if route.host != host or not path.startswith(route.prefix):
                continue
            if best is None or len(route.prefix) > len(best.prefix):
                best = route
        return best
