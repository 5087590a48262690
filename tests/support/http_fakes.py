"""Scripted HTTP servers on loopback sockets, and the requests and responses of tests."""

from __future__ import annotations

import asyncio
import dataclasses
import json
from collections.abc import Callable
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
LOOPBACK = "127.0.0.1"
DEFAULT_X_REQUEST_ID = b"9b1f03aa5c7e2d41"
CLASS_SETTINGS = [
    {"name": "read", "objective_ms": 3000.0, "deadline_ms": 6000.0, "worth": 3.0, "effect": "safe"},
    {
        "name": "put",
        "objective_ms": 5500.0,
        "deadline_ms": 6000.0,
        "worth": 2.0,
        "effect": "keyed",
        "key_scope": "all",
        "window_ms": 4000.0,
    },
    {"name": "pay", "objective_ms": 3000.0, "deadline_ms": 6000.0, "worth": 2.0, "effect": "unsafe"},
]
PLAN_SETTINGS = [
    {"name": "team", "refill": 500.0, "burst": 1000.0, "worth_factor": 1.0},
    # Refills fast enough to pay for the first request: a token bucket is empty when the program starts.
    {"name": "quick", "refill": 1e6, "burst": 1e6, "worth_factor": 1.0},
    {"name": "small", "refill": 1.0, "burst": 4.0, "worth_factor": 1.0, "over_cost": 1.0},
]


def response_bytes(body: bytes = b"ok", status: int = 200, headers: bytes = b"") -> bytes:
    """Return an HTTP response.

    Args:
        body: The response body.
        status: The status code.
        headers: Further header lines, each with its CRLF.
    """
    return b"HTTP/1.1 %d X\r\n%bContent-Length: %d\r\n\r\n%b" % (status, headers, len(body), body)


def request_bytes(
    class_name: str = "read",
    *,
    tenant: str = "00000000b4d65521",
    plan: str = "team",
    body: bytes = b"",
    deadline: str = "6000m",
    x_request_id: bytes = DEFAULT_X_REQUEST_ID,
    method: str = "",
    without_header: str = "",
    extra_headers: str = "",
    has_idempotency_key: bool = True,
    target: str = "",
) -> bytes:
    """Return the HTTP request of a client.

    Args:
        class_name: The request class.
        tenant: Last segment of the default target.
        plan: The tenant's plan.
        body: The request body.
        deadline: Value of X-Deadline.
        x_request_id: Value of X-Request-Id.
        method: The method; by default GET for the class `read`, POST for all others.
        without_header: Name of a header that is left out.
        extra_headers: Further header lines, each with its CRLF.
        has_idempotency_key: Whether a POST carries an Idempotency-Key.
        target: The request target; by default the path of the tenant.
    """
    method = method or ("GET" if class_name == "read" else "POST")
    headers = {
        "Host": "origin.svc",
        "X-Request-Id": x_request_id.decode(),
        "X-Class": class_name,
        "Plan": plan,
        "X-Deadline": deadline,
        "Quota-Info": "units=2,spread=1,first=0",
    }
    if method == "POST":
        headers["Content-Length"] = str(len(body))
        if has_idempotency_key:
            headers["Idempotency-Key"] = "5c0f6e1a"
    headers.pop(without_header, None)
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"{method} {target or '/api/' + tenant} HTTP/1.1\r\n{lines}{extra_headers}\r\n".encode() + body


@dataclasses.dataclass
class ReceivedMessage:
    """A request or response as read from a connection.

    Attributes:
        start_line: Request line or status line (RFC 9112 section 2.1).
        headers: Header values by name in lower case.
        body: The message body.
        writer: The connection on which it was received.
    """

    start_line: str
    headers: dict[str, str]
    body: bytes
    writer: asyncio.StreamWriter


Responder = Callable[[ReceivedMessage], bytes | None]


def serve(request: ReceivedMessage) -> bytes:
    """Respond with status 200 and the body `served`."""
    return response_bytes(b"served")


def serve_as(body: bytes) -> Responder:
    """Return a responder that responds with status 200 and `body`."""
    return lambda _: response_bytes(body)


def stay_silent(request: ReceivedMessage) -> None:
    """Send no response."""


def reset_connection(request: ReceivedMessage) -> bytes:
    """Reset the connection in place of a response."""
    return b""


