"""Weights of rendezvous hashing, which all processes compute alike.

Each chooses by weight for itself: they need no coordination, and a process
that is added or lost moves only its own share.
"""

import hashlib


def weigh(chooser: str, choice: str) -> bytes:
    """Return the weight of a choice for a chooser; the least one is chosen."""
    pair = f'{chooser} {choice}'.encode()
    return hashlib.blake2b(pair, digest_size=8).digest()
