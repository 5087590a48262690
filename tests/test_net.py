"""The real program over loopback sockets: every failure it must live through, seen from outside."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

import pytest
from support.http_fakes import (
    LOOPBACK,
    ROOT,
    ReceivedMessage,
    counter_response,
    instance,
    read_message,
    request_bytes,
    response_bytes,
)
from support.program import RunningProgram, run_scenario

from api_gateway.network.upstream.pool import REST_S


def serve(seen: ReceivedMessage) -> bytes:
    return response_bytes(b"served")


def silent(seen: ReceivedMessage) -> None:
    return None


def reset(seen: ReceivedMessage) -> bytes:
    return b""


def test_serves_and_passes_on_unchanged(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with RunningProgram(
            tmp_path, lambda seen: response_bytes(b"\0body", headers=b"Billed-Units: 5\r\n")
        ) as rig:
            answer = await rig.request(
                request_bytes("put", body=b"x" * 3000, target="/api/v2/00000000b4d65521?a=1")
            )
            assert (answer.start_line.split()[1], answer.body) == ("200", b"\0body")
            (seen,) = rig.endpoints[0].received
            assert seen.start_line == "POST /api/v2/00000000b4d65521?a=1 HTTP/1.1"
            assert seen.body == b"x" * 3000
            assert seen.headers["x-request-id"] == "9b1f03aa5c7e2d41"
            assert seen.headers["idempotency-key"] == "5c0f6e1a"
            assert 0 < int(seen.headers["x-deadline"].removesuffix("m")) <= 6000
            # The units of the guess, then what the answer billed beyond it, reach the counter.
            await rig.counter.wait_until(lambda fake: sum(rig.totals.values()) >= 2)

    run_scenario(scenario)


def test_answers_keep_their_order_on_one_connection(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with RunningProgram(
            tmp_path, lambda seen: response_bytes(seen.headers["x-request-id"].encode())
        ) as rig:
            reader, writer = await rig.connect()
            writer.write(b"".join(request_bytes(request_id=b"id-%d" % i) for i in range(5)))
            bodies = [(await read_message(reader, writer)).body for _ in range(5)]
            assert bodies == [b"id-%d" % i for i in range(5)]
            assert len(rig.endpoints[0].received) == 5

    run_scenario(scenario)


def test_a_refusal_comes_at_once_with_advice(tmp_path: Path) -> None:
    """What the module gives up on is not held: other answers on the way to it do not matter."""

    async def scenario() -> None:
        async with RunningProgram(tmp_path, serve) as rig:
            answers = [
                await rig.request(request_bytes(plan="small", request_id=b"id-%d" % i)) for i in range(6)
            ]
            refused = [a for a in answers if a.start_line.split()[1] == "503"]
            assert refused and len(rig.endpoints[0].received) == len(answers) - len(refused)
            assert all(0 < float(a.headers["retry-after"]) <= 1 for a in refused)

    run_scenario(scenario, 5)  # six that were held to near their deadlines of 6 s would take longer


BAD = [
    (b"nonsense\r\n\r\n", 400),
    (b"GET / HTTP/9.9\r\n\r\n", 400),
    (request_bytes(target="/other"), 404),
    (request_bytes(target="/api/xyz"), 400),
    (request_bytes(tenant="0000000200000000"), 400),
    (request_bytes(tenant="00000001fffffff"), 400),
    (request_bytes("nope"), 400),
    (request_bytes(plan="nope"), 400),
    (request_bytes(deadline="soon"), 400),
    (request_bytes(deadline="-5m"), 400),
    (request_bytes(deadline="1e3m"), 400),
    (request_bytes(method="POST"), 400),
    (request_bytes("put", method="GET"), 400),
    (request_bytes("put", has_idempotency_key=False), 400),
    (request_bytes(request_id=b"two words"), 400),
    (request_bytes(extra_headers="X-Class: read\r\n"), 400),
    (
        request_bytes(without_header="Quota-Info", extra_headers="Quota-Info: units=0,spread=1,first=0\r\n"),
        400,
    ),
    (
        request_bytes(
            without_header="Quota-Info", extra_headers="Quota-Info: units=nan,spread=1,first=0\r\n"
        ),
        400,
    ),
    *(
        (request_bytes(without_header="Quota-Info", extra_headers=f"Quota-Info: {info}\r\n"), 400)
        for info in (
            "units=5,spread=1,first=0",
            "units=-400,spread=1,first=0",
            "units=1,spread=2,first=0",
            "units=1,spread=0,first=0",
            "units=1,spread=1,first=1",
            "units=1,spread=1,first=-1",
            "units=1_0",
        )
    ),
    (request_bytes(extra_headers="Filler: " + "x" * 40000 + "\r\n"), 400),
    (request_bytes("put", body=b"x" * (64 * 1024 + 1)), 413),
    (
        request_bytes("put", without_header="Content-Length", extra_headers="Transfer-Encoding: chunked\r\n")
        + b"11000\r\n"
        + b"x" * 0x11000
        + b"\r\n0\r\n\r\n",
        413,
    ),
    *(
        (request_bytes(without_header=name), 400)
        for name in ("X-Request-Id", "X-Class", "Plan", "X-Deadline", "Quota-Info")
    ),
]


def test_bad_input_reaches_no_host(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with RunningProgram(tmp_path, serve) as rig:
            for data, status in BAD:
                assert await rig.request_status(data) == status, data[:200]
            assert not rig.endpoints[0].received
            assert (
                await rig.request_status(request_bytes("put", body=b"x" * 64 * 1024)) == 200
            )  # the largest allowed
            assert rig.process.returncode is None

    run_scenario(scenario)


def test_bad_input_behind_an_open_request_waits_for_its_answer(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with RunningProgram(tmp_path, silent) as rig:
            reader, writer = await rig.connect()
            writer.write(request_bytes() + b"nonsense\r\n\r\n")
            await rig.endpoints[0].wait_until(lambda fake: len(fake.received) == 1)
            rig.endpoints[0].received[0].writer.write(response_bytes(b"first"))
            assert (await read_message(reader, writer)).body == b"first"
            assert (await read_message(reader, writer)).start_line.split()[1] == "400"
            assert await reader.read() == b""

    run_scenario(scenario)


@pytest.mark.parametrize(("cls", "status", "attempts"), [("read", 200, 2), ("put", 200, 2), ("pay", 502, 1)])
def test_reset_after_the_last_byte_may_have_run(tmp_path: Path, cls: str, status: int, attempts: int) -> None:
    async def scenario() -> None:
        answers = iter((b"", response_bytes(b"served")))
        async with RunningProgram(tmp_path, lambda _: next(answers), lambda _: next(answers)) as rig:
            assert await rig.request_status(request_bytes(cls)) == status
            assert sum(len(host.received) for host in rig.endpoints) == attempts

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("answer", "status", "attempts"),
    [
        (response_bytes(b"", 503, b"X-Not-Run: 1\r\n"), 200, 2),
        (response_bytes(b"", 504, b"X-Not-Run: 1\r\n"), 200, 2),
        (response_bytes(b"", 503), 502, 1),
        (response_bytes(b"", 500), 502, 1),
        (response_bytes(b"", 500, b"X-Not-Run: 1\r\n"), 502, 1),
        (response_bytes(b"", 204), 502, 1),
        (b"HTTP/1.1 nonsense\r\n\r\n", 502, 1),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", 502, 1),
    ],
)
def test_only_x_not_run_lets_an_unsafe_request_go_again(
    tmp_path: Path, answer: bytes, status: int, attempts: int
) -> None:
    async def scenario() -> None:
        answers = iter((answer, response_bytes(b"served")))

        def behave(seen: ReceivedMessage) -> bytes:
            data = next(answers)
            if data.endswith(b"half"):
                seen.writer.write(data)
                seen.writer.close()  # ends in the middle of its answer
                return None
            return data

        async with RunningProgram(tmp_path, behave) as rig:
            assert await rig.request_status(request_bytes("pay")) == status
            assert len(rig.endpoints[0].received) == attempts

    run_scenario(scenario)


def test_a_refused_connection_never_ran(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with RunningProgram(tmp_path, serve, serve) as rig:
            rig.endpoints[0].stop()  # its port refuses from now on
            for i in range(8):
                assert await rig.request_status(request_bytes("pay", request_id=b"id-%d" % i)) == 200
            assert len(rig.endpoints[1].received) == 8

    run_scenario(scenario)


def test_silence_is_failed_in_time_and_its_connection_not_used_again(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with RunningProgram(
            tmp_path, lambda seen: None if seen.headers["x-request-id"] == "quiet" else serve(seen)
        ) as rig:
            assert await rig.request_status(request_bytes("pay", request_id=b"quiet", deadline="400m")) in (
                502,
                504,
            )
            await rig.endpoints[0].wait_until(lambda fake: fake.closed == 1)  # the host is told by the close
            assert await rig.request_status(request_bytes(request_id=b"next")) == 200
            assert [s.headers["x-request-id"] for s in rig.endpoints[0].received] == ["quiet", "next"]

    run_scenario(scenario)


def test_a_client_that_closes_has_its_work_dropped(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with RunningProgram(tmp_path, silent) as rig:
            _, writer = await rig.connect()
            writer.write(request_bytes("put"))
            await rig.endpoints[0].wait_until(lambda fake: len(fake.received) == 1)
            writer.close()
            await rig.endpoints[0].wait_until(lambda fake: fake.closed == 1)
            assert len(rig.endpoints[0].received) == 1

    run_scenario(scenario, 4)  # before the attempt's own time-out would close it


def test_a_request_behind_another_is_not_sent_on_once_its_client_has_left(tmp_path: Path) -> None:
    """While requests wait on a connection we read no further, and its end lies behind them."""

    async def scenario() -> None:
        async with RunningProgram(tmp_path, silent) as rig:
            loop, client = asyncio.get_running_loop(), socket.create_connection((LOOPBACK, rig.port))
            client.setblocking(False)
            with client:
                client.sendall(
                    b"".join(request_bytes(request_id=rid) for rid in (b"first", b"second", b"third"))
                )
                await rig.endpoints[0].wait_until(lambda fake: len(fake.received) == 1)
                client.shutdown(socket.SHUT_WR)  # in the other's kernel from here on, and unread
                rig.endpoints[0].respond = serve
                rig.endpoints[0].received[0].writer.write(response_bytes(b"served"))
                try:
                    while await loop.sock_recv(client, 4096):  # until the connection's turns are over
                        pass
                except ConnectionResetError:
                    pass
            assert (await rig.request(request_bytes(request_id=b"last"))).body == b"served"
            assert [s.headers["x-request-id"] for s in rig.endpoints[0].received] == ["first", "last"]

    run_scenario(scenario)


def test_kept_connections_are_used_again(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with RunningProgram(tmp_path, serve) as rig:
            reader, writer = await rig.connect()
            for i in range(5):
                writer.write(request_bytes(request_id=b"id-%d" % i))
                assert (await read_message(reader, writer)).body == b"served"
                await asyncio.sleep(5 * REST_S)
            assert len({id(s.writer) for s in rig.endpoints[0].received}) == 1

    run_scenario(scenario)


def test_an_answer_read_after_a_stall_beats_its_time_out(tmp_path: Path) -> None:
    """Our own stall must not turn an answer that came in time into a time-out."""

    async def scenario() -> None:
        async with RunningProgram(tmp_path, silent) as rig:
            asked = asyncio.create_task(rig.request_status(request_bytes("pay")))
            await rig.endpoints[0].wait_until(lambda fake: len(fake.received) == 1)
            rig.process.send_signal(signal.SIGSTOP)
            rig.endpoints[0].received[0].writer.write(response_bytes(b"served"))
            await rig.endpoints[0].received[0].writer.drain()
            await asyncio.sleep(3.3)  # past the attempt's time-out of 3 s, not past the client's 6 s
            rig.process.send_signal(signal.SIGCONT)
            assert await asked == 200

    run_scenario(scenario)


def test_sigterm_accepts_a_little_longer_finishes_and_exits(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with RunningProgram(tmp_path, silent) as rig:
            first = asyncio.create_task(rig.request(request_bytes(request_id=b"first")))
            await rig.endpoints[0].wait_until(lambda fake: len(fake.received) == 1)
            idle_reader, _ = await rig.connect()
            rig.process.send_signal(signal.SIGTERM)
            while not any("draining" in line for line in rig.log):
                await asyncio.sleep(0.01)
            late = asyncio.create_task(rig.request(request_bytes(request_id=b"late")))
            await rig.endpoints[0].wait_until(lambda fake: len(fake.received) == 2)
            assert await idle_reader.read() == b""  # closed though the others are still served
            assert rig.process.returncode is None
            for seen in rig.endpoints[0].received:
                seen.writer.write(response_bytes(b"served"))
            for answer in (await first, await late):
                assert answer.body == b"served"
                assert answer.headers["connection"] == "close"
            assert await rig.process.wait() == 0

    run_scenario(scenario)


def test_sigterm_answers_what_cannot_finish_and_exits_before_sigkill(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with RunningProgram(tmp_path, silent) as rig:
            asked = asyncio.create_task(rig.request_status(request_bytes("put", deadline="60000m")))
            await rig.endpoints[0].wait_until(lambda fake: len(fake.received) == 1)
            rig.process.send_signal(signal.SIGTERM)
            assert await asked == 504  # by the program itself, not by chance while it falls apart
            async with asyncio.timeout(3.7):
                assert await rig.process.wait() == 0

    run_scenario(scenario)


def test_sigkill_and_restart_on_the_same_port(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with RunningProgram(tmp_path, serve) as rig:
            assert await rig.request_status(request_bytes()) == 200
            reader, _ = await rig.connect()
            rig.process.kill()
            await rig.process.wait()
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await reader.readexactly(1)
            await rig.launch()
            assert await rig.request_status(request_bytes(request_id=b"after")) == 200

    run_scenario(scenario)


def test_who_only_holds_a_connection_gives_way_to_who_asks(tmp_path: Path) -> None:
    """Silent, half-sent and asked-once connections must not take the descriptors from a client that asks."""

    async def scenario() -> None:
        async with RunningProgram(tmp_path, silent, sockets=128) as rig:
            reader, writer = await rig.connect()
            writer.write(request_bytes(request_id=b"open"))
            await rig.endpoints[0].wait_until(lambda fake: len(fake.received) == 1)
            crowd = []
            for i in range(210):
                crowd.append(await rig.connect())
                crowd[-1][1].write((b"", b"GET /api/", b"GET /ready HTTP/1.1\r\n\r\n")[i % 3])
            asked = asyncio.create_task(rig.request(request_bytes(request_id=b"late")))
            await rig.endpoints[0].wait_until(lambda fake: len(fake.received) == 2)
            for seen in rig.endpoints[0].received:  # the one that was owed its answer has kept its place
                seen.writer.write(response_bytes(b"served"))
            assert (await asked).body == b"served"
            assert (await read_message(reader, writer)).body == b"served"
            assert rig.process.returncode is None

    run_scenario(scenario, 10)


def test_a_connection_not_heard_yet_outlasts_those_that_had_their_answer(tmp_path: Path) -> None:
    """Closed, it would lose its first request; the client of a kept one asks again on another."""

    async def scenario() -> None:
        async with RunningProgram(tmp_path, serve, sockets=128) as rig:
            reader, writer = await rig.connect()
            crowd = []
            for _ in range(150):
                crowd.append(await rig.connect())
                crowd[-1][1].write(b"GET /ready HTTP/1.1\r\n\r\n")
                await read_message(*crowd[-1])
            writer.write(request_bytes())
            assert (await read_message(reader, writer)).body == b"served"

    run_scenario(scenario, 10)


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"", None),
        (b"GET /api/0 HTTP/1.1\r\nX-Pad: ", b"408"),
        (request_bytes("put", body=b"x" * 9)[:-1], b"408"),
        (b"GET /ready HTTP/1.1\r\n\r\nGET ", b"408"),
    ],
)
def test_what_is_never_sent_whole_is_closed_in_time(
    tmp_path: Path, sent: bytes, status: bytes | None
) -> None:
    async def scenario() -> None:
        async with RunningProgram(tmp_path, serve) as rig:
            reader, writer = await rig.connect()
            writer.write(sent)
            async with asyncio.timeout(3):  # an error or a close is owed by then
                answer = await reader.read()
            assert answer == b"" if status is None else b"HTTP/1.1 " + status in answer
            assert not rig.endpoints[0].received

    run_scenario(scenario)


def test_an_id_in_use_is_not_sent_on_twice(tmp_path: Path) -> None:
    """Hosts know a request by its id: another client's copy of an open one would be its second run."""

    async def scenario() -> None:
        async with RunningProgram(tmp_path, silent) as rig:
            asked = asyncio.create_task(rig.request(request_bytes("put")))
            await rig.endpoints[0].wait_until(lambda fake: len(fake.received) == 1)
            assert await rig.request_status(request_bytes("put", tenant="0000000000000001")) == 409
            rig.endpoints[0].received[0].writer.write(response_bytes(b"served"))
            assert (await asked).body == b"served"
            assert len(rig.endpoints[0].received) == 1
            rig.endpoints[0].respond = serve
            assert await rig.request_status(request_bytes("put")) == 200  # it is no longer in use

    run_scenario(scenario)


