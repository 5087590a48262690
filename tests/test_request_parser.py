"""Limits of the request parser."""

from __future__ import annotations

import pytest
from support.http_fakes import request_bytes

from api_gateway.network.downstream.request_parser import MAX_OTHER_HEADERS, RequestError, RequestParser

REQUEST = request_bytes("put", body=b"order")


def parse(data: bytes) -> RequestParser:
    """Feed data to a new parser."""
    parser = RequestParser(lambda: None)
    parser.feed(memoryview(data))
    return parser


def with_header_count(count: int) -> bytes:
    """Return a request that has as many headers that are not used; `Host` is one of them."""
    head, _, body = REQUEST.partition(b"\r\n\r\n")
    fields = b"".join(b"\r\nx%d:" % number for number in range(count - 1))
    return head + fields + b"\r\n\r\n" + body


def test_request_with_the_most_headers_is_accepted() -> None:
    (request,) = parse(with_header_count(MAX_OTHER_HEADERS)).queue
    assert not isinstance(request, RequestError)
    assert request.body == b"order"


@pytest.mark.parametrize(
    "data", [with_header_count(MAX_OTHER_HEADERS + 1), with_header_count(2 * MAX_OTHER_HEADERS)[:-20]]
)
def test_request_with_more_headers_is_rejected_before_its_end(data: bytes) -> None:
    # Guards against late responses: thousands of short headers took 2 ms of parsing, for each of 341 clients.
    parser = parse(data)
    (error,) = parser.queue
    assert isinstance(error, RequestError) and error.status == 400
    assert parser.is_finished


def test_trailers_count_as_headers() -> None:
    chunked = request_bytes(
        "put", without_header="Content-Length", extra_headers="Transfer-Encoding: chunked\r\n"
    )
    trailers = b"".join(b"x%d:\r\n" % number for number in range(MAX_OTHER_HEADERS + 1))
    (error,) = parse(chunked + b"5\r\norder\r\n0\r\n" + trailers).queue
    assert isinstance(error, RequestError) and error.status == 400
