"""Addresses in the form HOST:PORT."""

from __future__ import annotations

Address = tuple[str, int]

MAX_PORT = 65535


def parse_address(text: str) -> Address | None:
    """Convert HOST:PORT, with an IPv6 address in brackets; None if the text does not have this form."""
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdigit() and int(port) <= MAX_PORT):
        return None
    return host.strip("[]"), int(port)
