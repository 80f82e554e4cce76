"""Cost of the programs by size, extrapolated to the planned size."""
