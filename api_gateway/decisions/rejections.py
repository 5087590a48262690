"""Answers that a request was not served and never ran."""

from __future__ import annotations

from api_gateway.decisions.admission import AdmissionController
from api_gateway.decisions.uptime import SWEEP_INTERVAL_MS
from api_gateway.model.actions import Action, RejectRequest
from api_gateway.model.results import RejectReason

MIN_RETRY_AFTER_MS = SWEEP_INTERVAL_MS  # while all is admitted; the admitted fraction changes at each sweep


class Rejections:
    """Rejects requests at once, and tells their clients when to come again (RFC 9110, section 10.2.3).

    Args:
        actions: Where the answers are added.
        admission: Knows what part of the requests is admitted.
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
            request_id: The request.
            reason: Why it is rejected.
            refill_ms: Time in which a quota refills by its units; Retry-After is longer while load is shed.
        """
        retry_after_ms = max(refill_ms, MIN_RETRY_AFTER_MS / self._admission.admitted_fraction)
        retry_after_ms = min(retry_after_ms, self._max_retry_after_ms)
        self._actions.append(RejectRequest(request_id, retry_after_ms, reason))
