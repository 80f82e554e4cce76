"""What operators are shown of the cluster configuration."""

import dataclasses

from agatepick.config import cluster
from agatepick.net import messages


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationStatus:
    """What an operator is shown.

    :param version: the last version known; ``version_in_force`` is in
        force.
    :param lease_source: ``store``, ``peers`` or ``none``.
    :param lease_seconds: seconds that the read lease has left.
    :param uncertain: changes whose fate isn't settled.
    :param lost: listed entries whose processes are gone or silent.
    :param in_force: the whole document in force.
    :param accepted: the last one known, which may be in force later.
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
