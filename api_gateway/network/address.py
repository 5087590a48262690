"""Addresses in the form HOST:PORT."""

from __future__ import annotations

Address = tuple[str, int]

MAX_PORT = 65535


def parse_address(text: str) -> Address | None:
    """Parse HOST:PORT, where an IPv6 address is in brackets.

    Returns:
        The host without brackets and the port, or None if the text does not have this form.
    """
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdigit() and int(port) <= MAX_PORT):
        return None
    return host.strip("[]"), int(port)
