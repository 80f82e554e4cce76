"""Versions of the cluster configuration that a process holds.

A process holds several versions at once: the one in force, and later ones
whose ``in_force_at`` is in the future.
"""

import collections
import collections.abc
import math

from agatepick.config import cluster
from agatepick.net import messages

MAX_ROWS_KEPT = 1024
"""Change rows kept in memory, to send them to peers, and in the store."""


class History:
    """Known versions of the document; only later ones are added."""

    def __init__(self) -> None:
        self._docs = [cluster.ClusterConfig()]
        self._rows: collections.deque[cluster.ChangeRow] = collections.deque(
            maxlen=MAX_ROWS_KEPT
        )
        self.head = cluster.Head(0, 0.0)
        """The newest known head; its stamp is 0 until that head is read."""

    @property
    def latest(self) -> cluster.ClusterConfig:
        """Return the last known document, whether in force or not."""
        return self._docs[-1]

    @property
    def version(self) -> int:
        """Return the number of the last known version."""
        return self.latest.version

    def covers(self, now: float) -> bool:
        """Return whether the version in force at ``now`` is known."""
        return self._docs[0].in_force_at <= now

    def in_force(self, now: float) -> cluster.ClusterConfig:
        """Return the version in force at ``now``.

        If it is not known, the result is the earliest known version.
        """
        for doc in reversed(self._docs):
            if doc.in_force_at <= now:
                return doc
        return self._docs[0]

    def pending(self, now: float) -> tuple[cluster.ClusterConfig, ...]:
        """Return the versions that are not in force yet, in order."""
        return tuple(doc for doc in self._docs if doc.in_force_at > now)

    def find_departure_time(self, zone: str, now: float) -> float:
        """Return when a pending version will take ``zone`` out of service.

        The result is infinity if there is none.
        """
        return _find_earliest(
            doc.in_force_at for doc in self.pending(now) if doc.zone_out(zone)
        )

    def find_removal_time(self, me: messages.Member, now: float) -> float:
        """Return when a pending version will remove ``me``.

        The result is infinity if there is none.
        """
        return _find_earliest(
            doc.in_force_at for doc in self.pending(now) if not doc.lists(me)
        )

    def add_row(self, row: cluster.ChangeRow, now: float) -> bool:
        """Add the row of the next version; ignore any other row.

        A message of a lagging peer or a reordered answer of the store holds
        rows that are known already.  Adding one of them would revert to an
        older version.

        :returns: whether the row was added.
        :raises agatepick.exceptions.BadChange: if the row can't be applied.
        """
        if row.version != self.version + 1:
            return False
        self._docs.append(cluster.apply(self.latest, row))
        self._rows.append(row)
        self._advance(now)
        return True

    def add_snapshot(self, config: cluster.ClusterConfig, now: float) -> bool:
        """Add a whole document if it is newer than every known version.

        :returns: whether the document was added.
        """
        if config.version <= self.version:
            return False
        self._docs.append(config)
        if config.in_force_at > now:
            # The version in force at present is unknown, since the changes
            # between the known versions and the snapshot are missing.
            self._docs = [config]
        self._rows.clear()
        self._advance(now)
        return True

    def record_head(self, head: cluster.Head) -> None:
        """Record a head that was read, unless a newer one is known."""
        if head.version == self.version and head.stamp > self.head.stamp:
            self.head = head

    def get_rows_since(self, version: int) -> tuple[cluster.ChangeRow, ...]:
        """Return all rows after ``version``; empty if one isn't kept."""
        rows = tuple(row for row in self._rows if row.version > version)
        if not rows or rows[0].version != version + 1:
            return ()
        return rows

    def row(self, version: int) -> cluster.ChangeRow | None:
        """Return the row that created a version, if it is kept."""
        for row in reversed(self._rows):
            if row.version == version:
                return row
        return None

    def _advance(self, now: float) -> None:
        self.head = cluster.Head(self.version, 0.0)
        current = self.in_force(now).version
        self._docs = [doc for doc in self._docs if doc.version >= current]


def _find_earliest(instants: collections.abc.Iterable[float]) -> float:
    return min(instants, default=math.inf)
