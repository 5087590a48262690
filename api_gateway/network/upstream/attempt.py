"""One attempt of a request at one endpoint."""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from api_gateway.model.results import AttemptResult
from api_gateway.network.response_parser import Response

if TYPE_CHECKING:
    from api_gateway.network.upstream.connection import UpstreamConnection

NOT_RUN_HEADER = b"x-not-run"  # set by an endpoint that rejects a request before running it


@dataclass(slots=True, kw_only=True, eq=False)
class Attempt:
    """One attempt from its start until its one result. Times are in seconds of `time.monotonic`.

    Attributes:
        request_id: The request that it is made for.
        number: Its number within the request, from 0.
        endpoint_name: Name of the endpoint that it is sent to.
        head: Request line and headers, without `X-Deadline` and the empty line.
        body: The request's body.
        started_at: When it was started.
        deadline: When its response is no longer waited for.
        write_deadline: When its last byte must have been written; what is unwritten then is withdrawn.
        connection: What it is written to; None before the write and after the end.
        connect_task: The connect under way for it.
        response_timer: Runs until `deadline`.
        connect_timer: Runs while the connect is under way.
        write_timer: Runs until `write_deadline`, if it was not written at once.
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
    is_done: bool = False

    def request_bytes(self, now: float) -> bytes:
        """Return the request as it is written.

        Args:
            now: Time of the write; `X-Deadline` gives the time that is left then.
        """
        remaining_ms = max((self.deadline - now) * 1000, 1)
        return b"%bX-Deadline: %dm\r\n\r\n%b" % (self.head, remaining_ms, self.body)

    def has_unsent_bytes(self) -> bool:
        """Return whether its last byte has not left this process, so that the endpoint cannot have run it."""
        return self.connection is None or self.connection.has_unsent_data

    def abort(self) -> None:
        """End its connection, or the connect under way. The connection is never used again."""
        if self.connect_task is not None:
            self.connect_task.cancel()
        if self.connection is not None:
            self.connection.attempt = None
            self.connection.abort()

    def cancel_timers(self) -> None:
        """Cancel the timers of its response and its write; the connect timer ends with the connect."""
        if self.response_timer is not None:
            self.response_timer.cancel()
        if self.write_timer is not None:
            self.write_timer.cancel()


def result_of_response(response: Response) -> AttemptResult:
    """Return how an attempt ended that got a complete response."""
    if response.status == 200:
        return AttemptResult.OK
    if response.status in (503, 504) and response.headers.get(NOT_RUN_HEADER) == b"1":
        return AttemptResult.OVERLOADED
    return AttemptResult.ERROR
