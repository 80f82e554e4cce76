"""Scheduling decisions under load, without any network access."""
