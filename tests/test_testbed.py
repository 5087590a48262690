"""The testbed's stand-ins, fits and command."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import signal
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest
from support.http_fakes import LOOPBACK, ROOT
from support.program import run_scenario

from api_gateway.configuration import parse
from api_gateway.model.endpoints import EndpointStatus
from api_gateway.network import discovery as discovery_calls
from api_gateway.network.discovery import parse_endpoint_list
from testbed import configuration
from testbed.children import ChildError, Children
from testbed.counter import Counts
from testbed.discovery import Directory, Instance
from testbed.fit import line
from testbed.hollow import HollowFleet, SimulatedConnectionPool
from testbed.hosts import Hosts, HostTimes
from testbed.http import serve
from testbed.plan import Plan, Report
from testbed.quotas import reckon
from testbed.scale import memory_needed_mb


async def ask(server: asyncio.Server, *targets: str) -> list[tuple[int, bytes]]:
    """Requests written one behind another on one connection; status and body of each answer."""
    reader, writer = await asyncio.open_connection(LOOPBACK, server.sockets[0].getsockname()[1])
    for target in targets:
        method, path = target.split()
        writer.write(f"{method} {path} HTTP/1.1\r\nContent-Length: 0\r\n\r\n".encode())
    out = []
    for _ in targets:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        length = int(head.lower().split("content-length: ")[1].split("\r\n")[0])
        out.append((int(head.split()[1]), await reader.readexactly(length)))
    writer.close()
    return out


def listed(count: int) -> list[Instance]:
    return configuration.instances(count, ["127.0.0.1:9"])


def test_discovery_tells_the_whole_list_the_changes_and_holds_a_watch() -> None:
    async def scenario() -> None:
        it = Directory(listed(30))
        server = await serve(it.handle, it.traffic)
        ((status, body),) = await ask(server, "GET /v1/endpoints")
        whole = parse_endpoint_list(msgspec.json.decode(body))
        assert status == 200 and whole.whole and len(whole.endpoints) == 30
        watch = asyncio.create_task(ask(server, f"GET /v1/endpoints?after={whole.generation}&wait_ms=20000"))
        while not it._waiting:
            await asyncio.sleep(0)
        gone = next(iter(it.instances.values()))
        it.change(
            [msgspec.structs.replace(gone, lifecycle="gone"), Instance("s-new", "127.0.0.1:9", "zone-1")]
        )
        news = parse_endpoint_list(msgspec.json.decode((await watch)[0][1]))
        assert not news.whole and {s.name: s.status for s in news.endpoints} == {
            gone.instanceId: EndpointStatus.REMOVED,
            "s-new": EndpointStatus.UP,
        }
        ((_, body),) = await ask(server, f"GET /v1/endpoints?after={news.generation}&wait_ms=1")
        assert parse_endpoint_list(msgspec.json.decode(body)).endpoints == ()
        assert (it.whole, it.changes, it.empty) == (1, 1, 1) and it.traffic.messages == 3

    run_scenario(scenario)


def test_a_discovery_that_must_be_asked_serves_in_turn_and_turns_away_beyond_its_line() -> None:
    async def scenario() -> None:
        it = Directory(listed(5), calls_per_s=100, patience_s=0.05)
        server = await serve(it.handle, it.traffic)
        answers = await ask(server, *["GET /v1/endpoints"] * 30)
        assert 3 <= sum(status == 200 for status, _ in answers) <= 10
        assert it.away == sum(status == 503 for status, _ in answers)

    run_scenario(scenario)


def test_the_counter_adds_forgets_and_turns_away() -> None:
    async def scenario() -> None:
        it = Counts(10_000, turned_away=0.0)
        server = await serve(it.handle, it.traffic)
        one = "POST /v1/count/a?add=2.5&ttl_ms=60000"
        assert await ask(server, one, "POST /v1/count/b?add=1&ttl_ms=1", one) == [
            (200, b"2.5"),
            (200, b"1"),
            (200, b"5"),
        ]
        while (await ask(server, "POST /v1/count/b?add=1&ttl_ms=1"))[0][1] != b"1":
            pass  # its first life of 1 ms is over soon
        assert [
            status
            for status, _ in await ask(
                server, "POST /v1/count/a?add=x&ttl_ms=1", "POST /v1/count/a", "GET /other?add=1&ttl_ms=1"
            )
        ] == [400] * 3
        it.turned_away = 0.6
        away = sum(status == 503 for status, _ in await ask(server, *[one] * 500))
        assert 250 < away < 350
        it.turned_away = 0.0  # what was turned away was not added
        assert await ask(server, one) == [(200, f"{5 + 2.5 * (501 - away):.7g}".encode())]

        it.late, calls = 1.0, it.calls  # added, and answered when nobody waits for it
        asked = asyncio.create_task(ask(server, "POST /v1/count/late?add=1&ttl_ms=60000"))
        while "late" not in it._totals:
            await asyncio.sleep(0)
        assert it.calls == calls + 1 and not asked.done()
        it.late = 0.0
        assert await ask(server, "POST /v1/count/late?add=1&ttl_ms=60000") == [(200, b"2")]
        asked.cancel()

    run_scenario(scenario)


def test_the_counter_bounds_its_calls_a_second() -> None:
    async def scenario() -> None:
        it = Counts(1000, parts=1, line_s=0.02)
        server = await serve(it.handle, it.traffic)
        statuses = [status for status, _ in await ask(server, *["POST /v1/count/a?add=1&ttl_ms=60000"] * 200)]
        assert 15 <= statuses.count(200) <= 60 and statuses.count(503) == 200 - statuses.count(200)

    run_scenario(scenario)


def test_hosts_answer_after_their_time_and_tell_it() -> None:
    async def scenario() -> None:
        it = Hosts(mean_ms=5.0)
        server = await serve(it.handle, it.traffic)
        answers = await ask(server, "GET /api/1", "GET /api/2")
        assert all(status == 200 and body.isdigit() for status, body in answers)

    run_scenario(scenario)
    times = HostTimes(20.0, 0.8, 1)
    drawn = [times.draw() for _ in range(20_000)]
    assert abs(sum(drawn) / len(drawn) - 0.02) < 0.001


def test_hollow_gateways_are_the_real_module_and_clients_without_sockets(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Many in this process: ready by discovery's word, served, counted, every request answered."""
    # All share one loop with discovery: on a busy machine an answer would come after it was given up.
    for name in ("AGENT_S", "CALL_S", "DIAL_S", "PROGRESS_S"):
        monkeypatch.setattr(discovery_calls, name, 60.0)

    async def scenario() -> None:
        directory, counts = Directory(listed(60)), Counts(50_000)
        discovery = await serve(directory.handle, directory.traffic)
        counter = await serve(counts.handle, counts.traffic)
        port = [s.sockets[0].getsockname()[1] for s in (discovery, counter)]
        configs = [
            parse(
                configuration.raw(
                    me=me,
                    fleet=100,
                    discovery=f"{LOOPBACK}:{port[0]}",
                    counter=f"{LOOPBACK}:{port[1]}",
                    asked=False,
                    seed=1,
                    refill=50.0,
                )
            )
            for me in range(100)
        ]
        fleet = HollowFleet(configs, customers=50, rate=5.0, skew=1.0, seed=1)
        fleet.start()
        while fleet.ready() < 100:
            await asyncio.sleep(0.01)
        assert directory.whole == 100
        await fleet.load(2.0)
        while any(dispatcher._requests for dispatcher in fleet.dispatchers):
            await asyncio.sleep(0.01)
        assert fleet.asked > 700 and fleet.served > 0.8 * fleet.asked
        assert fleet.served <= sum(SimulatedConnectionPool.load.values()) == len(fleet.sent)
        assert counts.calls > 0 and sum(units for _, _, units in fleet.sent) <= sum(
            fleet.units_asked.values()
        )
        assert fleet.added.count() == fleet.served
        directory.change([msgspec.structs.replace(i, lifecycle="draining") for i in listed(60)[:30]])
        while any(
            sum(dispatcher._hosts._names.values()) > 30 for dispatcher in fleet.dispatchers
        ):  # all watches have told
            await asyncio.sleep(0.01)
        SimulatedConnectionPool.load.clear()
        await fleet.load(0.5)
        assert SimulatedConnectionPool.load and not {f"s-{i:06x}" for i in range(30)} & set(
            SimulatedConnectionPool.load
        )
        fleet.stop()

    run_scenario(scenario)


