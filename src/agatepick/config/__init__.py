"""One cluster configuration, in force everywhere at an instant."""
