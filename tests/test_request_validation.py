"""Framing and validation of client requests, without a connection."""

from __future__ import annotations

import pytest
from support.gateway_driver import BASIC_PLAN, PAY_CLASS, PUT_CLASS, READ_CLASS, settings

from api_gateway.network.dispatcher import InboundRequest
from api_gateway.network.downstream.request_parser import (
    MAX_REQUEST_BODY_BYTES,
    BadRequestError,
    ParsedRequest,
)
from api_gateway.network.downstream.request_validation import RequestValidator


def parsed_request(
    class_name: bytes, method: bytes, body: bytes = b"", **headers: bytes | None
) -> ParsedRequest:
    """Return a valid request; `headers` replace the defaults, and None leaves a header out."""
    request = ParsedRequest()
    request.target = b"/api/v2/00000000B4D65521?page=2"
    request.path = b"/api/v2/00000000B4D65521"
    request.method = method
    defaults = {
        "x_request_id": b"id-1",
        "x_class": class_name,
        "plan": b"basic",
        "x_deadline": b"250m",
        "quota_info": b"units=1.5,spread=2,first=1",
    }
    for name, value in (defaults | headers).items():
        if value is not None:
            request.headers[name.replace("_", "-").encode()] = value
    request.body = body
    return request


def validate(request: ParsedRequest) -> InboundRequest:
    test_settings = settings(
        classes=(READ_CLASS, PUT_CLASS, PAY_CLASS), plans=(BASIC_PLAN,), max_request_units=4
    )
    return RequestValidator(test_settings).validate(request)


def test_get_is_converted() -> None:
    request = parsed_request(b"read", b"GET", x_retry=b"1")
    request.received_at_s = 17.0
    assert validate(request) == InboundRequest(
        x_request_id=b"id-1",
        class_name="read",
        plan_name="basic",
        tenant="00000000b4d65521",
        remaining_time_ms=250.0,
        units=1.5,
        gateway_count=2,
        first_gateway=1,
        is_retry=True,
        received_at_s=17.0,
        head=b"GET /api/v2/00000000B4D65521?page=2 HTTP/1.1\r\nHost: upstream\r\nX-Request-Id: id-1\r\n",
        body=b"",
    )


def test_post_is_forwarded_with_key_length_and_type() -> None:
    request = parsed_request(
        b"put", b"POST", body=b"data", idempotency_key=b"k", content_type=b"text/plain", plan=b"basic"
    )
    inbound_request = validate(request)
    assert inbound_request.head == (
        b"POST /api/v2/00000000B4D65521?page=2 HTTP/1.1\r\nHost: upstream\r\nX-Request-Id: id-1\r\n"
        b"Idempotency-Key: k\r\nContent-Length: 4\r\nContent-Type: text/plain\r\n"
    )
    assert inbound_request.body == b"data"
    assert not inbound_request.is_retry


@pytest.mark.parametrize(
    ("value", "remaining_time_ms"), [(b"900u", 0.9), (b"250m", 250.0), (b"1.5m", 1.5), (b"60000m", 4000.0)]
)
def test_deadline_is_in_milliseconds_and_at_most_that_of_the_class(
    value: bytes, remaining_time_ms: float
) -> None:
    assert validate(parsed_request(b"read", b"GET", x_deadline=value)).remaining_time_ms == remaining_time_ms


@pytest.mark.parametrize(
    "request_",
    [
        parsed_request(b"read", b"POST"),
        parsed_request(b"read", b"GET", body=b"data"),
        parsed_request(b"put", b"GET", idempotency_key=b"k"),
        parsed_request(b"put", b"POST"),
        parsed_request(b"pay", b"POST", idempotency_key=b"two words"),
        parsed_request(b"pay", b"POST", x_request_id=b"x" * 129),
        parsed_request(b"pay", b"POST", quota_info=b"units=4.5,spread=1,first=0"),
        parsed_request(b"pay", b"POST", quota_info=b"units=1,spread=4,first=0"),
        parsed_request(b"pay", b"POST", quota_info=b"units=1,spread=1,first=3"),
        parsed_request(b"pay", b"POST", plan=None),
    ],
)
def test_invalid_request_is_rejected(request_: ParsedRequest) -> None:
    with pytest.raises(BadRequestError) as raised:
        validate(request_)
    assert raised.value.status == 400


@pytest.mark.parametrize(
    ("headers", "status"),
    [
        ({b"content-length": b"1_0"}, 400),
        ({b"content-length": b"1", b"transfer-encoding": b"chunked"}, 400),
        ({b"transfer-encoding": b"gzip, chunked"}, 400),
        ({b"content-length": b"%d" % (MAX_REQUEST_BODY_BYTES + 1)}, 413),
    ],
)
def test_ambiguous_or_too_long_framing_is_rejected(headers: dict[bytes, bytes], status: int) -> None:
    request = ParsedRequest()
    request.headers = headers
    with pytest.raises(BadRequestError) as raised:
        request.check_framing()
    assert raised.value.status == status


@pytest.mark.parametrize(
    "headers",
    [{}, {b"content-length": b"%d" % MAX_REQUEST_BODY_BYTES}, {b"transfer-encoding": b" Chunked "}],
)
def test_unambiguous_framing_is_accepted(headers: dict[bytes, bytes]) -> None:
    request = ParsedRequest()
    request.headers = headers
    request.check_framing()


def test_cache_of_quota_info_values_holds_short_values_only() -> None:
    # Guards against a crash: valid values with a filler were cached, 1,024 of them took 32 MB.
    validator = RequestValidator(settings(classes=(READ_CLASS,), plans=(BASIC_PLAN,), max_request_units=4))
    with_filler = b"units=1,spread=1,first=0,filler=" + 1000 * b"x"
    with pytest.raises(BadRequestError, match="Quota-Info: expected at most 256 bytes, got 1032"):
        validator.validate(parsed_request(b"read", b"GET", quota_info=with_filler))
    assert validator.parse_quota_info.cache_info().currsize == 0
    validator.validate(parsed_request(b"read", b"GET", quota_info=b"units=1,spread=1,first=0,filler=x"))
    assert validator.parse_quota_info.cache_info().currsize == 1
