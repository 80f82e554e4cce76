"""The table service, and what protects it from too many calls."""