HIDDEN = b"0\r\n\r\n" + request_bytes(request_id=b"hidden")


@pytest.mark.parametrize(
    "lines",
    [
        "Content-Length: %d\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: %d\r\n",
        "Content-Length: %d\r\nContent-Length: 0\r\n",
        "Content-Length: %d\r\nContent-Length: %d\r\n",
        "Content-Length: -%d\r\n",
        "Content-Length: +%d\r\n",
        "Content-Length: 0x%d\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\nX: %d\r\n",
        "Transfer-Encoding: xchunked\r\nX: %d\r\n",
    ],
)
def test_framing_that_can_be_read_in_two_ways_hides_nothing(tmp_path: Path, lines: str) -> None:
    async def scenario() -> None:
        async with RunningProgram(tmp_path, serve) as rig:
            reader, writer = await rig.connect()
            more = lines.replace("%d", str(len(HIDDEN)))
            writer.write(
                request_bytes("put", method="POST", without_header="Content-Length", extra_headers=more)
                + HIDDEN
            )
            assert b"HTTP/1.1 400" in (await reader.read())
            assert b"hidden" not in [s.headers["x-request-id"].encode() for s in rig.endpoints[0].received]

    run_scenario(scenario)


def test_a_rejected_request_is_the_last_on_its_connection(tmp_path: Path) -> None:
    """Guards the CPU: a flood has to connect again for each bad request, and what follows is not read."""

    async def scenario() -> None:
        async with RunningProgram(tmp_path, serve) as rig:
            reader, writer = await rig.connect()
            writer.write(request_bytes("nope") + request_bytes())
            answer = await read_message(reader, writer)
            assert (answer.start_line.split()[1], answer.headers["connection"]) == ("400", "close")
            assert await reader.read() == b""
            assert not rig.endpoints[0].received

    run_scenario(scenario)


