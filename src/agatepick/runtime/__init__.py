"""Whole processes: a reducer with its shell, links and signals."""
