"""Settings files, validated completely at startup."""
