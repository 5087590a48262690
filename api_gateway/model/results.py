"""How attempts, counter calls and requests that are not served end."""

from __future__ import annotations

from enum import Enum

_NEVER_RAN = frozenset(
    ("OVERLOADED", "CONNECT_FAILED", "NOT_STARTED", "NOT_SENT", "LOCAL_LIMIT", "WITHDRAWN")
)


class AttemptResult(Enum):
    """How one attempt ended.

    Attributes:
        never_ran: Whether the result proves that the request never ran.
    """

    OK = "ok"
    ERROR = "error"
    OVERLOADED = "overloaded"  # rejected by the endpoint, with the promise that it did not run
    TIMED_OUT = "timed_out"
    CONNECT_FAILED = "connect_failed"
    CONNECTION_RESET = "connection_reset"
    CANCELLED = "cancelled"
    NOT_STARTED = "not_started"  # nobody waited for it any more, or its time was over
    MALFORMED_RESPONSE = "malformed_response"  # says little of the endpoint; it may have run
    STALE_CONNECTION = "stale_connection"  # a kept connection broke under its next request; it may have run
    NOT_SENT = "not_sent"  # the connection broke before the last byte was written
    LOCAL_LIMIT = "local_limit"  # a limit of the gateway's own; says nothing of the endpoint
    WITHDRAWN = "withdrawn"  # what it was decided on no longer held when it came to the write

    def __init__(self, _: str) -> None:
        """Note what the result proves."""
        self.never_ran = self.name in _NEVER_RAN

    __hash__ = object.__hash__  # members are single objects; the default hashes the name each time


class CounterResult(Enum):
    """How one call of the counter ended."""

    OK = "ok"
    OVERLOADED = "overloaded"  # rejected: nothing was added
    FAILED = "failed"  # nothing was added
    CONNECT_FAILED = "connect_failed"  # nothing was added
    TIMED_OUT = "timed_out"  # it may have been added
    MALFORMED_RESPONSE = "malformed_response"  # answered, so added, but with no total that can be read
    CONNECTION_LOST = "connection_lost"  # it may have been added, and the counter may be well

    @property
    def may_have_been_added(self) -> bool:
        """Whether the amount may have been added, so that it must not be added again."""
        return self in (
            CounterResult.OK,
            CounterResult.TIMED_OUT,
            CounterResult.MALFORMED_RESPONSE,
            CounterResult.CONNECTION_LOST,
        )


class RejectReason(Enum):
    """Why a request was rejected: it never ran, and the client may send it again."""

    UNSPECIFIED = "unspecified"
    UNKNOWN_CLASS_OR_PLAN = "unknown_class_or_plan"
    NO_ENDPOINTS = "no_endpoints"  # the endpoint list is empty
    DEADLINE_PASSED = "deadline_passed"
    OBJECTIVE_PASSED = "objective_passed"  # by earlier requests of the client, or while it waited for a total
    TENANT_TABLE_FULL = "tenant_table_full"
    LOAD_SHED = "load_shed"  # the back end is overloaded
    OVER_QUOTA = "over_quota"
    CONCURRENCY_LIMIT = "concurrency_limit"  # of the tenant's requests in flight
    CEILING = "ceiling"  # of the tenant's plan
    NO_ENDPOINT_AVAILABLE = "no_endpoint_available"  # none may be sent a request now
    ATTEMPTS_EXHAUSTED = "attempts_exhausted"  # no attempt ran, and no other is worth its cost