async def read_message(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> ReceivedMessage:
    """Read one complete request or response."""
    start_line, *lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    fields = (line.partition(": ") for line in lines if line)
    headers = {name.lower(): value for name, _, value in fields}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return ReceivedMessage(start_line, headers, body, writer)


class FakeServer:
    """A scripted HTTP server.

    Attributes:
        respond: Returns the response to a request; None sends nothing, b"" resets the connection.
        received: All requests so far.
        connections_opened: Number of connections accepted so far.
        connections_closed: Number of connections that the client has closed or reset so far.
        writers: The open connections.
        changed: Set with each change of the attributes above.
        asyncio_server: The listening server; set by `start`.
        port: Its port; set by `start`.
    """

    def __init__(self, respond: Responder) -> None:
        self.respond = respond
        self.received: list[ReceivedMessage] = []
        self.connections_opened = 0
        self.connections_closed = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.changed = asyncio.Event()

    async def start(self) -> FakeServer:
        """Listen on a free port."""
        self.asyncio_server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.port = self.asyncio_server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections_opened += 1
        self.writers.add(writer)
        self.changed.set()
        try:
            while True:
                request = await read_message(reader, writer)
                self.received.append(request)
                self.changed.set()
                response = self.respond(request)
                if response == b"":
                    writer.transport.abort()
                    return
                if response is not None:
                    writer.write(response)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.connections_closed += 1
            self.changed.set()
        finally:
            self.writers.discard(writer)
            writer.close()

    async def wait_until(self, condition: Callable[[FakeServer], bool]) -> None:
        """Wait until `condition` holds; the time limit of the scenario bounds the wait."""
        while not condition(self):
            self.changed.clear()
            await self.changed.wait()

    async def wait_for_requests(self, count: int) -> None:
        """Wait until exactly `count` requests have been received."""
        await self.wait_until(lambda _: len(self.received) == count)

    def received_x_request_ids(self) -> list[str]:
        """Return the X-Request-Id of each request, in the order of arrival."""
        return [request.headers["x-request-id"] for request in self.received]

    def stop(self) -> None:
        """Stop listening; open connections stay open."""
        self.asyncio_server.close()


def counter_response(request: ReceivedMessage, counter_values: dict[str, float]) -> bytes:
    """Add a request's increment to `counter_values`, and return the response with the new counter value."""
    name, query = request.start_line.split()[1].removeprefix("/v1/count/").split("?")
    counter_values[name] = counter_values.get(name, 0.0) + float(query.split("&")[0].removeprefix("add="))
    return response_bytes(f"{counter_values[name]:g}".encode())


class FakeDiscovery:
    """A discovery service: returns the full list at once and holds each long poll until `publish`.

    Attributes:
        generation: Generation of the current list.
        instances: The full list, as on the wire.
        pending_polls: Long polls that have no response yet.
        server: The HTTP server.
    """

    def __init__(self, instances: list[dict]) -> None:
        self.generation = 1
        self.instances = instances
        self.pending_polls: list[ReceivedMessage] = []
        self.server = FakeServer(self._respond)

    def _respond(self, request: ReceivedMessage) -> bytes | None:
        if "after=" not in request.start_line:
            return self.list_response(self.instances, True)
        self.pending_polls.append(request)
        return None

    def list_response(self, instances: list[dict], is_full: bool) -> bytes:
        """Return a response with a full list, or with changes only."""
        body = {"generation": self.generation, "reset": is_full, "instances": instances}
        return response_bytes(json.dumps(body).encode())

    async def publish(self, instances: list[dict], is_full: bool = False) -> None:
        """Respond to the pending long poll with a new generation, and wait for the next poll."""
        await self.respond_to_poll(lambda: self.list_response(instances, is_full))

    async def respond_to_poll(self, response: Callable[[], bytes]) -> None:
        """Respond to the pending long poll with arbitrary bytes, and wait for the next request."""
        await self.server.wait_until(lambda _: bool(self.pending_polls))
        self.generation += 1
        count = len(self.server.received)
        self.pending_polls.pop().writer.write(response())
        await self.server.wait_until(lambda server: len(server.received) > count)


def instance(name: str, port: int, lifecycle: str = "ready") -> dict:
    """Return an entry of the endpoint list as discovery sends it."""
    return {
        "instanceId": name,
        "hostPort": f"{LOOPBACK}:{port}",
        "zone": "a",
        "machineType": "m",
        "cell": 0,
        "lifecycle": lifecycle,
        "weight": 1.0,
        "startedAtMs": 0,
    }
