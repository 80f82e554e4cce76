"""Benchmark of the programs against an ideal scheduler."""
