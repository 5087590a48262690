"""One process of an upstream endpoint, with its idle connections."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from api_gateway.network.upstream.connection import UpstreamConnection


@dataclass(slots=True, eq=False)
class UpstreamEndpoint:
    """One process of an upstream endpoint.

    Another address or a later start time under the same name means another process, with its own object.

    Attributes:
        name: Name of the endpoint.
        address: Host and port.
        started_at_ms: When the process started, in ms of Unix time.
        is_draining: Whether it finishes its requests and accepts no new ones.
        idle_connections: Its idle connections, the most recently used one last.
    """

    name: str
    address: tuple[str, int]
    started_at_ms: float
    is_draining: bool = False
    idle_connections: list[UpstreamConnection] = field(default_factory=list)

    def is_replaced_by(self, address: tuple[str, int], started_at_ms: float) -> bool:
        """Return whether an entry of the endpoint list is for another process than this one.

        Args:
            address: Host and port of the entry.
            started_at_ms: Start time of the entry, in ms of Unix time.
        """
        return self.address != address or started_at_ms > self.started_at_ms

    def pop_reusable_connection(self, idle_before: float) -> UpstreamConnection | None:
        """Remove and return the most recently used connection that is reusable, or None.

        Args:
            idle_before: Event-loop time in s. Connections that became idle later are skipped, since stray
                bytes after their last response may still arrive.
        """
        for i in range(len(self.idle_connections) - 1, -1, -1):
            connection = self.idle_connections[i]
            if connection.idle_since <= idle_before and connection.is_reusable():
                del self.idle_connections[i]
                return connection
        return None

    def close_expired_connections(self, idle_before: float) -> None:
        """Close the connections that became idle before `idle_before`, an event-loop time in s."""
        while self.idle_connections and self.idle_connections[0].idle_since < idle_before:
            self.idle_connections.pop(0).abort()

    def close_idle_connections(self) -> None:
        """Close all idle connections."""
        idle_connections, self.idle_connections = self.idle_connections, []
        for connection in idle_connections:
            connection.abort()
