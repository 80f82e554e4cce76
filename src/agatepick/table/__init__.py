"""Client of the table service, with limits on its calls."""
