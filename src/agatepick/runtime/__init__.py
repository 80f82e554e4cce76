"""Processes: a reducer with its shell, links and signal handling."""
