"""Stand-ins for the platform, to run agatepick on one machine."""
