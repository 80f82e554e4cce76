"""The decisions under load, testable without a network."""
