"""The command line, its clients, and what it shows."""
