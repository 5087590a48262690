"""A request that may have run does not run again under the same X-Request-Id."""

from __future__ import annotations

from pathlib import Path

import pytest
from support.http_fakes import request_bytes, serve, stay_silent
from support.program import RunningProgram, async_test

from api_gateway.network.executed_requests import (
    GENERATION_S,
    MAX_IDS_PER_GENERATION,
    ExecutedRequests,
)

X_REQUEST_ID = b"a-request"


def test_id_is_remembered_for_at_least_one_generation_and_forgotten_after_two() -> None:
    executed = ExecutedRequests()
    executed.add(X_REQUEST_ID, now=100.0)
    executed.add(b"second", now=100.0 + GENERATION_S)
    assert X_REQUEST_ID in executed and b"second" in executed and b"another" not in executed
    executed.add(b"third", now=100.0 + 2 * GENERATION_S)
    assert X_REQUEST_ID not in executed and b"second" in executed


def test_number_of_ids_is_limited_and_the_latest_are_kept() -> None:
    executed = ExecutedRequests()
    ids = [b"%d" % number for number in range(3 * MAX_IDS_PER_GENERATION)]
    for x_request_id in ids:
        executed.add(x_request_id, now=100.0)
    assert len(executed._current) + len(executed._previous) <= 2 * MAX_IDS_PER_GENERATION
    assert all(x_request_id in executed for x_request_id in ids[-MAX_IDS_PER_GENERATION:])
    assert ids[0] not in executed


async def send_and_leave(program: RunningProgram, request: bytes) -> None:
    """Send a request, and close the connection once its endpoint has received it."""
    received_before = len(program.endpoints[0].received)
    _, writer = await program.connect()
    writer.write(request)
    await program.endpoints[0].wait_for_requests(received_before + 1)
    writer.close()


@pytest.mark.parametrize("class_name", ["pay", "put"])
@async_test()
async def test_request_does_not_run_again_after_its_client_has_left(tmp_path: Path, class_name: str) -> None:
    # Guards against duplicates: an id was free as soon as its attempt was cancelled, and ran once more.
    async with RunningProgram(tmp_path, stay_silent) as program:
        request = request_bytes(class_name, plan="quick", x_request_id=X_REQUEST_ID)
        await send_and_leave(program, request)
        (endpoint,) = program.endpoints
        await endpoint.wait_until(lambda fake: fake.connections_closed == 1)
        endpoint.respond = serve
        assert await program.request_status(request) == 409
        assert endpoint.received_x_request_ids() == [X_REQUEST_ID.decode()]
        other_request = request_bytes(class_name, plan="quick", x_request_id=b"another")
        assert await program.request_status(other_request) == 200


@async_test()
async def test_idempotent_request_runs_again_after_its_client_has_left(tmp_path: Path) -> None:
    async with RunningProgram(tmp_path, stay_silent) as program:
        request = request_bytes(plan="quick", x_request_id=X_REQUEST_ID)
        await send_and_leave(program, request)
        (endpoint,) = program.endpoints
        await endpoint.wait_until(lambda fake: fake.connections_closed == 1)
        endpoint.respond = serve
        assert await program.request_status(request) == 200


@pytest.mark.parametrize(("class_name", "status"), [("pay", 409), ("put", 200), ("read", 200)])
@async_test()
async def test_served_request_runs_again_only_if_its_class_allows_it(
    tmp_path: Path, class_name: str, status: int
) -> None:
    async with RunningProgram(tmp_path, serve) as program:
        request = request_bytes(class_name, plan="quick", x_request_id=X_REQUEST_ID)
        assert await program.request_status(request) == 200
        assert await program.request_status(request) == status


@async_test()
async def test_rejected_request_may_come_again(tmp_path: Path) -> None:
    """A request that has not run is not a duplicate, whether it was rejected or its client left."""
    async with RunningProgram(tmp_path, serve) as program:
        requests = [request_bytes("pay", plan="small", x_request_id=b"id-%d" % number) for number in range(6)]
        rejected = [request for request in requests if await program.request_status(request) == 503]
        assert rejected
        assert {await program.request_status(request) for request in rejected} <= {200, 503}
