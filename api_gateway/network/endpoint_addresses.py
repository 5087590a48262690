"""Detects that a new process has taken the address of an endpoint that is still listed."""

from __future__ import annotations

import logging
from dataclasses import dataclass, replace
from operator import attrgetter

from api_gateway.model.endpoints import Endpoint, EndpointStatus
from api_gateway.network.address import Address
from api_gateway.network.discovery_codec import EndpointList

log = logging.getLogger(__name__)


@dataclass(slots=True, frozen=True)
class _Process:
    """What identifies the process of an endpoint.

    Attributes:
        address: Host and port that it listens on.
        started_at_ms: When it started, in ms of Unix time; 0 if that is long ago.
    """

    address: Address
    started_at_ms: float


class EndpointAddresses:
    """The addresses of the listed endpoints.

    One process listens at an address. If an endpoint is listed there that started later than another one, the
    other one has ended, although discovery may report that later. Requests for it would go to the new
    process, beyond its slow-start budget. So the other one counts as removed.

    An address at which several endpoints with the same start are listed is shared, for example by a proxy in
    front of them, and identifies no process.
    """

    def __init__(self) -> None:
        self._processes: dict[str, _Process] = {}
        self._names_by_address: dict[Address, set[str]] = {}
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
            self._processes.clear()
            self._names_by_address.clear()
        for entry in update.endpoints:
            if entry.status is EndpointStatus.REMOVED:
                self._release(entry.name)
        superseded: set[str] = set()
        for entry in sorted(update.endpoints, key=attrgetter("started_at_ms")):
            if entry.status is not EndpointStatus.REMOVED:
                process = _Process(update.addresses[entry.name], entry.started_at_ms)
                superseded |= self._claim(entry.name, process)
        return _without_endpoints(update, superseded) if superseded else update

    def _claim(self, name: str, process: _Process) -> set[str]:
        """Record the address of an endpoint; return the name of the one that has lost it, if there is one."""
        self._release(name)
        names = self._names_by_address.setdefault(process.address, set())
        superseded = self._superseded(name, process, names)
        if name not in superseded:
            self._processes[name] = process
            names.add(name)
        for loser in superseded - {name}:
            self._release(loser)
        return superseded

    def _superseded(self, name: str, process: _Process, names: set[str]) -> set[str]:
        if not names or process.address in self._shared_addresses:
            return set()
        (other,) = names
        difference_ms = process.started_at_ms - self._processes[other].started_at_ms
        if difference_ms == 0:
            self._shared_addresses.add(process.address)
            return set()
        winner, loser = (name, other) if difference_ms > 0 else (other, name)
        log.info("endpoint_superseded endpoint=%s by=%s address=%s:%d", loser, winner, *process.address)
        return {loser}

    def _release(self, name: str) -> None:
        process = self._processes.pop(name, None)
        if process is None:
            return
        names = self._names_by_address[process.address]
        names.discard(name)
        if not names:
            del self._names_by_address[process.address]


def _without_endpoints(update: EndpointList, names: set[str]) -> EndpointList:
    """Return an update in which the named endpoints are removed."""
    kept = tuple(entry for entry in update.endpoints if entry.name not in names)
    removed = tuple(Endpoint(name, status=EndpointStatus.REMOVED) for name in sorted(names))
    addresses = {name: address for name, address in update.addresses.items() if name not in names}
    return replace(update, endpoints=kept + removed, addresses=addresses)
