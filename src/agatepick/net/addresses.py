"""Addresses of other processes, as ``ip:port``."""

import ipaddress

MAX_PORT = 65535


class BadAddress(ValueError):
    """Error for a text that is no address; the message says why."""


def split(address: str) -> tuple[str, int]:
    """Return the IPv4 number and the port of an address.

    :raises BadAddress: if it hasn't the form ``ip:port``.
    """
    host, _, text = address.rpartition(':')
    if not (text.isascii() and text.isdigit() and len(text) <= 5):
        raise BadAddress('no port')
    port = int(text)
    if not 0 < port <= MAX_PORT:
        raise BadAddress('port out of range')
    try:
        ipaddress.IPv4Address(host)
    except ValueError as exc:
        raise BadAddress('no IPv4 address') from exc
    return host, port
