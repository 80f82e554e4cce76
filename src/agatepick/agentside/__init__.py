"""The agent beside an upstream: each task starts at most once."""
