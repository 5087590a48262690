"""What the process may use, and how it is divided."""

from __future__ import annotations

import math
import resource
from collections.abc import Mapping
from dataclasses import dataclass

from api_gateway.decisions.tenants import DEFAULT_MAX_TENANTS
from api_gateway.errors import ConfigurationError

DEFAULT_MEMORY_MB = 192.0
BYTES_PER_MB = 1024 * 1024
# Memory for the interpreter, the connections and the endpoint list.
BASE_MEMORY_MB = 24.0
# Fraction of the remaining memory for messages that are incomplete, in flight or unsent, and for the tenants.
# The allocator leaves free memory between objects, and some messages are copied while they are forwarded.
MESSAGE_MEMORY_FRACTION = 0.25
TENANT_MEMORY_FRACTION = 0.25
# Memory for each of the two if the limit leaves less.
MIN_MEMORY_MB = 1.0
# Approximate memory of a tenant.
TENANT_BYTES = 2 * 1024

DEFAULT_DESCRIPTORS = 1024
MIN_DESCRIPTORS = 128
# Fractions of the file descriptors for connections from clients and to endpoints.
DOWNSTREAM_FRACTION = 0.5
UPSTREAM_FRACTION = 0.36
# Descriptors for all other uses: four connections to the counter and one to discovery (twice as many while a
# SIGHUP replaces them), the listening socket, the standard streams, those of the event loop, and connections
# that were closed in one iteration of the event loop and are freed in the next.
RESERVED_DESCRIPTORS = 30


@dataclass(slots=True, frozen=True)
class ProcessLimits:
    """Limits of the process, and how much of them each part may use.

    Attributes:
        memory_mb: Memory that the process may use, in MB of 2**20 bytes.
        descriptors: File descriptors that the process may hold.
    """

    memory_mb: float = DEFAULT_MEMORY_MB
    descriptors: int = DEFAULT_DESCRIPTORS

    @property
    def message_bytes(self) -> int:
        """Memory for the messages of all connections together."""
        return self._fraction_bytes(MESSAGE_MEMORY_FRACTION)

    @property
    def tenants(self) -> int:
        """Number of tenants whose state may be kept."""
        return min(self._fraction_bytes(TENANT_MEMORY_FRACTION) // TENANT_BYTES, DEFAULT_MAX_TENANTS)

    def _fraction_bytes(self, fraction: float) -> int:
        """Return a fraction of the memory that exceeds `BASE_MEMORY_MB`."""
        fraction_mb = fraction * (self.memory_mb - BASE_MEMORY_MB)
        return int(max(fraction_mb, MIN_MEMORY_MB) * BYTES_PER_MB)

    @property
    def downstream_connections(self) -> int:
        """Number of connections from clients."""
        return int(DOWNSTREAM_FRACTION * self.descriptors)

    @property
    def upstream_connections(self) -> int:
        """Number of connections to endpoints, which leaves `RESERVED_DESCRIPTORS` free."""
        unreserved = self.descriptors - self.downstream_connections - RESERVED_DESCRIPTORS
        return min(int(UPSTREAM_FRACTION * self.descriptors), unreserved)


def parse_limits(raw: object) -> ProcessLimits:
    """Convert the `limits` of the configuration file.

    Args:
        raw: The JSON object; None or an empty one for the defaults.

    Raises:
        ConfigurationError: A limit is invalid, or the operating system allows too few descriptors.
    """
    limits = raw or {}
    if not isinstance(limits, dict):
        raise ConfigurationError("limits: must be an object")
    return ProcessLimits(_parse_memory_mb(limits), _parse_descriptors(limits))


def _parse_memory_mb(limits: Mapping[str, object]) -> float:
    value = limits.get("memory_mb", DEFAULT_MEMORY_MB)
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value < math.inf:
        raise ConfigurationError("limits.memory_mb: must be a number above 0")
    return value


def _parse_descriptors(limits: Mapping[str, object]) -> int:
    value = limits.get("sockets", DEFAULT_DESCRIPTORS)
    if not isinstance(value, int) or value < MIN_DESCRIPTORS:
        raise ConfigurationError(f"limits.sockets: must be a whole number of {MIN_DESCRIPTORS} or more")
    system_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if system_limit == resource.RLIM_INFINITY:
        return value
    if system_limit < MIN_DESCRIPTORS:
        raise ConfigurationError(
            f"limits.sockets: the system allows {system_limit} descriptors, {MIN_DESCRIPTORS} are needed"
        )
    return min(value, system_limit)
