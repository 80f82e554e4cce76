"""Job ownership, and the handling of a job from request to answer."""
