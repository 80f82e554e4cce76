"""Stand-ins for the platform, for a walk on one machine."""
