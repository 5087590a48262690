"""Validation of client requests, and the request head that is forwarded upstream."""

from __future__ import annotations

import re
from functools import lru_cache
from typing import NamedTuple

from api_gateway.model.settings import Idempotency, RequestClass, Settings
from api_gateway.network.downstream.request_parser import BadRequestError, ParsedRequest
from api_gateway.network.header_names import (
    CONTENT_TYPE_HEADER,
    DEADLINE_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    PLAN_HEADER,
    QUOTA_INFO_HEADER,
    REQUEST_CLASS_HEADER,
    RETRY_HEADER,
    X_REQUEST_ID_HEADER,
)
from api_gateway.network.open_requests import InboundRequest

# The protocol defines a tenant as a number below 2**33, written as 16 hexadecimal digits.
TENANT_ID_LIMIT = 2**33

_IDENTIFIER_PATTERN = re.compile(rb"[!-~]{1,128}")
_TENANT_PATTERN = re.compile(rb"[0-9a-fA-F]{16}")
_DEADLINE_PATTERN = re.compile(rb"([0-9]{1,12}(?:\.[0-9]{1,6})?)([mu])")
_UNITS_PATTERN = re.compile(r"[0-9]{1,9}(?:\.[0-9]{1,9})?")
_INTEGER_PATTERN = re.compile(r"[0-9]{1,6}")
_QUOTA_INFO_CACHE_SIZE = 1024
_MAX_QUOTA_INFO_BYTES = 256  # limits the memory of the cache


class QuotaInfo(NamedTuple):
    """Value of a Quota-Info header.

    Attributes:
        units: Size of the request in quota units, as estimated by the client.
        gateway_count: Number of gateways over which the tenant's requests are distributed.
        first_gateway: Index of the first of these gateways in the fleet.
    """

    units: float
    gateway_count: int
    first_gateway: int


class RequestValidator:
    """Validates requests against the settings, and converts them for the dispatcher.

    Attributes:
        parse_quota_info: Converts the value of a Quota-Info header to a `QuotaInfo`. Results are cached,
            since the same few values recur; the values must be short.
    """

    def __init__(self, settings: Settings) -> None:
        self._classes = {c.name.encode(): c for c in settings.classes}
        self._plans = {p.name.encode(): p.name for p in settings.plans}
        self._max_units = settings.max_request_units
        self._fleet_size = settings.fleet_size
        self.parse_quota_info = lru_cache(_QUOTA_INFO_CACHE_SIZE)(self._parse_quota_info)

    def validate(self, request: ParsedRequest) -> InboundRequest:
        """Convert a complete request.

        Raises:
            BadRequestError: If the request breaks the protocol, or its class or plan is not in the settings.
        """
        headers = request.headers
        tenant = _parse_tenant(request.path)
        request_class = self._classes.get(headers.get(REQUEST_CLASS_HEADER, b""))
        plan_name = self._plans.get(headers.get(PLAN_HEADER, b""))
        if request_class is None or plan_name is None:
            raise BadRequestError(
                "X-Class and Plan: expected a class and a plan of the settings, "
                f"got {headers.get(REQUEST_CLASS_HEADER)!r} and {headers.get(PLAN_HEADER)!r}"
            )
        remaining_time_ms = _parse_remaining_time_ms(headers.get(DEADLINE_HEADER, b""))
        quota_info = self._quota_info(headers.get(QUOTA_INFO_HEADER, b""))
        return InboundRequest(
            x_request_id=headers.get(X_REQUEST_ID_HEADER, b""),
            class_name=request_class.name,
            plan_name=plan_name,
            tenant=tenant,
            remaining_time_ms=min(remaining_time_ms, request_class.deadline_ms),
            units=quota_info.units,
            gateway_count=quota_info.gateway_count,
            first_gateway=quota_info.first_gateway,
            is_retry=headers.get(RETRY_HEADER) == b"1",
            received_at_s=request.received_at_s,
            head=_serialize_upstream_head(request, request_class),
            body=request.body,
        )

    def _quota_info(self, value: bytes) -> QuotaInfo:
        """Check the length of a Quota-Info value, and parse it or take the result from the cache.

        Raises:
            BadRequestError: If the value is too long, malformed or out of range.
        """
        if len(value) > _MAX_QUOTA_INFO_BYTES:
            raise BadRequestError(
                f"Quota-Info: expected at most {_MAX_QUOTA_INFO_BYTES} bytes, got {len(value)}"
            )
        return self.parse_quota_info(value)

    def _parse_quota_info(self, value: bytes) -> QuotaInfo:
        """Parse a value such as `units=2,spread=3,first=1`.

        Raises:
            BadRequestError: If the value does not have this form, or a number is out of range.
        """
        parts = value.decode("latin-1").split(",")
        fields = dict(part.strip().partition("=")[::2] for part in parts)
        units, spread, first = (fields.get(name, "") for name in ("units", "spread", "first"))
        if not (
            _UNITS_PATTERN.fullmatch(units)
            and _INTEGER_PATTERN.fullmatch(spread)
            and _INTEGER_PATTERN.fullmatch(first)
        ):
            raise BadRequestError(
                f"Quota-Info: expected units=NUMBER,spread=INTEGER,first=INTEGER, got {value!r}"
            )
        quota_info = QuotaInfo(float(units), int(spread), int(first))
        if not (
            0 < quota_info.units <= self._max_units
            and 1 <= quota_info.gateway_count <= self._fleet_size
            and quota_info.first_gateway < self._fleet_size
        ):
            raise BadRequestError(
                f"Quota-Info: expected units above 0 and at most {self._max_units:g}, spread from 1 to "
                f"{self._fleet_size} and first below {self._fleet_size}, got {value!r}"
            )
        return quota_info


