"""Layout of the cluster configuration in the table service's rows.

``cluster/head`` holds the :class:`~agatepick.config.cluster.Head`, each
``change/VERSION`` one :class:`~agatepick.config.cluster.ChangeRow`, and
``cluster/snapshot`` the whole document as of a recent version, so that a new
process reads a few hundred rows at most.  All functions are pure.
"""

from agatepick.config import cluster
from agatepick.config import history
from agatepick import exceptions
from agatepick.table import store

CLUSTER_TABLE = 'cluster'
CHANGE_TABLE = 'change'
HEAD_KEY = 'head'
SNAPSHOT_KEY = 'snapshot'
VERSIONS_PER_SNAPSHOT = 256
MAX_ROWS_PER_READ = 512
NO_HEAD = cluster.Head(0, 0.0)

READ_HEAD = store.ReadRow(CLUSTER_TABLE, HEAD_KEY)
READ_SNAPSHOT = store.ReadRow(CLUSTER_TABLE, SNAPSHOT_KEY)


def make_changes_request(version: int) -> store.ReadAfter:
    """Return the request that reads the change rows after a version."""
    return store.ReadAfter(
        CHANGE_TABLE, _format_key(version), MAX_ROWS_PER_READ
    )


def make_renewal_transaction(
    head: cluster.Head, stamp: float
) -> store.Transact:
    """Return the transaction that renews the stamp of ``head``.

    It takes effect only if ``head`` is still the head.
    """
    return store.Transact(
        (_make_head_condition(head),), (_make_head_row(head.version, stamp),)
    )


def make_change_transaction(
    head: cluster.Head,
    row: cluster.ChangeRow,
    stamp: float,
    after: cluster.ClusterConfig,
) -> store.Transact:
    """Return the transaction that writes a change.

    It takes effect only if ``head`` is still the head.

    :param stamp: stamp of the new head.
    :param after: the document that results from the change.
    """
    puts = [
        _make_head_row(row.version, stamp),
        store.Row(CHANGE_TABLE, _format_key(row.version), cluster.encode(row)),
    ]
    if row.version % VERSIONS_PER_SNAPSHOT == 0:
        puts.append(
            store.Row(CLUSTER_TABLE, SNAPSHOT_KEY, cluster.encode(after))
        )
    old = row.version - history.MAX_ROWS_KEPT
    deletes = (
        (store.RowName(CHANGE_TABLE, _format_key(old)),) if old > 0 else ()
    )
    return store.Transact((_make_head_condition(head),), tuple(puts), deletes)


def parse_head(rows: store.Rows) -> cluster.Head:
    """Return the head that was read; :data:`NO_HEAD` in an empty store.

    :raises agatepick.exceptions.BadMessage: if the row is malformed.
    """
    if not rows.rows:
        return NO_HEAD
    return cluster.decode(rows.rows[0].value, cluster.Head)


def parse_changes(rows: store.Rows) -> list[cluster.ChangeRow]:
    """Return the change rows that were read, in order.

    :raises agatepick.exceptions.BadMessage: if a row is malformed.
    """
    return [cluster.decode(row.value, cluster.ChangeRow) for row in rows.rows]


def parse_snapshot(rows: store.Rows) -> cluster.ClusterConfig:
    """Return the document of the snapshot that was read.

    :raises agatepick.exceptions.BadMessage: if there is no snapshot or it is
        malformed.
    """
    if not rows.rows:
        raise exceptions.BadMessage('no snapshot', step='read snapshot')
    return cluster.decode(rows.rows[0].value, cluster.ClusterConfig)


def _format_key(version: int) -> str:
    return f'{version:012d}'


def _make_head_condition(head: cluster.Head) -> store.Condition:
    value = None if head == NO_HEAD else cluster.encode(head)
    return store.Condition(CLUSTER_TABLE, HEAD_KEY, value)


def _make_head_row(version: int, stamp: float) -> store.Row:
    return store.Row(
        CLUSTER_TABLE, HEAD_KEY, cluster.encode(cluster.Head(version, stamp))
    )
