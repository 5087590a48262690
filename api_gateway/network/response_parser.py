"""Client side of the HTTP/1.1 connections to endpoints, the counter and discovery.

Checks whether a response is complete (RFC 9112, section 6.3), whether it belongs to a request, and whether
its connection may carry another request (section 9.3).
"""

from __future__ import annotations

import asyncio
import re
from dataclasses import dataclass

import httptools

from api_gateway.errors import GatewayError
from api_gateway.network.header_names import (
    BILLED_UNITS_HEADER,
    CONTENT_LENGTH_HEADER,
    CONTENT_TYPE_HEADER,
    NOT_RUN_HEADER,
    TRANSFER_ENCODING_HEADER,
)

MAX_RESPONSE_BODY_BYTES = 64 * 1024
MAX_ENDPOINT_LIST_BYTES = 4 * 1024 * 1024

# Limit on the bytes of a response besides its body: headers, interim responses and chunk lines.
MAX_FRAMING_BYTES = 64 * 1024

KNOWN_HEADERS = frozenset(
    (
        BILLED_UNITS_HEADER,
        CONTENT_LENGTH_HEADER,
        CONTENT_TYPE_HEADER,
        NOT_RUN_HEADER,
        TRANSFER_ENCODING_HEADER,
    )
)
STATUSES_WITHOUT_BODY = frozenset((204, 304))
DECIMAL_PATTERN = re.compile(rb"-?[0-9]{1,15}(?:\.[0-9]{1,15})?(?:[eE][+-]?[0-9]{1,2})?")


class MalformedResponseError(GatewayError):
    """The end of a response is ambiguous, or the response exceeds a size limit."""


def parse_decimal(text: bytes) -> float | None:
    """Parse a decimal number; unlike `float`, accept no forms such as `1_0`, `nan` or ` 1`.

    Returns:
        The number, or None if the text is not one.
    """
    return float(text) if DECIMAL_PATTERN.fullmatch(text) else None


@dataclass(slots=True)
class Response:
    """One complete response.

    Attributes:
        status: HTTP status code.
        headers: Values of the headers in `KNOWN_HEADERS` by name in lower case; others are dropped.
        body: The body, without the chunked transfer coding.
        keep_alive: Whether the server keeps the connection open after it.
    """

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    keep_alive: bool

    def positive_header_value(self, name: bytes, maximum: float) -> float:
        """Return the value of a header as a positive number.

        Args:
            name: Header name in lower case.
            maximum: The largest number that is accepted.

        Returns:
            The number, or 0 if the header is missing, malformed, negative or above the maximum.
        """
        value = parse_decimal(self.headers.get(name, b""))
        return value if value is not None and 0 < value <= maximum else 0.0