def test_quotas_are_reckoned_against_the_true_store() -> None:
    sent = [(0.0, 1, 3.0), (0.1, 1, 2.0), (0.2, 2, 1.0), (10.0, 1, 4.0)]
    inside, beyond, allowed = reckon(sent, {1: 9.0, 2: 1.0, 3: 100.0}, refill=1.0, burst=4.0, seconds=10.0)
    assert (inside, beyond) == (8.0, 2.0)  # 3 of 4 used, 1.1 left for 2; full again after 10 s
    assert allowed == 9.0 + 1.0 + 14.0


def test_a_line_is_fitted_with_what_it_leaves_over() -> None:
    intercept, slope, spread = line([1, 2, 3, 4], [3.0, 5.0, 7.0, 9.0])
    assert (intercept, slope, spread) == pytest.approx((1.0, 2.0, 0.0), abs=1e-9)
    rng = random.Random(1)
    xs = list(range(200))
    _, slope, spread = line(xs, [x + rng.gauss(0, 3) for x in xs])
    assert abs(slope - 1) < 0.02 and 2.5 < spread < 3.5
    with pytest.raises(ValueError, match="three sizes"):
        line([1, 2], [1, 2])


def test_a_run_needs_three_sizes_and_a_bound_on_memory() -> None:
    plan = Plan(gateways=670, hosts=11_000)
    assert len(plan.sizes()) == 3 and plan.sizes()[-1] == 11_000
    assert memory_needed_mb(Plan(gateways=2000, hosts=50_000)) > 50_000


