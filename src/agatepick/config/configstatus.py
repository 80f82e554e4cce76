"""Status of the cluster configuration, as shown to operators."""

import dataclasses

from agatepick.config import cluster
from agatepick.net import messages


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationStatus:
    """Status of the cluster configuration at one entry.

    :param version: the last known version; ``version_in_force`` is the one
        in force.
    :param lease_source: ``store``, ``peers`` or ``none``.
    :param lease_seconds: seconds until the read lease expires.
    :param uncertain: changes whose transactions may still take effect.
    :param lost: listed entries that this entry would now remove because their
        processes are dead or silent.
    :param in_force: the document in force.
    :param accepted: the last known document, which may come into force later.
    """

    version: int
    version_in_force: int
    in_force_at: float
    preset: str
    lease_source: str
    lease_seconds: float
    serving: bool
    settled: bool
    zones: tuple[cluster.Zone, ...]
    quotas: tuple[cluster.Quota, ...]
    leaving: tuple[str, ...]
    entries: tuple[messages.Member, ...]
    uncertain: tuple[cluster.ChangeRow, ...]
    lost: tuple[str, ...]
    in_force: cluster.ClusterConfig
    accepted: cluster.ClusterConfig
