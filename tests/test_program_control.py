"""The real program: configuration, signals, discovery and the counter."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest
from support.http_fakes import (
    ROOT,
    ReceivedMessage,
    counter_response,
    instance,
    request_bytes,
    reset_connection,
    response_bytes,
    serve,
    serve_as,
    stay_silent,
)
from support.program import RunningProgram, async_test


@pytest.mark.parametrize(
    ("raw", "field"),
    [
        ("{", "ROUTER_CONFIG"),
        ('{"settings": []}', "settings"),
        ('{"settings": {"grades": []}, "listen": "x"}', "settings: grades: "),
        ('{"settings": {"grades": [{"name": "a", "objective_ms": "soon"}]}}', "grades.0.objective_ms"),
        ('{"settings": {"grades": [{"name": "a", "objective_ms": 1, "deadline_ms": 2}]}}', "listen"),
    ],
)
def test_bad_configuration_exits_with_one_line(tmp_path: Path, raw: str, field: str) -> None:
    path = tmp_path / "config.json"
    path.write_text(raw)
    completed = subprocess.run(
        [sys.executable, "-m", "api_gateway"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
        env={**os.environ, "ROUTER_CONFIG": str(path)},
    )
    assert completed.returncode == 2
    assert len(completed.stderr.splitlines()) == 1
    assert field in completed.stderr


@async_test()
async def test_address_in_use_exits_with_one_line(tmp_path: Path) -> None:
    async with RunningProgram(tmp_path, serve) as program:
        second = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "api_gateway",
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
            env={**os.environ, "ROUTER_CONFIG": str(program.write_configuration())},
        )
        _, stderr = await second.communicate()
        assert second.returncode == 2
        lines = stderr.decode().splitlines()
        assert len(lines) == 1 and lines[0].startswith("listen: ") and "in use" in lines[0]


@async_test()
async def test_sigterm_serves_late_requests_and_those_in_flight_before_exit(tmp_path: Path) -> None:
    async with RunningProgram(tmp_path, stay_silent) as program:
        (endpoint,) = program.endpoints
        first = asyncio.create_task(program.request(request_bytes(x_request_id=b"first")))
        await endpoint.wait_for_requests(1)
        idle_reader, _ = await program.connect()
        program.process.send_signal(signal.SIGTERM)
        while not any("draining" in line for line in program.log):
            await asyncio.sleep(0.01)
        late = asyncio.create_task(program.request(request_bytes(x_request_id=b"late")))
        await endpoint.wait_for_requests(2)
        assert await idle_reader.read() == b""  # the idle connection is closed while requests are in flight
        assert program.process.returncode is None
        for request in endpoint.received:
            request.writer.write(response_bytes(b"served"))
        for response in (await first, await late):
            assert response.body == b"served"
            assert response.headers["connection"] == "close"
        assert await program.process.wait() == 0


@async_test()
async def test_sigterm_fails_requests_that_last_too_long_and_exits_in_time(tmp_path: Path) -> None:
    async with RunningProgram(tmp_path, stay_silent) as program:
        task = asyncio.create_task(program.request_status(request_bytes("put", deadline="60000m")))
        await program.endpoints[0].wait_for_requests(1)
        program.process.send_signal(signal.SIGTERM)
        assert await task == 504
        async with asyncio.timeout(3.7):
            assert await program.process.wait() == 0


@async_test()
async def test_restart_on_the_same_port_after_sigkill(tmp_path: Path) -> None:
    async with RunningProgram(tmp_path, serve) as program:
        assert await program.request_status(request_bytes()) == 200
        reader, _ = await program.connect()
        program.process.kill()
        await program.process.wait()
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await reader.readexactly(1)
        await program.launch()
        assert await program.request_status(request_bytes(x_request_id=b"after")) == 200


@async_test()
async def test_sighup_moves_to_the_discovery_and_counter_of_the_file(tmp_path: Path) -> None:
    """The file overrides the discovery of the environment on reload, and requests in flight are served."""
    async with RunningProgram(tmp_path, stay_silent, serve) as program:
        await program.discovery.publish([instance("s-1", program.endpoints[1].port, "gone")])
        task = asyncio.create_task(program.request(request_bytes(x_request_id=b"old")))
        await program.endpoints[0].wait_for_requests(1)
        old_discovery, old_counter = program.discovery, program.counter
        for _ in range(2):
            await program.reload([instance("s-1", program.endpoints[1].port)])
            await program.discovery.server.wait_until(
                lambda server: any("after=" in request.start_line for request in server.received)
            )
        await old_discovery.server.wait_until(lambda server: server.connections_closed > 0)
        assert "after=" not in program.discovery.server.received[0].start_line  # the full list first
        data = request_bytes(x_request_id=b"new", tenant="0000000000000007")
        assert await program.request_status(data) == 200
        assert program.endpoints[1].received_x_request_ids() == ["new"]
        program.endpoints[0].received[0].writer.write(response_bytes(b"served"))
        assert (await task).body == b"served"
        await program.counter.wait_until(lambda server: len(server.received) > 0)
        assert old_counter is not program.counter
        await old_counter.wait_until(lambda server: server.connections_closed > 0)


@pytest.mark.parametrize("raw", ["{", "[]", '{"settings": {"grades": []}}', None])
@async_test()
async def test_sighup_with_a_bad_file_keeps_the_configuration(tmp_path: Path, raw: str | None) -> None:
    async with RunningProgram(tmp_path, serve) as program:
        path = tmp_path / "config.json"
        path.unlink()
        if raw is not None:
            path.write_text(raw)
        for count in (1, 2):
            program.process.send_signal(signal.SIGHUP)
            while sum("configuration=kept" in line for line in program.log) < count:
                await asyncio.sleep(0.01)
        assert await program.request_status(request_bytes()) == 200
        assert program.discovery.server.connections_closed == 0


@async_test()
async def test_sighup_during_shutdown_does_not_change_the_exit(tmp_path: Path) -> None:
    async with RunningProgram(tmp_path, stay_silent) as program:
        (endpoint,) = program.endpoints
        task = asyncio.create_task(program.request(request_bytes()))
        await endpoint.wait_for_requests(1)
        program.process.send_signal(signal.SIGTERM)
        await program.reload([instance("s-0", endpoint.port)])
        await program.discovery.server.wait_until(lambda server: len(server.received) > 0)
        endpoint.received[0].writer.write(response_bytes(b"served"))
        assert (await task).body == b"served"
        program.process.send_signal(signal.SIGHUP)
        assert await program.process.wait() == 0


@async_test(limit_s=10)  # less than the idle timeout, which would close the connections, too
async def test_draining_endpoint_gets_no_requests_and_full_list_replaces_the_old(tmp_path: Path) -> None:
    async with RunningProgram(tmp_path, serve, serve) as program:
        await program.discovery.publish([instance("s-0", program.endpoints[0].port, "draining")])
        for i in range(6):
            assert await program.request_status(request_bytes(x_request_id=b"id-%d" % i)) == 200
        assert len(program.endpoints[0].received) == 0
        list_without_s1 = [instance("s-0", program.endpoints[0].port)]
        await program.discovery.publish(list_without_s1, is_full=True)
        await program.endpoints[1].wait_until(lambda server: server.connections_closed > 0)
        for i in range(6):
            assert await program.request_status(request_bytes(x_request_id=b"more-%d" % i)) == 200
        assert (len(program.endpoints[0].received), len(program.endpoints[1].received)) == (6, 6)


@async_test()
async def test_draining_endpoint_is_noticed_in_time_when_the_long_poll_gets_no_response(
    tmp_path: Path,
) -> None:
    """A long poll can stay without a response, with its connection open; the program must poll again."""
    async with RunningProgram(tmp_path, serve_as(b"leaving"), serve_as(b"staying")) as program:
        discovery, server = program.discovery, program.discovery.server
        await server.wait_until(lambda server: bool(discovery.pending_polls))
        silent_connection = discovery.pending_polls[-1].writer  # stays open
        drain_began_s = asyncio.get_running_loop().time()
        draining_list = [
            instance("s-0", program.endpoints[0].port, "draining"),
            instance("s-1", program.endpoints[1].port),
        ]
        discovery.generation += 1

        def respond(request: ReceivedMessage) -> bytes | None:
            if request.writer is silent_connection:
                return None
            return discovery.list_response(draining_list, True)

        server.respond = respond
        count = len(server.received)
        # The program sends the second further request only after it has read the response to the first one.
        await server.wait_until(lambda server: len(server.received) > count + 1)
        assert asyncio.get_running_loop().time() - drain_began_s < 6.0
        bodies = {
            (await program.request(request_bytes(x_request_id=b"after%02d" % i))).body for i in range(8)
        }
        assert bodies == {b"staying"}


@async_test()
async def test_no_connection_is_accepted_before_discovery_has_responded(tmp_path: Path) -> None:
    """After a restart, the cached list may contain an endpoint as ready that has started to drain since."""
    async with RunningProgram(tmp_path, serve_as(b"leaving"), serve_as(b"staying")) as program:
        discovery, ports = program.discovery, [endpoint.port for endpoint in program.endpoints]
        program.process.kill()
        await program.process.wait()
        count = len(discovery.server.received)
        discovery.server.respond = lambda request: None
        program.cached_list = {
            "generation": 1,
            "reset": True,
            "instances": [instance("s-0", ports[0]), instance("s-1", ports[1])],
        }
        starting = asyncio.create_task(program.launch())
        await discovery.server.wait_until(lambda server: len(server.received) > count)
        with pytest.raises(ConnectionRefusedError):
            await program.connect()
        draining_list = [instance("s-0", ports[0], "draining"), instance("s-1", ports[1])]

        def respond(request: ReceivedMessage) -> bytes | None:
            if "wait_ms=2000" in request.start_line:
                return None
            return discovery.list_response(draining_list, True)

        discovery.server.respond = respond
        discovery.server.received[-1].writer.transport.abort()  # the program repeats the request
        await starting
        bodies = {(await program.request(request_bytes(x_request_id=b"id-%d" % i))).body for i in range(8)}
        assert bodies == {b"staying"}


@async_test()
async def test_endpoint_may_change_its_address(tmp_path: Path) -> None:
    async with RunningProgram(tmp_path, serve, serve) as program:
        await program.discovery.publish([instance("s-1", program.endpoints[1].port, "gone")])
        assert await program.request_status(request_bytes(x_request_id=b"before")) == 200
        await program.discovery.publish([instance("s-0", program.endpoints[1].port)])
        assert await program.request_status(request_bytes(x_request_id=b"moved")) == 200
        assert program.endpoints[1].received_x_request_ids() == ["moved"]


@pytest.mark.parametrize(
    "response",
    [
        response_bytes(b"{"),
        response_bytes(b'{"generation":9,"reset":true,"instances":[{}]}'),
        response_bytes(b"", 500),
        b"nonsense\r\n\r\n",
    ],
)
@async_test(limit_s=12)  # less than the timeout of the long poll, after which the program polls again
async def test_malformed_discovery_response_keeps_the_list(tmp_path: Path, response: bytes) -> None:
    async with RunningProgram(tmp_path, serve) as program:
        await program.discovery.respond_to_poll(lambda: response)  # returns when the next poll has arrived
        assert await program.request_status(request_bytes()) == 200


@pytest.mark.parametrize("response", [response_bytes(b"many"), b"\0noise\r\n\r\n"])
@async_test(limit_s=8)
async def test_malformed_counter_response_is_logged_once_and_requests_are_served(
    tmp_path: Path, response: bytes
) -> None:
    async with RunningProgram(tmp_path, serve) as program:
        malformed: list[ReceivedMessage] = []

        def respond(request: ReceivedMessage) -> bytes:
            malformed.append(request)
            return response

        program.counter.respond = respond
        assert (await program.request(request_bytes(x_request_id=b"first", plan="quick"))).body == b"served"
        await program.counter.wait_until(lambda server: bool(malformed))
        program.counter.respond = lambda request: counter_response(request, program.counter_values)
        assert (await program.request(request_bytes(x_request_id=b"second", plan="quick"))).body == b"served"
        while sum("counter_response_malformed" in line for line in program.log) < len(malformed):
            await asyncio.sleep(0.01)
        assert sum("WARNING" in line for line in program.log) == len(malformed)


@async_test()
async def test_requests_are_served_while_the_counter_fails(tmp_path: Path) -> None:
    async with RunningProgram(tmp_path, serve) as program:
        responders = (
            stay_silent,
            reset_connection,
            lambda _: response_bytes(b"", 503),
            lambda _: response_bytes(b"x"),
        )
        for i, respond in enumerate(responders):
            program.counter.respond = respond
            for j in range(3):  # each request is of a new tenant, which needs a counter call
                data = request_bytes(x_request_id=b"%d-%d" % (i, j), tenant=f"{1 + 3 * i + j:016x}")
                assert await program.request_status(data) == 200
        program.counter.stop()
        last = request_bytes(x_request_id=b"last", tenant="0000000000000099")
        assert await program.request_status(last) == 200


@async_test()
async def test_counter_that_resets_connections_is_still_called_for_each_tenant(tmp_path: Path) -> None:
    """One call in three is reset. Since the others get a response, the counter must not count as failed."""

    def respond(request: ReceivedMessage) -> bytes:
        return (
            b""
            if len(program.counter.received) % 3 == 0
            else counter_response(request, program.counter_values)
        )

    async with RunningProgram(tmp_path, serve) as program:
        program.counter.respond = respond
        for i in range(40):
            data = request_bytes(x_request_id=b"id-%d" % i, tenant=f"{i + 1:016x}")
            assert await program.request_status(data) == 200
        tenants = {request.start_line.split("?")[0].partition(".")[0] for request in program.counter.received}
        assert len(tenants) == 40
        assert not any("failed" in line for line in program.log)


@pytest.mark.parametrize("billed_units", [b"1_0", b"-1", b"5", b"1e9", b"nan", b"", b"9" * 400])
@async_test()
async def test_billed_units_out_of_range_are_ignored(tmp_path: Path, billed_units: bytes) -> None:
    """A value that is malformed or above `most_units`, which is 4, must not replace the estimate of 2."""
    async with RunningProgram(
        tmp_path, lambda request: response_bytes(b"ok", headers=b"Billed-Units: %b\r\n" % billed_units)
    ) as program:
        for i in range(30):
            assert await program.request_status(request_bytes(x_request_id=b"id-%d" % i)) == 200
        await program.counter.wait_until(lambda server: sum(program.counter_values.values()) > 0)
        assert sum(program.counter_values.values()) <= 60
