"""Messages between processes, their connections, and clocks."""
