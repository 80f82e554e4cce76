"""The agent beside an upstream, which starts each task at most once."""