def _parse_tenant(path: bytes) -> str:
    """Return the last segment of the path, the tenant, in lower case.

    Raises:
        BadRequestError: If the segment is not a tenant.
    """
    tenant = path.rpartition(b"/")[2]
    if not _TENANT_PATTERN.fullmatch(tenant) or int(tenant, 16) >= TENANT_ID_LIMIT:
        raise BadRequestError(
            f"tenant: expected a number below 2**33 as 16 hexadecimal digits, got {tenant!r}"
        )
    return tenant.decode().lower()


def _parse_remaining_time_ms(value: bytes) -> float:
    """Return the remaining time that an X-Deadline header gives, in milliseconds.

    Args:
        value: A number with its unit, milliseconds as in `250m` or microseconds as in `900u`.

    Raises:
        BadRequestError: If the value does not have this form.
    """
    match = _DEADLINE_PATTERN.fullmatch(value)
    if match is None:
        raise BadRequestError(f"X-Deadline: expected a number followed by m or u, got {value!r}")
    return float(match[1]) / (1 if match[2] == b"m" else 1000)


def _serialize_upstream_head(request: ParsedRequest, request_class: RequestClass) -> bytes:
    """Return the request line and the headers to forward, without X-Deadline and the final empty line.

    X-Deadline is added when an attempt is written, since its value depends on that time.

    Raises:
        BadRequestError: If X-Request-Id or Idempotency-Key is malformed, or the request does not fit the
            idempotency of its class.
    """
    headers = request.headers
    x_request_id = headers.get(X_REQUEST_ID_HEADER, b"")
    idempotency_key = headers.get(IDEMPOTENCY_KEY_HEADER)
    if not _IDENTIFIER_PATTERN.fullmatch(x_request_id):
        raise BadRequestError(
            f"X-Request-Id: expected 1 to 128 visible ASCII characters, got {x_request_id!r}"
        )
    if idempotency_key is not None and not _IDENTIFIER_PATTERN.fullmatch(idempotency_key):
        raise BadRequestError(
            f"Idempotency-Key: expected 1 to 128 visible ASCII characters, got {idempotency_key!r}"
        )
    _check_idempotency(request, request_class)
    parts = [request.method, b" ", request.target, b" HTTP/1.1\r\nHost: upstream\r\n"]
    parts += (b"X-Request-Id: ", x_request_id, b"\r\n")
    if idempotency_key is not None:
        parts += (b"Idempotency-Key: ", idempotency_key, b"\r\n")
    if request.method == b"POST":
        parts.append(b"Content-Length: %d\r\n" % len(request.body))
    content_type = headers.get(CONTENT_TYPE_HEADER)
    if content_type is not None:
        parts += (b"Content-Type: ", content_type, b"\r\n")
    return b"".join(parts)


def _check_idempotency(request: ParsedRequest, request_class: RequestClass) -> None:
    """Check that method, key and body fit the idempotency of the request class (RFC 9110 section 9.2.2).

    Raises:
        BadRequestError: If one of them does not.
    """
    is_idempotent = request_class.idempotency is Idempotency.IDEMPOTENT
    if request.method != (b"GET" if is_idempotent else b"POST"):
        raise BadRequestError(
            f"method: expected {'GET' if is_idempotent else 'POST'} for class {request_class.name!r}, "
            f"got {request.method!r}"
        )
    if is_idempotent and request.body:
        raise BadRequestError(f"body: expected none with GET, got {len(request.body)} bytes")
    if request_class.idempotency is Idempotency.WITH_KEY and IDEMPOTENCY_KEY_HEADER not in request.headers:
        raise BadRequestError(f"Idempotency-Key: is missing, but class {request_class.name!r} requires it")
