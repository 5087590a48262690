"""Reads the requests of one connection, ahead of their service (RFC 9112 section 9.3.2)."""

from __future__ import annotations

from collections.abc import Callable

from api_gateway.network.downstream.request_parser import (
    BadRequestError,
    RequestError,
    RequestParser,
)

# Limit on the input that is read while requests are queued.
MAX_READ_AHEAD_BYTES = 1024 * 1024


class RequestReader:
    """Parses input while no request is queued, and keeps input that arrives in the meantime.

    Input is read whether or not requests are queued, since the end of a connection arrives behind its input:
    no attempt may start for a client that has disconnected.

    Attributes:
        queue: The complete requests, in the order of their arrival; an error is the last entry.
    """

    def __init__(self, on_continue_expected: Callable[[], None]) -> None:
        """Create a reader for a new connection.

        Args:
            on_continue_expected: Called when a client waits for a 100 response before it sends the body.
        """
        self._parser = RequestParser(on_continue_expected)
        self._read_ahead = bytearray()
        self.queue = self._parser.queue

    @property
    def is_finished(self) -> bool:
        """Whether no request follows those in the queue, so that further input must be discarded."""
        return self._parser.is_finished

    @property
    def has_partial_request(self) -> bool:
        """Whether the parser has begun a request that is not complete."""
        return self._parser.has_partial_request

    @property
    def has_read_ahead(self) -> bool:
        """Whether input waits to be parsed."""
        return bool(self._read_ahead)

    @property
    def has_input(self) -> bool:
        """Whether a request, or a part of one, has been read and was not removed from the queue."""
        return bool(self.queue or self._read_ahead or self._parser.has_partial_request)

    @property
    def held_bytes(self) -> int:
        """Approximate memory of all input that was not removed from the queue."""
        return self._parser.held_bytes + len(self._read_ahead)

    def read(self, data: memoryview) -> None:
        """Parse data, or keep it while requests are queued. Must not be called once the reader is finished.

        Args:
            data: The next bytes of the connection; not kept.
        """
        if not (self.queue or self._read_ahead):
            self._feed(data)
            return
        self._read_ahead += data
        if len(self._read_ahead) > MAX_READ_AHEAD_BYTES:
            self.fail(BadRequestError(f"more than {MAX_READ_AHEAD_BYTES} bytes were sent ahead"))

    def parse_read_ahead(self, max_bytes: int) -> None:
        """Parse input that was kept, unless requests are queued.

        Args:
            max_bytes: Limit on the input to parse.
        """
        if self._read_ahead and not self.queue:
            data = bytes(self._read_ahead[:max_bytes])
            del self._read_ahead[:max_bytes]
            self._feed(memoryview(data))

    def _feed(self, data: memoryview) -> None:
        self._parser.feed(data)
        if self._parser.is_finished:
            self._read_ahead.clear()

    def fail(self, error: RequestError) -> None:
        """Queue an error in place of the partial request and the input behind it.

        Does nothing if the reader is finished.

        Args:
            error: The error.
        """
        self._read_ahead.clear()
        self._parser.fail(error)

    def fail_newest_request(self, error: RequestError) -> None:
        """Queue an error in place of the newest input: unparsed, or a partial request, or a complete one.

        Does nothing if the reader is finished.

        Args:
            error: The error.
        """
        if not (self.is_finished or self._read_ahead or self.has_partial_request) and self.queue:
            self.queue.pop()
        self.fail(error)

    def close(self) -> None:
        """Free all input; what follows is discarded."""
        self._read_ahead.clear()
        self._parser.close()
