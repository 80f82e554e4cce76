"""Measures the programs against an ideal scheduler."""
