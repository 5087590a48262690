"""State of each endpoint, and the table of all endpoints in the list."""

from __future__ import annotations

from api_gateway.decisions.ring import Ring
from api_gateway.model.endpoints import Endpoint, EndpointStatus, UpdateKind
from api_gateway.model.events import EndpointUpdate

MIN_WEIGHT = 1e-6
LONG_AGO_MS = -1e12


class EndpointState:
    """State that this gateway keeps of one endpoint.

    Args:
        endpoint: Its entry in the endpoint list.

    Attributes:
        in_flight: Number of this gateway's attempts in flight.
        latency_ratio: Running mean of the ratio of its latency to the typical latency of the request's class.
        consecutive_failures: Counted failures since its last success.
        ejection_count: Number of ejections since its last success, up to a limit; 0 if it is not ejected.
        ejected_until_ms: When the next probe may be sent.
        has_connect_failure: Whether a connect has failed since its last success; it may have restarted since.
        connection_idle_since_ms: When its last successful response left a connection idle.
        started_at_ms: When its process started, by the endpoint list; 0 if that is long ago.
        slow_start_began_at_ms: When its slow start began; 0 if that is long ago.
        slow_start_budget: Work that it may be sent in slow start, in milliseconds of typical latency, as of
            `slow_start_budget_at_ms`.
        last_attempt_at_ms: When it was last sent an attempt.
        last_time_slot: Number of the last time slot that was used to send it a single request.
    """

    def __init__(self, endpoint: Endpoint) -> None:
        self.name = endpoint.name
        self.in_flight = 0
        self.latency_ratio = 1.0
        self.consecutive_failures = 0
        self.ejection_count = 0
        self.ejected_until_ms = 0.0
        self.has_connect_failure = False
        self.connection_idle_since_ms = LONG_AGO_MS
        self.started_at_ms = 0.0
        self.slow_start_began_at_ms = 0.0
        self.slow_start_budget = 0.0
        self.slow_start_budget_at_ms = 0.0
        self.last_attempt_at_ms = 0.0
        self.last_time_slot = -1
        self.update(endpoint)

    @property
    def is_ejected(self) -> bool:
        """Whether it is ejected; it then gets only probes, until one succeeds."""
        return self.ejection_count > 0

    def update(self, endpoint: Endpoint) -> None:
        """Apply an entry of the endpoint list; a later start means a new process and resets the state."""
        self.zone = endpoint.zone
        self.failure_domain = endpoint.failure_domain
        self.weight = max(endpoint.weight, MIN_WEIGHT)
        self.is_up = endpoint.status is EndpointStatus.UP
        if endpoint.started_at_ms > self.started_at_ms:
            self.started_at_ms = self.slow_start_began_at_ms = endpoint.started_at_ms
            self.slow_start_budget = 0.0
            self.consecutive_failures = self.ejection_count = 0
            self.ejected_until_ms = 0.0
            self.has_connect_failure = False
            self.latency_ratio = 1.0

    def has_same_placement(self, endpoint: Endpoint) -> bool:
        """Whether an entry has the same zone and failure domain, and agrees on whether it is up."""
        is_up = endpoint.status is EndpointStatus.UP
        return (self.zone, self.failure_domain, self.is_up) == (endpoint.zone, endpoint.failure_domain, is_up)


class EndpointTable:
    """All endpoints of the endpoint list.

    Attributes:
        available: Endpoints that are up, by name.
        ring: The available endpoints, in an order that is the same in all gateways.
        revision: Incremented by each change that may affect the subset.
    """

    def __init__(self) -> None:
        self._endpoints: dict[str, EndpointState] = {}
        self._failure_domains: dict[tuple[str, int], dict[str, EndpointState]] = {}
        self.available: dict[str, EndpointState] = {}
        self.ring = Ring()
        self.revision = 0

    def __len__(self) -> int:
        """Return the number of endpoints, including draining ones."""
        return len(self._endpoints)

    def __getitem__(self, name: str) -> EndpointState:
        """Return the endpoint with this name."""
        return self._endpoints[name]

    def __contains__(self, name: str) -> bool:
        """Whether there is an endpoint with this name."""
        return name in self._endpoints

    def values(self) -> list[EndpointState]:
        """Return all endpoints, including draining ones."""
        return list(self._endpoints.values())

    def mark_changed(self) -> None:
        """Record a change of an endpoint that may affect the subset."""
        self.revision += 1

    def apply(self, update: EndpointUpdate) -> None:
        """Apply an update of the endpoint list; a complete list removes the endpoints that it omits."""
        if update.kind is not UpdateKind.CHANGES:
            listed = {endpoint.name for endpoint in update.endpoints}
            for name in [name for name in self._endpoints if name not in listed]:
                self._remove(name)
        for endpoint in update.endpoints:
            self._apply_entry(endpoint)

    def _apply_entry(self, endpoint: Endpoint) -> None:
        state = self._endpoints.get(endpoint.name)
        if endpoint.status is EndpointStatus.REMOVED:
            if state is not None:
                self._remove(endpoint.name)
        elif state is None:
            state = self._endpoints[endpoint.name] = EndpointState(endpoint)
            self._index(state)
        elif state.has_same_placement(endpoint):
            state.update(endpoint)
            self.mark_changed()
        else:
            self._unindex(state)
            state.update(endpoint)
            self._index(state)

    def _remove(self, name: str) -> None:
        self._unindex(self._endpoints.pop(name))

    def _index(self, state: EndpointState) -> None:
        self._failure_domains.setdefault((state.zone, state.failure_domain), {})[state.name] = state
        if state.is_up:
            self.ring.add(state.name, state.zone)
            self.available[state.name] = state
        self.mark_changed()

    def _unindex(self, state: EndpointState) -> None:
        domain = self._failure_domains[state.zone, state.failure_domain]
        del domain[state.name]
        if not domain:
            del self._failure_domains[state.zone, state.failure_domain]
        if self.available.pop(state.name, None) is not None:
            self.ring.remove(state.name, state.zone)
        self.mark_changed()

    def in_failure_domain_of(self, state: EndpointState) -> list[EndpointState]:
        """Return the endpoints in the failure domain of `state` that are up and not ejected."""
        domain = self._failure_domains.get((state.zone, state.failure_domain), {})
        return [other for other in domain.values() if other.is_up and not other.is_ejected]
