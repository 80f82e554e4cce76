"""Telemetry: the timeline, logs and metrics."""
