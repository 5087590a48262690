"""Rejection of requests, with the time after which their clients should retry."""

from __future__ import annotations

from api_gateway.decisions.admission import AdmissionController
from api_gateway.decisions.uptime import SWEEP_INTERVAL_MS
from api_gateway.model.actions import Action, RejectRequest
from api_gateway.model.results import RejectReason

# Retry-After while all requests are admitted. Since the admitted fraction changes at each sweep, an earlier
# retry would meet the same decision.
MIN_RETRY_AFTER_MS = SWEEP_INTERVAL_MS


class Rejections:
    """Rejects requests with a Retry-After (RFC 9110, section 10.2.3).

    Args:
        actions: List that actions are added to.
        admission: Provides the admitted fraction; the smaller it is, the longer Retry-After.
        max_retry_after_ms: Longest Retry-After allowed; 0 for none.
    """

    def __init__(
        self, actions: list[Action], admission: AdmissionController, max_retry_after_ms: float
    ) -> None:
        self._actions = actions
        self._admission = admission
        self._max_retry_after_ms = max_retry_after_ms

    def reject(self, request_id: str, reason: RejectReason, refill_ms: float = 0.0) -> None:
        """Reject a request.

        Args:
            request_id: Id of the request.
            reason: Why it is rejected.
            refill_ms: Time in which the tenant's quota refills by the units of the request; Retry-After is at
                least this long, up to its maximum.
        """
        retry_after_ms = max(refill_ms, MIN_RETRY_AFTER_MS / self._admission.admitted_fraction)
        retry_after_ms = min(retry_after_ms, self._max_retry_after_ms)
        self._actions.append(RejectRequest(request_id, retry_after_ms, reason))
