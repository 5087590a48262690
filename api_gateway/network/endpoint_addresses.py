"""Detects that a new process has taken the address of an endpoint that is still listed."""

from __future__ import annotations

import logging
from dataclasses import replace
from operator import attrgetter

from api_gateway.model.endpoints import Endpoint, EndpointStatus
from api_gateway.network.address import Address
from api_gateway.network.discovery_codec import EndpointList

log = logging.getLogger(__name__)

_start_time = attrgetter("started_at_ms")


class EndpointAddresses:
    """The addresses of the listed endpoints.

    One process listens at an address. If an endpoint is listed there that started later than another one, the
    other one has ended, although discovery may report that later. Requests for it would go to the new
    process, beyond its slow-start budget. So the other one counts as removed.

    An address at which several endpoints with the same start are listed is shared, for example by a proxy in
    front of them, and identifies no process.
    """

    def __init__(self) -> None:
        self._endpoints: dict[Address, Endpoint] = {}
        self._addresses: dict[str, Address] = {}
        self._shared_addresses: set[Address] = set()

    def remove_superseded(self, update: EndpointList, *, is_full: bool) -> EndpointList:
        """Record the addresses of an update, and mark the endpoints that have lost theirs as removed.

        Args:
            update: A list of all endpoints or of changes.
            is_full: Whether it replaces all earlier ones.

        Returns:
            The update; with an entry for each endpoint that has lost its address to another one.
        """
        if is_full:
            self._endpoints.clear()
            self._addresses.clear()
        for entry in update.endpoints:
            if entry.status is EndpointStatus.REMOVED:
                self._release(entry.name)
        superseded: set[str] = set()
        for entry in sorted(update.endpoints, key=_start_time):
            if entry.status is not EndpointStatus.REMOVED:
                name = self._claim(entry, update.addresses[entry.name])
                if name is not None:
                    superseded.add(name)
        return _without_endpoints(update, superseded) if superseded else update

    def _claim(self, entry: Endpoint, address: Address) -> str | None:
        """Record the address of an endpoint; return the name of the one that has lost it, or None."""
        self._release(entry.name)
        if address in self._shared_addresses:
            return None
        other = self._endpoints.get(address)
        if other is None:
            self._record(entry, address)
            return None
        if other.started_at_ms == entry.started_at_ms:
            self._release(other.name)
            self._shared_addresses.add(address)
            return None
        earlier, later = sorted((other, entry), key=_start_time)
        log.info("endpoint_superseded endpoint=%s by=%s address=%s:%d", earlier.name, later.name, *address)
        self._release(other.name)
        self._record(later, address)
        return earlier.name

    def _record(self, entry: Endpoint, address: Address) -> None:
        self._endpoints[address] = entry
        self._addresses[entry.name] = address

    def _release(self, name: str) -> None:
        address = self._addresses.pop(name, None)
        if address is not None:
            del self._endpoints[address]


def _without_endpoints(update: EndpointList, names: set[str]) -> EndpointList:
    """Return an update in which the named endpoints are removed."""
    kept = tuple(entry for entry in update.endpoints if entry.name not in names)
    removed = tuple(Endpoint(name, status=EndpointStatus.REMOVED) for name in sorted(names))
    addresses = {name: address for name, address in update.addresses.items() if name not in names}
    return replace(update, endpoints=kept + removed, addresses=addresses)