class ResponseProtocol(asyncio.Protocol):
    """Parses responses and matches them to the written requests in order (RFC 9112, section 9.3.2).

    A subclass defines `response_received`, `malformed_response` and `connection_closed`. It may define
    `may_hold`.

    Attributes:
        transport: The connection; None before it is open.
        has_unsent_data: Whether part of the written data has not left this process.
    """

    def __init__(self, max_body_bytes: int = MAX_RESPONSE_BODY_BYTES) -> None:
        self.transport: asyncio.Transport | None = None
        self.has_unsent_data = False
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._max_body_bytes = max_body_bytes
        self._expected_responses = 0
        self._received_bytes = 0  # of the current response, with the interim responses before it
        self._has_held_response = False  # whether `may_hold` was asked for a part of a response
        self._complete_responses: list[Response] = []
        self._begin_message()

    def _begin_message(self) -> None:
        self._headers: dict[bytes, bytes] = {}
        # One buffer, since a fragment may be a single byte, and an object for each fragment would take many
        # times the memory of the data.
        self._body = bytearray()
        self._is_in_message = False

    # --- Defined by subclasses ----------------------------------------------------------------------------

    def response_received(self, response: Response, is_reusable: bool) -> None:
        """Handle the response to the oldest request without a response.

        Args:
            response: The complete response.
            is_reusable: Whether the connection may carry another request.
        """
        raise NotImplementedError

    def malformed_response(self) -> None:
        """Handle invalid data received while a response is expected; the connection is closed afterwards."""
        raise NotImplementedError

    def connection_closed(self) -> None:
        """Handle the end of the connection, which either side may have closed."""
        raise NotImplementedError

    def may_hold(self, size_bytes: int) -> bool:
        """Return whether the connection may hold unsent requests and a partial response of this total size.

        Called whenever that size has changed; True by default.
        """
        return True

    # --- Used by subclasses and their owners --------------------------------------------------------------

    def write(self, data: bytes) -> None:
        """Write one request."""
        self._expected_responses += 1
        self.transport.write(data)
        self.has_unsent_data = self.transport.get_write_buffer_size() > 0
        if self.has_unsent_data and not self.may_hold(self._held_bytes()):
            self.abort()

    def abort(self) -> None:
        """Close the connection at once and discard unsent data."""
        if self.transport is not None:
            self.transport.abort()

    def response_started(self) -> bool:
        """Return whether any byte of the expected response has been received."""
        return self._received_bytes > 0

    def received_bytes(self) -> int:
        """Return how many bytes of the expected response have been received."""
        return self._received_bytes

    # --- asyncio.Protocol ---------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = transport
        transport.set_write_buffer_limits(high=0)  # resume_writing is called once the last byte is sent

    def resume_writing(self) -> None:
        """Record that the last byte has left this process."""
        self.has_unsent_data = False
        self.may_hold(self._held_bytes())

    def data_received(self, data: bytes) -> None:
        """Parse received data, then deliver the responses that it completes."""
        if self.transport.is_closing():
            return
        is_valid = self._parse(data)
        if self._received_bytes or self._has_held_response:
            self._has_held_response = self._received_bytes > 0
            is_valid = self.may_hold(self._held_bytes()) and is_valid
        # An unsolicited response, such as a duplicate of the first one, would be matched to the next
        # request. So all data received together is parsed before a response in it is delivered.
        complete, self._complete_responses = self._complete_responses, []
        expected = complete[: self._expected_responses]
        self._expected_responses -= len(expected)
        if len(complete) > len(expected) or (self._is_in_message and not self._expected_responses):
            is_valid = False
        for response in expected:
            self.response_received(response, is_valid and response.keep_alive)
        if not is_valid:
            if self._expected_responses:
                self.malformed_response()
            self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection, and free the partial response.

        The parser refers to the callbacks of this object. Until the garbage collector found this reference
        cycle, both would stay, with the partial body.
        """
        self.connection_closed()
        self._parser = None
        self._begin_message()

    def _held_bytes(self) -> int:
        """Return an upper bound of the memory that unsent requests and the partial response take."""
        return self.transport.get_write_buffer_size() + self._received_bytes

    def _parse(self, data: bytes) -> bool:
        """Feed data to the parser.

        Returns:
            Whether the data was expected, well-formed and within the size limits.
        """
        if not self._expected_responses:
            return False
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            return False
        return self._received_bytes <= self._max_body_bytes + MAX_FRAMING_BYTES

    # --- Callbacks of httptools, which turns their exceptions into HttpParserError ------------------------

    def on_message_begin(self) -> None:
        """Record that a response has begun."""
        self._is_in_message = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header if the gateway uses it.

        Raises:
            MalformedResponseError: Content-Length is repeated, so that the end of the body is ambiguous.
        """
        name = name.lower()
        if name not in KNOWN_HEADERS:
            return
        if name == CONTENT_LENGTH_HEADER and name in self._headers:
            raise MalformedResponseError("Content-Length is repeated")
        self._headers[name] = value

    def on_headers_complete(self) -> None:
        """Check that the end of the body is unambiguous (RFC 9112, section 6.3).

        Raises:
            MalformedResponseError: The response has both or neither of Content-Length and the chunked
                transfer coding, or its length is invalid or too large. Without either, the body would end
                with the connection, and a truncated body could not be distinguished from a complete one
                (section 8).
        """
        status = self._parser.get_status_code()
        if status < 200 or status in STATUSES_WITHOUT_BODY:
            return
        length = self._headers.get(CONTENT_LENGTH_HEADER)
        coding = self._headers.get(TRANSFER_ENCODING_HEADER)
        if coding is not None and (length is not None or coding.strip().lower() != b"chunked"):
            raise MalformedResponseError("Transfer-Encoding is not chunked or comes with Content-Length")
        if coding is None and (length is None or not length.isdigit() or int(length) > self._max_body_bytes):
            raise MalformedResponseError("Content-Length is missing, invalid or too large")

    def on_body(self, data: bytes) -> None:
        """Store a part of the body.

        Raises:
            MalformedResponseError: The body exceeds the limit.
        """
        self._body += data
        if len(self._body) > self._max_body_bytes:
            raise MalformedResponseError("body exceeds the size limit")

    def on_message_complete(self) -> None:
        """Store a final response for delivery, and skip an interim one (1xx)."""
        status = self._parser.get_status_code()
        if status >= 200:
            self._received_bytes = 0
            self._complete_responses.append(
                Response(
                    status=status,
                    headers=self._headers,
                    body=bytes(self._body),
                    keep_alive=self._parser.should_keep_alive(),
                )
            )
        self._begin_message()
