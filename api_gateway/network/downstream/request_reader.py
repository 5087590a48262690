"""Reads the requests of one connection, ahead of their service (RFC 9112 section 9.3.2)."""

from __future__ import annotations

from collections.abc import Callable

from api_gateway.network.downstream.request_parser import BadRequestError, RequestError, RequestParser

# Limit on the input that is read while requests are queued.
MAX_READ_AHEAD_BYTES = 1024 * 1024


class RequestReader(RequestParser):
    """A parser that keeps input while requests are queued, and parses it later.

    Input is read whether or not requests are queued, since the end of a connection arrives behind its input:
    no attempt may start for a client that has disconnected.

    Attributes:
        read_ahead: Input that waits to be parsed.
    """

    def __init__(self, on_continue_expected: Callable[[], None]) -> None:
        """Create a reader for a new connection.

        Args:
            on_continue_expected: Called when a client waits for a 100 response before it sends the body.
        """
        super().__init__(on_continue_expected)
        self.read_ahead = bytearray()

    @property
    def has_input(self) -> bool:
        """Whether a request, or a part of one, has been read and was not removed from the queue."""
        return bool(self.queue or self.read_ahead or self.has_partial_request)

    @property
    def held_bytes(self) -> int:
        """Approximate memory of all input that was not removed from the queue."""
        return super().held_bytes + len(self.read_ahead)

    def read(self, data: memoryview) -> None:
        """Parse data, or keep it while requests are queued. Must not be called once the reader is finished.

        Args:
            data: The next bytes of the connection; not kept.
        """
        if not (self.queue or self.read_ahead):
            self.feed(data)
            return
        self.read_ahead += data
        if len(self.read_ahead) > MAX_READ_AHEAD_BYTES:
            self.fail(BadRequestError(f"more than {MAX_READ_AHEAD_BYTES} bytes were sent ahead"))

    def parse_read_ahead(self, max_bytes: int) -> None:
        """Parse input that was kept, unless requests are queued.

        Args:
            max_bytes: Limit on the input to parse.
        """
        if not self.read_ahead or self.queue:
            return
        data = bytes(self.read_ahead[:max_bytes])
        del self.read_ahead[:max_bytes]
        self.feed(memoryview(data))
        if self.is_finished:
            self.read_ahead.clear()

    def fail(self, error: RequestError) -> None:
        """Queue an error in place of the partial request and the input behind it.

        Does nothing if the reader is finished.

        Args:
            error: The error.
        """
        self.read_ahead.clear()
        super().fail(error)

    def fail_newest_request(self, error: RequestError) -> None:
        """Queue an error in place of the newest input: unparsed, or a partial request, or a complete one.

        Does nothing if the reader is finished.

        Args:
            error: The error.
        """
        if not (self.is_finished or self.read_ahead or self.has_partial_request) and self.queue:
            self.queue.pop()
        self.fail(error)

    def close(self) -> None:
        """Free all input; what follows is discarded."""
        self.read_ahead.clear()
        super().close()
