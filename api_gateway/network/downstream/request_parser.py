"""Splits the input of a client connection into requests (RFC 9112)."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable

import httptools

from api_gateway.errors import GatewayError
from api_gateway.network.header_names import (
    CONTENT_LENGTH_HEADER,
    CONTENT_TYPE_HEADER,
    DEADLINE_HEADER,
    EXPECT_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    PLAN_HEADER,
    QUOTA_INFO_HEADER,
    REQUEST_CLASS_HEADER,
    RETRY_HEADER,
    TRANSFER_ENCODING_HEADER,
    X_REQUEST_ID_HEADER,
)

MAX_HEADER_BYTES = 32 * 1024
# Limit on the headers that are not used, or repeated. Each costs a call, so that very many short ones take
# long to parse.
MAX_OTHER_HEADERS = 100
MAX_REQUEST_BODY_BYTES = 64 * 1024
# A chunked body is longer on the wire than its data, since each chunk is preceded by a line with its size.
MAX_REQUEST_WIRE_BYTES = MAX_HEADER_BYTES + 2 * MAX_REQUEST_BODY_BYTES
# Approximate memory of the objects of one request, besides its target, headers and body.
REQUEST_OBJECTS_BYTES = 1024
# A further request is an error while more than this many requests are queued.
MAX_PIPELINED_REQUESTS = 16

KNOWN_HEADERS = frozenset(
    (
        X_REQUEST_ID_HEADER,
        REQUEST_CLASS_HEADER,
        PLAN_HEADER,
        DEADLINE_HEADER,
        QUOTA_INFO_HEADER,
        RETRY_HEADER,
        IDEMPOTENCY_KEY_HEADER,
        CONTENT_LENGTH_HEADER,
        CONTENT_TYPE_HEADER,
        TRANSFER_ENCODING_HEADER,
        EXPECT_HEADER,
    )
)


class RequestError(GatewayError):
    """A request is not served. It gets an error response, and its connection is closed afterwards.

    The text of the error is for developers: it is neither sent to the client nor logged.

    Attributes:
        status: Status code of the response.
        retry_after_ms: Time after which the client may retry, in milliseconds; 0 omits Retry-After.
    """

    def __init__(self, reason: str, status: int, retry_after_ms: float = 0.0) -> None:
        super().__init__(reason)
        self.status = status
        self.retry_after_ms = retry_after_ms


class BadRequestError(RequestError, ValueError):
    """A request is invalid; the status of its response is 4xx."""

    def __init__(self, reason: str, status: int = 400) -> None:
        super().__init__(reason, status)


class RequestRejectedError(RequestError):
    """A request cannot be held in memory; the status of its response is 503."""

    def __init__(self, reason: str, retry_after_ms: float) -> None:
        super().__init__(reason, 503, retry_after_ms)


class ParsedRequest:
    """A request, filled in by the parser callbacks while its bytes arrive.

    Attributes:
        target: Request target (RFC 9112 section 3.2).
        path: Target without its query; empty until the header section is complete.
        method: Request method; empty until the header section is complete.
        headers: Values of the headers in `KNOWN_HEADERS` by name in lower case; others are dropped.
        header_bytes: Total length of all header names and values.
        other_header_count: Number of headers that are not used, or repeated; trailers included.
        has_repeated_header: Whether a header in `KNOWN_HEADERS` occurred more than once.
        body: The body; empty until the request is complete.
        keep_alive: Whether the connection persists after the response (RFC 9112 section 9.3).
        received_at_s: Time at which the last byte was read, in seconds of `time.monotonic`.
    """

    __slots__ = (
        "body",
        "has_repeated_header",
        "header_bytes",
        "headers",
        "keep_alive",
        "method",
        "other_header_count",
        "path",
        "received_at_s",
        "target",
    )

    def __init__(self) -> None:
        self.target = b""
        self.path = b""
        self.method = b""
        self.headers: dict[bytes, bytes] = {}
        self.header_bytes = 0
        self.other_header_count = 0
        self.has_repeated_header = False
        self.body = b""
        self.keep_alive = True
        self.received_at_s = 0.0

    @property
    def expects_continue(self) -> bool:
        """Whether the client waits for a 100 response before it sends the body (RFC 9110 section 10.1.1)."""
        return self.headers.get(EXPECT_HEADER, b"").lower() == b"100-continue"

    @property
    def size_bytes(self) -> int:
        """Approximate memory that the request takes, its objects included."""
        return REQUEST_OBJECTS_BYTES + len(self.target) + self.header_bytes + len(self.body)

    def check_framing(self) -> None:
        """Check that the length of the body is unambiguous and within its limit (RFC 9112 section 6.3).

        If two parsers could disagree on where a message ends, its body could smuggle a second request past
        one of them (RFC 9112 section 11.2).

        Raises:
            BadRequestError: If the length is ambiguous or above `MAX_REQUEST_BODY_BYTES`.
        """
        content_length = self.headers.get(CONTENT_LENGTH_HEADER)
        transfer_encoding = self.headers.get(TRANSFER_ENCODING_HEADER)
        if self.has_repeated_header:
            raise BadRequestError("a header that may occur only once is repeated")
        if transfer_encoding is not None:
            if content_length is not None or transfer_encoding.strip().lower() != b"chunked":
                raise BadRequestError(
                    "Transfer-Encoding: expected chunked, without Content-Length; "
                    f"got {transfer_encoding!r}, Content-Length {content_length!r}"
                )
            return
        if content_length is None:
            return
        if not content_length.isdigit():
            raise BadRequestError(f"Content-Length: expected a decimal number, got {content_length!r}")
        if int(content_length) > MAX_REQUEST_BODY_BYTES:
            raise BadRequestError(
                f"Content-Length: expected at most {MAX_REQUEST_BODY_BYTES}, got {content_length!r}", 413
            )


class RequestParser:
    """Parses the input of one connection, and queues its requests.

    Attributes:
        queue: The complete requests, in the order of their arrival; an error is the last entry.
        is_finished: Whether no request follows those in the queue, so that further input must be discarded.
        partial_request_bytes: Number of bytes that were fed since the last complete request.
    """

    def __init__(self, on_continue_expected: Callable[[], None]) -> None:
        """Create a parser for a new connection.

        Args:
            on_continue_expected: Called when a client waits for a 100 response before it sends the body.
        """
        self.queue: deque[ParsedRequest | RequestError] = deque()
        self.is_finished = False
        self.partial_request_bytes = 0
        self._on_continue_expected: Callable[[], None] | None = on_continue_expected
        self._partial_request: ParsedRequest | None = None
        # The body of the partial request. It is one buffer, which the parser extends without a call of Python
        # code: a fragment may be a single byte, and an object or a call for each would take many times the
        # memory and the time that the data needs.
        self._body = bytearray()
        self.on_body = self._body.extend
        self._http_parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)

    @property
    def has_partial_request(self) -> bool:
        """Whether a request has begun and is not complete."""
        return self._partial_request is not None

    @property
    def held_bytes(self) -> int:
        """Approximate memory of the partial request and the queued ones."""
        partial_request = self._partial_request
        if partial_request is None:
            held_bytes = 0
        elif partial_request.method:
            held_bytes = partial_request.size_bytes + len(self._body)
        else:  # the parser may hold the beginning of a header line
            held_bytes = REQUEST_OBJECTS_BYTES + self.partial_request_bytes
        for request in self.queue:
            if isinstance(request, ParsedRequest):
                held_bytes += request.size_bytes
        return held_bytes

    def feed(self, data: memoryview) -> None:
        """Parse data, and queue the requests or the error that it completes.

        Must not be called once the parser is finished.

        Args:
            data: The next bytes of the connection; not kept.
        """
        self.partial_request_bytes += len(data)
        try:
            self._http_parser.feed_data(data)
            if self.partial_request_bytes:
                self._check_body_length()
                self._check_wire_length()
        except httptools.HttpParserUpgrade:
            # Upgrades are not supported: the Upgrade header is ignored and the request served over HTTP/1.1
            # (RFC 9110 section 7.8). The parser stops here, so this is the last request of the connection.
            self.is_finished = True
            self.queue[-1].keep_alive = False
        except httptools.HttpParserError as error:
            cause = error.__context__
            self.fail(
                cause if isinstance(cause, BadRequestError) else BadRequestError("input is not valid HTTP")
            )
        except BadRequestError as error:
            self.fail(error)

    def fail(self, error: RequestError) -> None:
        """Queue an error in place of the partial request; does nothing if the parser is finished.

        Args:
            error: The error.
        """
        if not self.is_finished:
            self.is_finished = True
            self._partial_request = None
            self._body.clear()
            self.queue.append(error)

    def close(self) -> None:
        """Free everything that the parser holds; further input of its connection is discarded.

        httptools refers to the callbacks of the parser, and these to the parser and its connection. Until
        the garbage collector found this reference cycle, all of them would stay, with the partial body.
        """
        self.is_finished = True
        self.queue.clear()
        self._partial_request = None
        self._body.clear()
        self._http_parser = None
        self._on_continue_expected = None

    def _check_body_length(self) -> None:
        if len(self._body) > MAX_REQUEST_BODY_BYTES:
            raise BadRequestError(f"body is longer than {MAX_REQUEST_BODY_BYTES} bytes", 413)

    def _check_wire_length(self) -> None:
        """Limit input that the parser consumes without a callback, such as an endless header line."""
        is_reading_head = self._partial_request is not None and not self._partial_request.method
        if self.partial_request_bytes > (MAX_HEADER_BYTES if is_reading_head else MAX_REQUEST_WIRE_BYTES):
            raise BadRequestError("request exceeds the limit on its header section or on its total size")

    # Callbacks of httptools. An exception that they raise becomes the `__context__` of an HttpParserError.

    def on_message_begin(self) -> None:
        """Start a request.

        Raises:
            BadRequestError: If too many requests are queued already.
        """
        if len(self.queue) > MAX_PIPELINED_REQUESTS:
            raise BadRequestError(f"more than {MAX_PIPELINED_REQUESTS} pipelined requests are waiting")
        self._partial_request = ParsedRequest()

    def on_url(self, url: bytes) -> None:
        """Append a fragment of the request target."""
        self._partial_request.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header if the gateway uses it.

        Raises:
            BadRequestError: If the headers are longer than `MAX_HEADER_BYTES`, or more than
                `MAX_OTHER_HEADERS` of them are not used or repeated.
        """
        request = self._partial_request
        name = name.lower()
        request.header_bytes += len(name) + len(value)
        if request.header_bytes > MAX_HEADER_BYTES:
            raise BadRequestError(f"header section is longer than {MAX_HEADER_BYTES} bytes")
        headers = request.headers
        if name in KNOWN_HEADERS and name not in headers:
            headers[name] = value
            return
        request.has_repeated_header |= name in headers
        request.other_header_count += 1
        if request.other_header_count > MAX_OTHER_HEADERS:
            raise BadRequestError(f"more than {MAX_OTHER_HEADERS} headers are not used or repeated")

    def on_headers_complete(self) -> None:
        """Check the framing before the body is read.

        Raises:
            BadRequestError: If the length of the body is ambiguous or too large.
        """
        request = self._partial_request
        request.method = self._http_parser.get_method()
        request.path = request.target.partition(b"?")[0]
        request.check_framing()
        if request.expects_continue:
            self._on_continue_expected()

    def on_message_complete(self) -> None:
        """Queue the complete request.

        Raises:
            BadRequestError: If its body is longer than `MAX_REQUEST_BODY_BYTES`.
        """
        request = self._partial_request
        self._check_body_length()
        request.body = bytes(self._body)
        self._body.clear()
        request.keep_alive = self._http_parser.should_keep_alive()
        request.received_at_s = time.monotonic()
        self._partial_request = None
        self.partial_request_bytes = 0
        self.queue.append(request)
