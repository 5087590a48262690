"""Names of the HTTP headers that the gateway uses, in lower case."""

from __future__ import annotations

# Of requests.
X_REQUEST_ID_HEADER = b"x-request-id"
REQUEST_CLASS_HEADER = b"x-class"
PLAN_HEADER = b"plan"
DEADLINE_HEADER = b"x-deadline"
QUOTA_INFO_HEADER = b"quota-info"
RETRY_HEADER = b"x-retry"
IDEMPOTENCY_KEY_HEADER = b"idempotency-key"
EXPECT_HEADER = b"expect"

# Of responses. An endpoint sets the first to 1 in a 503 or 504 response to a request that it has not run; the
# second is the number of quota units that the request used.
NOT_RUN_HEADER = b"x-not-run"
BILLED_UNITS_HEADER = b"billed-units"

# Of both (RFC 9110, RFC 9112).
CONTENT_LENGTH_HEADER = b"content-length"
CONTENT_TYPE_HEADER = b"content-type"
TRANSFER_ENCODING_HEADER = b"transfer-encoding"
