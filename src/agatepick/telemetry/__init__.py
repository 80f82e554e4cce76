"""What can be seen: the time line, logs and metrics."""
