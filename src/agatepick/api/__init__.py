"""The HTTP side towards callers and operators."""
