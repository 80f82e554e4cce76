"""Settings files, checked whole at the start."""
