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
        entry: Its entry in the endpoint list.

    Attributes:
        in_flight: Number of this gateway's attempts in flight.
        latency_ratio: Running mean of the ratio of its latency to the typical latency of the request's class.
        consecutive_failures: Counted failures since its last success.
        ejection_count: Number of ejections since its last success, up to a limit; 0 if it is not ejected.
        next_probe_at_ms: When its backoff ends and a probe is due; only valid while it is ejected.
        has_connect_failure: Whether a connect has failed since its last success; it may have restarted since.
        connection_idle_since_ms: When its last successful response left a connection idle.
        started_at_ms: When its process started, by the endpoint list; 0 if that is long ago.
        slow_start_began_at_ms: When its slow start began; 0 if that is long ago.
        slow_start_budget: Work that it may be sent in slow start, in milliseconds of typical latency, as of
            `slow_start_budget_at_ms`.
        slow_start_budget_at_ms: When the budget was last refilled.
        last_attempt_at_ms: When it was last sent an attempt.
        last_time_slot: Number of the last time slot that was used to send it a single request.
        zone: Zone that it runs in.
        failure_domain: Number of its failure domain within the zone.
        weight: Its capacity as a multiple of the standard capacity, above 0.
        is_up: Whether it accepts new requests.
    """

    def __init__(self, entry: Endpoint) -> None:
        self.name = entry.name
        self.in_flight = 0
        self.latency_ratio = 1.0
        self.consecutive_failures = 0
        self.ejection_count = 0
        self.next_probe_at_ms = 0.0
        self.has_connect_failure = False
        self.connection_idle_since_ms = LONG_AGO_MS
        self.started_at_ms = 0.0
        self.slow_start_began_at_ms = 0.0
        self.slow_start_budget = 0.0
        self.slow_start_budget_at_ms = 0.0
        self.last_attempt_at_ms = 0.0
        self.last_time_slot = -1
        self.update(entry)

    @property
    def is_ejected(self) -> bool:
        """Whether it is ejected; it then gets only probes, or attempts as a last resort.

        This ends when an attempt succeeds or the endpoint list shows a later start.
        """
        return self.ejection_count > 0

    def update(self, entry: Endpoint) -> None:
        """Apply an entry of the endpoint list.

        A later start means a new process: it begins its slow start, and its failures, ejection and latency
        ratio are reset.
        """
        self.zone = entry.zone
        self.failure_domain = entry.failure_domain
        self.weight = max(entry.weight, MIN_WEIGHT)
        self.is_up = entry.status is EndpointStatus.UP
        if entry.started_at_ms > self.started_at_ms:
            self.started_at_ms = self.slow_start_began_at_ms = entry.started_at_ms
            self.slow_start_budget = 0.0
            self.consecutive_failures = self.ejection_count = 0
            self.next_probe_at_ms = 0.0
            self.has_connect_failure = False
            self.latency_ratio = 1.0

    def has_same_placement(self, entry: Endpoint) -> bool:
        """Whether an entry has the same zone and failure domain, and agrees on whether it is up."""
        is_up = entry.status is EndpointStatus.UP
        return (self.zone, self.failure_domain, self.is_up) == (entry.zone, entry.failure_domain, is_up)


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
        """Return the endpoint with this name.

        Raises:
            KeyError: There is no such endpoint.
        """
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
        """Apply an update of the endpoint list, which must not be `FAILED`.

        `FULL` and `CACHED` remove the endpoints that they omit.
        """
        if update.kind is not UpdateKind.CHANGES:
            listed = {entry.name for entry in update.endpoints}
            for name in [name for name in self._endpoints if name not in listed]:
                self._remove(name)
        for entry in update.endpoints:
            self._apply_entry(entry)

    def _apply_entry(self, entry: Endpoint) -> None:
        state = self._endpoints.get(entry.name)
        if entry.status is EndpointStatus.REMOVED:
            if state is not None:
                self._remove(entry.name)
        elif state is None:
            state = self._endpoints[entry.name] = EndpointState(entry)
            self._index(state)
        elif state.has_same_placement(entry):
            state.update(entry)
            self.mark_changed()
        else:
            self._unindex(state)
            state.update(entry)
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