def test_hundreds_of_requests_at_once_are_not_kept(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with RunningProgram(tmp_path, serve) as rig:
            reader, writer = await rig.connect()
            writer.write(b"".join(request_bytes(request_id=b"id-%d" % i) for i in range(300)))
            answers = await reader.read()
            assert answers.endswith(b"Connection: close\r\n\r\n") and b"HTTP/1.1 400" in answers
            assert len(rig.endpoints[0].received) == answers.count(b"HTTP/1.1 200") < 20

    run_scenario(scenario)


@pytest.mark.parametrize(
    "head",
    [
        request_bytes("put", without_header="Content-Length", extra_headers="Content-Length: 60000000\r\n"),
        request_bytes("put", without_header="Content-Length", extra_headers="Transfer-Encoding: chunked\r\n")
        + b"3938700\r\n",
    ],
)
def test_a_huge_body_is_turned_away_unread(tmp_path: Path, head: bytes) -> None:
    """413 at once, whatever is still being sent; what is not read in the end is cut off."""

    async def scenario() -> None:
        async with RunningProgram(tmp_path, serve) as rig:
            reader, writer = await rig.connect()
            writer.write(head + b"x" * 100_000)
            assert (await read_message(reader, writer)).start_line.split()[1] == "413"
            with pytest.raises(ConnectionError):
                for _ in range(60):
                    writer.write(b"x" * 1_000_000)
                    await writer.drain()
            assert await rig.request_status(request_bytes()) == 200

    run_scenario(scenario)


def test_a_draining_host_gets_nothing_new_and_a_whole_list_replaces(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with RunningProgram(tmp_path, serve, serve) as rig:
            await rig.discovery.publish([instance("s-0", rig.endpoints[0].port, "draining")])
            for i in range(6):
                assert await rig.request_status(request_bytes(request_id=b"id-%d" % i)) == 200
            assert len(rig.endpoints[0].received) == 0
            await rig.discovery.publish(
                [instance("s-0", rig.endpoints[0].port)], is_full=True
            )  # s-1 is not in it
            await rig.endpoints[1].wait_until(lambda fake: fake.closed > 0)  # its kept connection goes
            for i in range(6):
                assert await rig.request_status(request_bytes(request_id=b"more-%d" % i)) == 200
            assert (len(rig.endpoints[0].received), len(rig.endpoints[1].received)) == (6, 6)

    run_scenario(scenario, 10)  # before an idle connection would be retired


def test_a_drain_that_a_silent_watch_misses_is_found_out_in_time(tmp_path: Path) -> None:
    async def scenario() -> None:
        leaving, staying = (
            (lambda seen: response_bytes(b"leaving")),
            (lambda seen: response_bytes(b"staying")),
        )
        async with RunningProgram(tmp_path, leaving, staying) as rig:
            directory, fake = rig.discovery, rig.discovery.server
            await fake.wait_until(lambda f: bool(directory.pending_polls))
            silent = directory.pending_polls[-1].writer  # stays open, and says nothing any more
            fell = asyncio.get_running_loop().time()
            leaves = [
                instance("s-0", rig.endpoints[0].port, "draining"),
                instance("s-1", rig.endpoints[1].port),
            ]
            directory.generation += 1

            def behave(
                seen: ReceivedMessage,
            ) -> bytes | None:  # the news waits for whoever comes on a new connection
                return None if seen.writer is silent else directory.list_response(leaves, True)

            fake.respond = behave
            count = len(fake.received)
            await fake.wait_until(
                lambda f: len(f.received) > count + 1
            )  # answered, and asked on: the list is known
            assert asyncio.get_running_loop().time() - fell < 6.0
            bodies = {(await rig.request(request_bytes(request_id=b"after%02d" % i))).body for i in range(8)}
            assert bodies == {b"staying"}

    run_scenario(scenario)


def test_no_client_is_taken_before_the_agent_has_told_its_list(tmp_path: Path) -> None:
    """A restarted gateway: its configuration still calls ready what the agent knows to be leaving."""

    async def scenario() -> None:
        leaving, staying = (
            (lambda seen: response_bytes(b"leaving")),
            (lambda seen: response_bytes(b"staying")),
        )
        async with RunningProgram(tmp_path, leaving, staying) as rig:
            directory, ports = rig.discovery, [host.port for host in rig.endpoints]
            rig.process.kill()
            await rig.process.wait()
            asked = len(directory.server.received)
            directory.server.respond = lambda seen: (
                None
            )  # the new process asks, and is answered when we say so
            rig.cached_list = {
                "generation": 1,
                "reset": True,
                "instances": [instance("s-0", ports[0]), instance("s-1", ports[1])],
            }
            starting = asyncio.create_task(rig.launch())
            await directory.server.wait_until(lambda fake: len(fake.received) > asked)
            with pytest.raises(ConnectionRefusedError):
                await rig.connect()
            directory.server.respond = lambda seen: (
                None
                if "wait_ms=2000" in seen.start_line
                else directory.list_response(
                    [instance("s-0", ports[0], "draining"), instance("s-1", ports[1])], True
                )
            )
            directory.server.received[-1].writer.transport.abort()  # come again
            await starting
            bodies = {(await rig.request(request_bytes(request_id=b"id-%d" % i))).body for i in range(8)}
            assert bodies == {b"staying"}

    run_scenario(scenario)


def test_a_host_may_move_to_another_address(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with RunningProgram(tmp_path, serve, serve) as rig:
            await rig.discovery.publish([instance("s-1", rig.endpoints[1].port, "gone")])
            assert await rig.request_status(request_bytes(request_id=b"before")) == 200
            await rig.discovery.publish([instance("s-0", rig.endpoints[1].port)])
            assert await rig.request_status(request_bytes(request_id=b"moved")) == 200
            assert [s.headers["x-request-id"] for s in rig.endpoints[1].received] == ["moved"]

    run_scenario(scenario)


@pytest.mark.parametrize(
    "nonsense",
    [
        response_bytes(b"{"),
        response_bytes(b'{"generation":9,"reset":true,"instances":[{}]}'),
        response_bytes(b"", 500),
        b"nonsense\r\n\r\n",
    ],
)
def test_discoverys_nonsense_keeps_the_list(tmp_path: Path, nonsense: bytes) -> None:
    async def scenario() -> None:
        async with RunningProgram(tmp_path, serve) as rig:
            await rig.discovery.answer_poll(lambda: nonsense)  # returns once it has asked again
            assert await rig.request_status(request_bytes()) == 200

    run_scenario(scenario, 12)  # before the watch's own time-out would begin a new one


@pytest.mark.parametrize("answer", [response_bytes(b"many"), b"\0noise\r\n\r\n"])
def test_a_spoilt_counter_answer_is_logged_and_changes_nothing(tmp_path: Path, answer: bytes) -> None:
    async def scenario() -> None:
        async with RunningProgram(tmp_path, serve) as rig:
            spoilt: list[ReceivedMessage] = []

            def behave(seen: ReceivedMessage) -> bytes:
                spoilt.append(seen)
                return answer

            rig.counter.respond = behave
            assert (await rig.request(request_bytes(request_id=b"first", plan="quick"))).body == b"served"
            await rig.counter.wait_until(lambda fake: bool(spoilt))
            rig.counter.respond = lambda seen: counter_response(seen, rig.totals)
            assert (await rig.request(request_bytes(request_id=b"second", plan="quick"))).body == b"served"
            while len([line for line in rig.log if "counter: an answer that cannot" in line]) < len(spoilt):
                await asyncio.sleep(0.01)
            assert len([line for line in rig.log if "WARNING" in line]) == len(spoilt)  # a line for each

    run_scenario(scenario, 8)


def test_a_counter_that_breaks_does_not_stop_service(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with RunningProgram(tmp_path, serve) as rig:
            for i, behave in enumerate(
                (silent, reset, lambda _: response_bytes(b"", 503), lambda _: response_bytes(b"x"))
            ):
                rig.counter.respond = behave
                for j in range(3):  # a customer not seen before makes the module ask
                    data = request_bytes(request_id=b"%d-%d" % (i, j), tenant=f"{1 + 3 * i + j:016x}")
                    assert await rig.request_status(data) == 200
            rig.counter.stop()
            assert (
                await rig.request_status(request_bytes(request_id=b"last", tenant="0000000000000099")) == 200
            )

    run_scenario(scenario)


def test_a_counter_that_cuts_connections_is_asked_for_every_new_customer(tmp_path: Path) -> None:
    """One call in three is reset, the others are answered: that is no silent counter."""

    async def scenario() -> None:
        def behave(seen: ReceivedMessage) -> bytes:
            return b"" if len(rig.counter.received) % 3 == 0 else counter_response(seen, rig.totals)

        async with RunningProgram(tmp_path, serve) as rig:
            rig.counter.respond = behave
            for i in range(40):
                data = request_bytes(request_id=b"id-%d" % i, tenant=f"{i + 1:016x}")
                assert await rig.request_status(data) == 200
            asked = {seen.start_line.split("?")[0].partition(".")[0] for seen in rig.counter.received}
            assert len(asked) == 40
            assert not any("failed" in line for line in rig.log)

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("raw", "field"),
    [
        ("{", "ROUTER_CONFIG"),
        ('{"settings": []}', "settings"),
        ('{"settings": {"grades": []}, "listen": "x"}', "classes"),
        ('{"settings": {"grades": [{"name": "a", "objective_ms": "soon"}]}}', "grades.0.objective_ms"),
        ('{"settings": {"grades": [{"name": "a", "objective_ms": 1, "deadline_ms": 2}]}}', "listen"),
    ],
)
def test_bad_configuration_ends_the_start_with_one_line(tmp_path: Path, raw: str, field: str) -> None:
    path = tmp_path / "config.json"
    path.write_text(raw)
    done = subprocess.run(
        [sys.executable, "-m", "api_gateway"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
        env={**os.environ, "ROUTER_CONFIG": str(path)},
    )
    assert done.returncode == 2
    assert len(done.stderr.splitlines()) == 1
    assert field in done.stderr


SPOILT = [
    b"noise\r\n\r\n",
    b"HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nno",
    b"HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 2\r\n\r\nno",
    b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nno",
    b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nno",
    b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nno",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\nzz\r\n",
    b"HTTP/1.1 200 OK\r\n\r\nno",
    b"HTTP/1.1 200 OK\r\nX-Pad: " + b"p" * 300_000,
    b"HTTP/1.1 103 Early Hints\r\n\r\n" * 20_000,
]


@pytest.mark.parametrize("answer", SPOILT)
def test_a_spoilt_answer_is_a_failed_attempt_and_no_fault_of_its_host(tmp_path: Path, answer: bytes) -> None:
    """It ends its attempt at once, may have run, and neither its bytes nor its connection are used."""

    async def scenario() -> None:
        async with RunningProgram(
            tmp_path, lambda seen: answer if seen.headers["x-request-id"] == "bad" else serve(seen)
        ) as rig:
            assert (
                await rig.request_status(request_bytes("pay", request_id=b"bad")) == 502
            )  # unsafe: not sent again
            await rig.endpoints[0].wait_until(lambda fake: fake.closed == 1)
            for i in range(3):  # a host that was thought to have died would be left to rest
                assert await rig.request_status(request_bytes("pay", request_id=b"id-%d" % i)) == 200
            assert rig.process.returncode is None

    run_scenario(scenario, 5)


@pytest.mark.parametrize("late", [False, True])
@pytest.mark.parametrize("more", [response_bytes(b"copy"), b"noise\r\n\r\n", b"HTTP/1.1 200 OK\r\nContent-"])
def test_what_follows_a_good_answer_is_nobodys_answer(tmp_path: Path, more: bytes, late: bool) -> None:
    """A second copy, right behind the answer or a packet later, must not become the next request's answer."""

    async def scenario() -> None:
        def behave(seen: ReceivedMessage) -> bytes:
            answer = response_bytes(seen.headers["x-request-id"].encode())
            if not late:
                return answer + more
            seen.writer.write(answer)
            asyncio.get_running_loop().call_later(REST_S / 4, seen.writer.write, more)
            return None

        async with RunningProgram(tmp_path, behave) as rig:
            reader, writer = await rig.connect()
            for i in range(10):
                writer.write(request_bytes("pay", request_id=b"id-%d" % i))
                assert (await read_message(reader, writer)).body == b"id-%d" % i
            assert len({id(s.writer) for s in rig.endpoints[0].received}) == 10

    run_scenario(scenario)


def test_interim_answers_come_before_the_answer(tmp_path: Path) -> None:
    async def scenario() -> None:
        early = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"
        async with RunningProgram(tmp_path, lambda seen: early + serve(seen)) as rig:
            assert (await rig.request(request_bytes())).body == b"served"

    run_scenario(scenario)


@pytest.mark.parametrize("figure", [b"1_0", b"-1", b"5", b"1e9", b"nan", b"", b"9" * 400])
def test_a_billed_figure_that_no_request_can_have_is_none(tmp_path: Path, figure: bytes) -> None:
    """Guards a customer's quota: beyond `most_units` (4) nothing is billed, and the guess of 2 stays."""

    async def scenario() -> None:
        async with RunningProgram(
            tmp_path, lambda seen: response_bytes(b"ok", headers=b"Billed-Units: %b\r\n" % figure)
        ) as rig:
            for i in range(30):
                assert await rig.request_status(request_bytes(request_id=b"id-%d" % i)) == 200
            await rig.counter.wait_until(lambda fake: sum(rig.totals.values()) > 0)
            assert sum(rig.totals.values()) <= 60

    run_scenario(scenario)


def test_sighup_goes_over_to_the_discovery_and_counter_of_the_file(tmp_path: Path) -> None:
    """Also where the environment named discovery at the start; what is out meanwhile is served."""

    async def scenario() -> None:
        async with RunningProgram(tmp_path, silent, serve) as rig:
            await rig.discovery.publish([instance("s-1", rig.endpoints[1].port, "gone")])
            asked = asyncio.create_task(rig.request(request_bytes(request_id=b"old")))
            await rig.endpoints[0].wait_until(lambda fake: len(fake.received) == 1)
            old_directory, old_counter = rig.discovery, rig.counter
            for _ in range(2):
                await rig.reload([instance("s-1", rig.endpoints[1].port)])
                await rig.discovery.server.wait_until(
                    lambda fake: any("after=" in s.start_line for s in fake.received)
                )
            await old_directory.server.wait_until(lambda fake: fake.closed > 0)
            assert "after=" not in rig.discovery.server.received[0].start_line  # the whole list first
            assert (
                await rig.request_status(request_bytes(request_id=b"new", tenant="0000000000000007")) == 200
            )
            assert [s.headers["x-request-id"] for s in rig.endpoints[1].received] == ["new"]
            rig.endpoints[0].received[0].writer.write(response_bytes(b"served"))
            assert (await asked).body == b"served"
            await rig.counter.wait_until(lambda fake: len(fake.received) > 0)
            assert old_counter is not rig.counter
            await old_counter.wait_until(lambda fake: fake.closed > 0)

    run_scenario(scenario)


@pytest.mark.parametrize("raw", ["{", "[]", '{"settings": {"grades": []}}', None])
def test_sighup_with_a_bad_file_changes_nothing(tmp_path: Path, raw: str | None) -> None:
    async def scenario() -> None:
        async with RunningProgram(tmp_path, serve) as rig:
            path = tmp_path / "config.json"
            path.unlink()
            if raw is not None:
                path.write_text(raw)
            for count in (1, 2):
                rig.process.send_signal(signal.SIGHUP)
                while sum("configuration is kept" in line for line in rig.log) < count:
                    await asyncio.sleep(0.01)
            assert await rig.request_status(request_bytes()) == 200
            assert rig.discovery.server.closed == 0

    run_scenario(scenario)


def test_sighup_during_the_drain_does_not_end_it_otherwise(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with RunningProgram(tmp_path, silent) as rig:
            asked = asyncio.create_task(rig.request(request_bytes()))
            await rig.endpoints[0].wait_until(lambda fake: len(fake.received) == 1)
            rig.process.send_signal(signal.SIGTERM)
            await rig.reload([instance("s-0", rig.endpoints[0].port)])
            await rig.discovery.server.wait_until(lambda fake: len(fake.received) > 0)
            rig.endpoints[0].received[0].writer.write(response_bytes(b"served"))
            assert (await asked).body == b"served"
            rig.process.send_signal(signal.SIGHUP)
            assert await rig.process.wait() == 0

    run_scenario(scenario)


def test_a_kept_connection_that_is_reset_says_nothing_of_its_host(tmp_path: Path) -> None:
    """A host may forget kept connections without a word: the request goes again on a new one, and the host is
    not left to rest."""

    async def scenario() -> None:
        used: set[int] = set()

        def behave(seen: ReceivedMessage) -> bytes:
            again = id(seen.writer) in used
            used.add(id(seen.writer))
            kept.append(seen.writer)
            return b"" if again else serve(seen)

        kept: list[asyncio.StreamWriter] = []
        async with RunningProgram(tmp_path, behave) as rig:
            for i in range(10):
                assert await rig.request_status(request_bytes(request_id=b"id-%d" % i)) == 200
                await asyncio.sleep(5 * REST_S)
            assert not any("fails" in line for line in rig.log)
            assert len(rig.endpoints[0].received) == 19  # each but the first found its connection dead once

    run_scenario(scenario)
