"""The versions of the cluster configuration that one process knows.

Several versions are known at once: the one in force, and later ones whose
``in_force_at`` is still to come.
"""

import collections
import collections.abc
import math

from agatepick.config import cluster
from agatepick.net import messages

ROWS_KEPT = 1024
"""Change rows kept to be handed on to peers, and in the store."""


class History:
    """Known versions; they only grow."""

    def __init__(self) -> None:
        self._docs = [cluster.ClusterConfig()]
        self._rows: collections.deque[cluster.ChangeRow] = collections.deque(
            maxlen=ROWS_KEPT
        )
        self.head = cluster.Head(0, 0.0)
        """The newest head known; its stamp is 0 if none was read yet."""

    @property
    def latest(self) -> cluster.ClusterConfig:
        """The last version, in force or not."""
        return self._docs[-1]

    @property
    def version(self) -> int:
        """Number of the last version."""
        return self.latest.version

    def knows(self, now: float) -> bool:
        """Whether the version in force at ``now`` is among the known."""
        return self._docs[0].in_force_at <= now

    def in_force(self, now: float) -> cluster.ClusterConfig:
        """The version in force at ``now``."""
        for doc in reversed(self._docs):
            if doc.in_force_at <= now:
                return doc
        return self._docs[0]

    def pending(self, now: float) -> tuple[cluster.ClusterConfig, ...]:
        """The versions that are not yet in force, in order."""
        return tuple(doc for doc in self._docs if doc.in_force_at > now)

    def departure(self, zone: str, now: float) -> float:
        """When a known change takes ``zone`` out next; infinity if none."""
        return _first(
            doc.in_force_at for doc in self.pending(now) if doc.zone_out(zone)
        )

    def removal(self, me: messages.Member, now: float) -> float:
        """When a known change removes ``me``; infinity if none."""
        return _first(
            doc.in_force_at for doc in self.pending(now) if not doc.lists(me)
        )

    def take(self, row: cluster.ChangeRow, now: float) -> bool:
        """Take the row of the next version; others are left alone.

        A message from a peer that lags, or an answer of the store that was
        overtaken, brings rows that are known already.  Taking one of them
        would turn the version back.

        :raises agatepick.exceptions.BadChange: if the row can't be applied.
        """
        if row.version != self.version + 1:
            return False
        self._docs.append(cluster.apply(self.latest, row))
        self._rows.append(row)
        self._advance(now)
        return True

    def adopt(self, config: cluster.ClusterConfig, now: float) -> bool:
        """Take a whole document, if it is newer than all that is known."""
        if config.version <= self.version:
            return False
        self._docs.append(config)
        if config.in_force_at > now:
            # The version in force before it was never seen.
            self._docs = [config]
        self._rows.clear()
        self._advance(now)
        return True

    def see(self, head: cluster.Head) -> None:
        """Note a head that was read; one older than known changes nothing."""
        if head.version == self.version and head.stamp > self.head.stamp:
            self.head = head

    def since(self, version: int) -> tuple[cluster.ChangeRow, ...]:
        """Rows after ``version``; empty if not all of them are kept."""
        rows = tuple(row for row in self._rows if row.version > version)
        if not rows or rows[0].version != version + 1:
            return ()
        return rows

    def row(self, version: int) -> cluster.ChangeRow | None:
        """The row that made a version, if it is kept."""
        for row in reversed(self._rows):
            if row.version == version:
                return row
        return None

    def _advance(self, now: float) -> None:
        self.head = cluster.Head(self.version, 0.0)
        current = self.in_force(now).version
        self._docs = [doc for doc in self._docs if doc.version >= current]


def _first(instants: collections.abc.Iterable[float]) -> float:
    return min(instants, default=math.inf)
