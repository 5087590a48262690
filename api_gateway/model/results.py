"""Results of attempts and counter calls, and reasons of rejections."""

from __future__ import annotations

from enum import Enum

_NEVER_RAN = frozenset(
    ("OVERLOADED", "CONNECT_FAILED", "NOT_STARTED", "NOT_SENT", "LOCAL_LIMIT", "WITHDRAWN")
)


class AttemptResult(Enum):
    """How one attempt ended.

    Attributes:
        never_ran: Whether the result proves that the endpoint did not run the request.
    """

    OK = "ok"
    ERROR = "error"
    OVERLOADED = "overloaded"  # rejected by the endpoint, which guarantees that it did not run the request
    TIMED_OUT = "timed_out"
    CONNECT_FAILED = "connect_failed"
    CONNECTION_RESET = "connection_reset"
    CANCELLED = "cancelled"
    # Not sent: the client had disconnected, the deadline had passed, or `max_attempts` was reached.
    NOT_STARTED = "not_started"
    MALFORMED_RESPONSE = "malformed_response"  # the request may have run; says little about the endpoint
    STALE_CONNECTION = "stale_connection"  # a reused connection broke; the request may have run
    NOT_SENT = "not_sent"  # the connection broke before the last byte of the request was written
    LOCAL_LIMIT = "local_limit"  # reached a limit of this gateway; says nothing about the endpoint
    # Ended before its last byte was written: the endpoint was draining, removed or replaced by a new process,
    # the client had a response or had disconnected, or the write deadline had passed.
    WITHDRAWN = "withdrawn"

    def __init__(self, _: str) -> None:
        """Set `never_ran`."""
        self.never_ran = self.name in _NEVER_RAN

    __hash__ = object.__hash__  # by identity: the hash of Enum computes that of the name on each call


class CounterResult(Enum):
    """How one call of the counter service ended."""

    OK = "ok"
    OVERLOADED = "overloaded"  # rejected by the counter; nothing was added
    FAILED = "failed"  # nothing was added
    CONNECT_FAILED = "connect_failed"  # nothing was added
    TIMED_OUT = "timed_out"  # the amount may have been added
    MALFORMED_RESPONSE = "malformed_response"  # the amount may have been added; no usable counter value
    CONNECTION_LOST = "connection_lost"  # the amount may have been added; says little about the counter

    @property
    def may_have_been_added(self) -> bool:
        """Whether the amount may have been added, so that adding it again could count it twice."""
        return self in (
            CounterResult.OK,
            CounterResult.TIMED_OUT,
            CounterResult.MALFORMED_RESPONSE,
            CounterResult.CONNECTION_LOST,
        )


class RejectReason(Enum):
    """Why a request was rejected; a rejected request never ran, and the client may retry it."""

    UNSPECIFIED = "unspecified"
    UNKNOWN_CLASS_OR_PLAN = "unknown_class_or_plan"
    NO_ENDPOINTS = "no_endpoints"  # the endpoint list is empty
    DEADLINE_PASSED = "deadline_passed"
    # The latency objective passed during earlier requests, or while waiting for a counter value.
    OBJECTIVE_PASSED = "objective_passed"
    TENANT_TABLE_FULL = "tenant_table_full"
    LOAD_SHED = "load_shed"  # shed since the back end is overloaded
    OVER_QUOTA = "over_quota"
    CONCURRENCY_LIMIT = "concurrency_limit"  # the tenant has too many requests in flight
    CEILING = "ceiling"  # the tenant is at the ceiling of its plan
    NO_ENDPOINT_AVAILABLE = "no_endpoint_available"  # no endpoint may be sent the request now
    ATTEMPTS_EXHAUSTED = "attempts_exhausted"  # no attempt ran; a further one is impossible or not worthwhile
