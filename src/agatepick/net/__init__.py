"""Messages between processes, the links that carry them, and clocks."""
