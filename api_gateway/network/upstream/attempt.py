"""One attempt of a request at one endpoint."""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from api_gateway.model.results import AttemptResult
from api_gateway.network.header_names import NOT_RUN_HEADER
from api_gateway.network.response_parser import Response

if TYPE_CHECKING:
    from api_gateway.network.upstream.connection import UpstreamConnection


@dataclass(slots=True, kw_only=True, eq=False)
class Attempt:
    """One attempt, from its start until its result is reported. Times are in s of `time.monotonic`.

    Attributes:
        request_id: Id of the request that it is made for.
        number: Its index within the request, from 0.
        endpoint_name: Name of the endpoint that it is sent to.
        head: Request line and headers, without `X-Deadline` and the empty line; empty after the write.
        body: The request's body; empty after the write.
        started_at: When it was started.
        deadline: When it times out without a response.
        write_deadline: When it is withdrawn if it still has unsent bytes.
        connection: The connection that it is written to; None before the write and after the end.
        connect_task: The pending connect, if there is one.
        response_timer: Timer that fires at `deadline`.
        connect_timer: Timer of the pending connect.
        write_timer: Timer that fires at `write_deadline`; None if there is no such deadline, or if all bytes
            were sent at once on an idle connection.
        is_sent: Whether it was written to a connection, at least in part.
        is_done: Whether its result has been reported.
    """

    request_id: str
    number: int
    endpoint_name: str
    head: bytes
    body: bytes
    started_at: float
    deadline: float
    write_deadline: float = math.inf
    connection: UpstreamConnection | None = None
    connect_task: asyncio.Task | None = None
    response_timer: asyncio.TimerHandle | None = None
    connect_timer: asyncio.TimerHandle | None = None
    write_timer: asyncio.TimerHandle | None = None
    is_sent: bool = False
    is_done: bool = False

    def request_bytes(self, now: float) -> bytes:
        """Return the bytes of the HTTP request.

        Args:
            now: Time of the write, from which `X-Deadline` gives the remaining time.
        """
        remaining_ms = max((self.deadline - now) * 1000, 1)
        return b"%bX-Deadline: %dm\r\n\r\n%b" % (self.head, remaining_ms, self.body)

    def discard_content(self) -> None:
        """Free head and body, which are not needed after the write."""
        self.head = self.body = b""

    def has_unsent_bytes(self) -> bool:
        """Return whether part of the request has not left this process, so that it cannot have run."""
        return self.connection is None or self.connection.has_unsent_data

    def abort(self) -> None:
        """Cancel its pending connect, or abort its connection, which is not reused."""
        if self.connect_task is not None:
            self.connect_task.cancel()
        if self.connection is not None:
            self.connection.attempt = None
            self.connection.abort()

    def cancel_timers(self) -> None:
        """Cancel the response and write timers; the connect timer is cancelled when the connect ends."""
        if self.response_timer is not None:
            self.response_timer.cancel()
        if self.write_timer is not None:
            self.write_timer.cancel()


def result_of_response(response: Response) -> AttemptResult:
    """Return the result of an attempt that got a complete response."""
    if response.status == 200:
        return AttemptResult.OK
    if response.status in (503, 504) and response.headers.get(NOT_RUN_HEADER) == b"1":
        return AttemptResult.OVERLOADED
    return AttemptResult.ERROR
