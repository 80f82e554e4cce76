"""Slopes of cost by size, and what follows at the planned size."""
