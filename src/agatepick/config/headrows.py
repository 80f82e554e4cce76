"""How the cluster configuration lies in the table service's rows.

``cluster/head`` is the :class:`~agatepick.config.cluster.Head`,
``change/VERSION`` one :class:`~agatepick.config.cluster.ChangeRow` each, and
``cluster/snapshot`` the whole document as of some version not long past, so
that a new process reads a few hundred rows at most.  All functions are pure.
"""

from agatepick.config import cluster
from agatepick.config import history
from agatepick import exceptions
from agatepick.table import store

CLUSTER = 'cluster'
CHANGE = 'change'
HEAD = 'head'
SNAPSHOT = 'snapshot'
SNAPSHOT_EVERY = 256
READ_LIMIT = 512
NO_HEAD = cluster.Head(0, 0.0)

read_head = store.ReadRow(CLUSTER, HEAD)
read_snapshot = store.ReadRow(CLUSTER, SNAPSHOT)


def read_changes(version: int) -> store.ReadAfter:
    """Reads the change rows after a version."""
    return store.ReadAfter(CHANGE, _key(version), READ_LIMIT)


def renew(head: cluster.Head, stamp: float) -> store.Transact:
    """Moves the stamp of ``head``, if it is still the head."""
    return store.Transact((_is(head),), (_put(head.version, stamp),))


def change(
    head: cluster.Head,
    row: cluster.ChangeRow,
    stamp: float,
    after: cluster.ClusterConfig,
) -> store.Transact:
    """Adds a change, if ``head`` is still the head.

    :param after: the document that the change makes.
    """
    puts = [
        _put(row.version, stamp),
        store.Row(CHANGE, _key(row.version), cluster.encode(row)),
    ]
    if row.version % SNAPSHOT_EVERY == 0:
        puts.append(store.Row(CLUSTER, SNAPSHOT, cluster.encode(after)))
    old = row.version - history.ROWS_KEPT
    deletes = (store.RowName(CHANGE, _key(old)),) if old > 0 else ()
    return store.Transact((_is(head),), tuple(puts), deletes)


def head_of(rows: store.Rows) -> cluster.Head:
    """The head that was read; :data:`NO_HEAD` in an empty store.

    :raises agatepick.exceptions.BadMessage: if the row is malformed.
    """
    if not rows.rows:
        return NO_HEAD
    return cluster.decode(rows.rows[0].value, cluster.Head)


def changes_of(rows: store.Rows) -> list[cluster.ChangeRow]:
    """The change rows that were read, in order.

    :raises agatepick.exceptions.BadMessage: if a row is malformed.
    """
    return [cluster.decode(row.value, cluster.ChangeRow) for row in rows.rows]


def snapshot_of(rows: store.Rows) -> cluster.ClusterConfig:
    """The document that was read.

    :raises agatepick.exceptions.BadMessage: if there is none.
    """
    if not rows.rows:
        raise exceptions.BadMessage('no snapshot', step='read snapshot')
    return cluster.decode(rows.rows[0].value, cluster.ClusterConfig)


def _key(version: int) -> str:
    return f'{version:012d}'


def _is(head: cluster.Head) -> store.Condition:
    value = None if head == NO_HEAD else cluster.encode(head)
    return store.Condition(CLUSTER, HEAD, value)


def _put(version: int, stamp: float) -> store.Row:
    return store.Row(
        CLUSTER, HEAD, cluster.encode(cluster.Head(version, stamp))
    )
