"""Whose job it is, and its way from the request to the answer."""
