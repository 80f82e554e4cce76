"""The cluster configuration and the protocol that changes it."""
