"""Maintenance of the listed entries.

An entry lists itself and new entries, and removes lost entries.
"""

import math
import random

from agatepick.config import cluster
from agatepick.config import history
from agatepick.config import membership
from agatepick.config import proposals
from agatepick import core
from agatepick.net import messages


class Listing:
    """Component that submits the listing and the removal of entries.

    :param leave_seconds: time after which a stopping entry exits even if it is
        still listed, since an outage of the store may last longer.
    """

    def __init__(
        self,
        me: messages.Member,
        version_history: history.History,
        members: membership.Membership,
        writer: proposals.Writer,
        rng: random.Random,
        leave_seconds: float,
    ):
        self._me = me
        self._history = version_history
        self._members = members
        self._writer = writer
        self._rng = rng
        self._leave_seconds = leave_seconds
        self._leave_deadline = math.inf
        self._stopped_at = 0.0
        self.may_exit = False
        """Whether this stopping entry may exit: neither the last known version
        nor the one in force lists it, or ``leave_seconds`` have passed."""

    @property
    def listed(self) -> bool:
        """Return whether this entry is listed in the last known version."""
        return self._history.latest.lists(self._me)

    def start_leaving(self, stopped_at: float, now: float) -> None:
        """Start to delist this entry.

        :param stopped_at: instant since which this entry admits no jobs.
        """
        self._stopped_at = stopped_at
        self._leave_deadline = min(
            self._leave_deadline, now + self._leave_seconds
        )
        self.update_may_exit(now)
        self._delist()

    def update_may_exit(self, now: float) -> None:
        """Update :attr:`may_exit` of a stopping entry."""
        if self._leave_deadline == math.inf:
            return
        listed = self.listed or self._history.in_force(now).lists(self._me)
        self.may_exit = (
            self.may_exit or not listed or now >= self._leave_deadline
        )

    def maintain(self) -> list[object]:
        """Request this entry's listing, or its removal if it is stopping."""
        if self._leave_deadline < math.inf:
            self._delist()
            return []
        if self.listed:
            return []
        change = cluster.EntryListed(
            self._me.name,
            self._me.incarnation,
            self._me.address,
            self._me.zone,
        )
        if self._members.get_living_names():
            return self._request_listing(change)
        self._submit(change)
        return []

    def list_peer(self, peer: str, change: cluster.Change) -> None:
        """Submit the listing that an unlisted peer requests for itself."""
        if isinstance(change, cluster.EntryListed) and change.name == peer:
            self._submit(change)

    def remove_lost(self, now: float) -> None:
        """Submit the removal of entries whose processes are dead or silent."""
        for member in self._members.find_lost(now):
            self._submit(cluster.EntryRemoved(member.name, member.incarnation))

    def _request_listing(self, change: cluster.EntryListed) -> list[object]:
        """Send a listed entry the request to write this entry's listing.

        If a new entry wrote its own listing, two listed entries that are cut
        off from the store and from the new entry could continue without it,
        and own the same new keys as the new entry.
        """
        reachable = (
            self._members.get_living_names()
            & self._members.connected_incarnations.keys()
        )
        if not reachable:
            return []
        version = self._history.version
        row = cluster.ChangeRow(
            version + 1, 0.0, change, self._me.name, self._me.incarnation, 0
        )
        data = cluster.encode(cluster.UncertainChange(row, 0.0))
        peer = self._rng.choice(sorted(reachable))
        return [core.Send(peer, messages.Intent(version, data))]

    def _delist(self) -> None:
        if self.listed and not self.may_exit:
            self._submit(
                cluster.EntryRemoved(
                    self._me.name, self._me.incarnation, self._stopped_at
                )
            )

    def _submit(self, change: cluster.Change) -> None:
        self._writer.submit(proposals.INTERNAL_REQUEST, change, None)