def command(*arguments: str, **more: object) -> subprocess.CompletedProcess:
    return subprocess.run(
        [sys.executable, "-m", "testbed", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
        check=False,
        **more,
    )


@pytest.mark.parametrize(
    "arguments",
    [
        ["scale"],
        ["scale", "--gateways", "0"],
        ["scale", "--gateways", "many"],
        ["scale", "--quick", "--nonsense"],
        ["scale", "--quick", "--json", "/nowhere/at/all.json"],
        ["nonsense"],
        ["scale", "--gateways", "2000", "--hosts", "50000"],
    ],
)
def test_bad_arguments_end_with_status_2_and_one_plain_line(arguments: list[str]) -> None:
    done = command(*arguments)
    assert done.returncode == 2 and not done.stdout
    assert len(done.stderr.splitlines()) == 1 and done.stderr.startswith("testbed: ")


def children_of(pid: int) -> list[int]:
    return [int(p) for path in Path(f"/proc/{pid}/task").glob("*/children") for p in path.read_text().split()]


def test_a_small_run_reports_every_role_and_leaves_no_process(tmp_path: Path) -> None:
    path = tmp_path / "report.json"
    done = command(
        "scale",
        "--gateways",
        "12",
        "--real",
        "1",
        "--hosts",
        "90",
        "--customers",
        "40",
        "--seconds",
        "1",
        "--rate",
        "20",
        "--real-rate",
        "40",
        "--json",
        str(path),
    )
    assert done.returncode == 0, done.stderr
    report = msgspec.json.decode(path.read_bytes(), type=Report)
    assert [size.hosts for size in report.sizes] == [10, 30, 90]
    for size in report.sizes:
        by_role = {role.role: role for role in size.roles}
        assert set(by_role) == {"hollow gateway", "real gateway", "discovery", "counter"}
        for name in ("hollow gateway", "real gateway"):
            role = by_role[name]
            assert role.served > 0 and role.memory_mb > 0 and role.cpu_us_per_idle_s > 0
            assert role.added_ms.p50 <= role.added_ms.p99 <= role.added_ms.p999
        assert by_role["counter"].messages_per_s > 0 and by_role["discovery"].messages_per_s > 0
        assert size.change.hosts_replaced >= 1 and 0 < size.change.told_s < 4 and size.change.bytes_each > 100
        assert by_role["real gateway"].connections >= 1 and size.start_bytes_each > size.whole_list_bytes
        assert size.load_max_over_mean >= 1 and size.whole_list_bytes > 100 * size.hosts
    assert {fit.figure for fit in report.fits} >= {"hollow gateway: cpu_us_per_request", "whole list"}
    assert all(fit.extrapolated for fit in report.fits)
    assert report.quotas is not None and 0.3 < report.quotas.calls_turned_away < 0.9
    assert "extrapolated" in done.stdout


def test_ctrl_c_ends_every_child() -> None:
    run = subprocess.Popen(
        [sys.executable, "-m", "testbed", "scale", "--gateways", "4", "--hosts", "36", "--seconds", "60"],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    while len(started := children_of(run.pid)) < 3:
        assert run.poll() is None
    run.send_signal(signal.SIGINT)
    _, said = run.communicate(timeout=30)
    assert run.returncode == 130 and "all processes are ended" in said
    for pid in started:
        with contextlib.suppress(ProcessLookupError):
            os.kill(pid, 0)
            assert "testbed" not in Path(f"/proc/{pid}/cmdline").read_text()


def test_a_child_that_fails_is_told_and_the_rest_ended() -> None:
    async def scenario() -> None:
        async with Children(5) as children:
            with pytest.raises(ChildError, match="counter: ended: "):
                await children.start("counter", {"role": "counter"})  # a figure is missing
            fine = await children.start("counter", {"role": "counter", "calls_per_s": 10.0})
            pid = fine.process.pid
        assert not Path(f"/proc/{pid}").exists() and not children.all

    run_scenario(scenario)
