"""Tests of the testbed's scale experiment, its quota accounting and its command line."""

from __future__ import annotations

import contextlib
import json
import os
import random
import signal
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest
from support.http_fakes import ROOT
from support.program import run_scenario

from testbed.errors import ProcessError
from testbed.linear_fit import fit_line
from testbed.messages import CounterConfig
from testbed.process import ProcessGroup, ProcessRole
from testbed.quota_accounting import ForwardedRequest, account_quotas
from testbed.scale.plan import Plan
from testbed.scale.report import Report, Role

PUBLISHED_REPORT_PATH = ROOT / "docs" / "scale-300x11000.json"


def test_account_quotas_matches_exact_token_buckets() -> None:
    """Guards against wrong refill: tokens gained between two requests, or beyond the bucket's capacity."""
    forwarded = [
        ForwardedRequest(0.0, 1, 3.0),
        ForwardedRequest(0.1, 1, 2.0),
        ForwardedRequest(0.2, 2, 1.0),
        ForwardedRequest(10.0, 1, 4.0),
    ]
    usage = account_quotas(
        forwarded, {1: 9.0, 2: 1.0, 3: 100.0}, refill_units_per_s=1.0, burst=4.0, seconds=10.0
    )
    # Tenant 1 takes 3 of 4 units, so its request of 2 finds 1.1 units. At 10 s, the bucket is full again.
    assert (usage.units_within_quota, usage.units_over_quota) == (8.0, 2.0)
    assert usage.units_allowed == 9.0 + 1.0 + 14.0


def test_fit_line_returns_slope_intercept_and_residual_deviation() -> None:
    """Guards against a wrong slope or deviation in reports, and against a line through only two points."""
    line = fit_line([1, 2, 3, 4], [3.0, 5.0, 7.0, 9.0])
    assert (line.intercept, line.slope, line.residual_deviation) == pytest.approx((1.0, 2.0, 0.0), abs=1e-9)
    rng = random.Random(1)
    xs = list(range(200))
    line = fit_line(xs, [x + rng.gauss(0, 3) for x in xs])
    assert abs(line.slope - 1) < 0.02 and 2.5 < line.residual_deviation < 3.5
    with pytest.raises(ValueError, match="three points"):
        fit_line([1, 2], [1, 2])


def test_plan_has_three_list_sizes_and_estimates_memory() -> None:
    """Guards against too few sizes for a fit, and against experiments that exhaust the machine's memory."""
    plan = Plan(simulated_gateways=670, endpoints=11_000)
    assert len(plan.endpoint_counts()) == 3 and plan.endpoint_counts()[-1] == 11_000
    assert Plan(simulated_gateways=2000, endpoints=50_000).estimated_memory_mb() > 50_000


def run_testbed(*arguments: str) -> subprocess.CompletedProcess:
    return subprocess.run(
        [sys.executable, "-m", "testbed", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
        check=False,
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
def test_bad_arguments_exit_with_status_2_and_a_one_line_error(arguments: list[str]) -> None:
    """Guards against a traceback, or the start of an experiment, when the arguments are invalid."""
    result = run_testbed(*arguments)
    assert result.returncode == 2 and not result.stdout
    assert len(result.stderr.splitlines()) == 1 and result.stderr.startswith("testbed: ")


@pytest.fixture(scope="module")
def small_experiment(tmp_path_factory: pytest.TempPathFactory) -> tuple[bytes, str]:
    """Run a small experiment, and return the content of its report file and its standard output."""
    path = tmp_path_factory.mktemp("scale") / "report.json"
    options = {
        "--gateways": "12",
        "--real": "1",
        "--hosts": "90",
        "--customers": "40",
        "--seconds": "1",
        "--rate": "20",
        "--real-rate": "40",
        "--json": str(path),
    }
    result = run_testbed("scale", *(word for option in options.items() for word in option))
    assert result.returncode == 0, result.stderr
    return path.read_bytes(), result.stdout


def test_small_experiment_reports_every_role(small_experiment: tuple[bytes, str]) -> None:
    """Guards against a report without the figures of a role or a size, and against implausible figures."""
    encoded_report, output = small_experiment
    report = msgspec.json.decode(encoded_report, type=Report)
    assert [size.endpoints for size in report.sizes] == [10, 30, 90]
    for size in report.sizes:
        by_role = {figures.role: figures for figures in size.roles}
        assert set(by_role) == set(Role)
        for role in (Role.SIMULATED_GATEWAY, Role.REAL_GATEWAY):
            figures = by_role[role]
            assert figures.served > 0 and figures.memory_mb > 0 and figures.cpu_us_per_idle_s > 0
            assert figures.added_ms.p50 <= figures.added_ms.p99 <= figures.added_ms.p999
        assert by_role[Role.COUNTER].requests_per_s > 0 and by_role[Role.DISCOVERY].requests_per_s > 0
        replacement = size.replacement
        assert replacement.endpoints_replaced >= 1 and 0 < replacement.propagation_s < 4
        assert replacement.bytes_per_gateway > 100
        assert by_role[Role.REAL_GATEWAY].connections >= 1
        assert size.start_bytes_per_gateway > size.full_list_bytes
        assert size.max_over_mean_load >= 1 and size.full_list_bytes > 100 * size.endpoints
    assert {fit.figure for fit in report.fits} >= {"hollow gateway: cpu_us_per_request", "whole list"}
    assert all(fit.extrapolated for fit in report.fits)
    assert 0.3 < report.quotas.rejected_fraction < 0.9
    assert "extrapolated" in output


def nested_keys(value: object) -> object:
    """Return the keys of nested objects in their order, and for a list the keys of its first entry."""
    if isinstance(value, dict):
        return [(key, nested_keys(entry)) for key, entry in value.items()]
    if isinstance(value, list) and value:
        return [nested_keys(value[0])]
    return None


def figure_names(report: dict) -> list[str]:
    roles = [figures["role"] for figures in report["sizes"][0]["roles"]]
    return roles + [fit["figure"] for fit in report["fits"]]


def test_report_has_the_keys_and_figure_names_of_the_published_one(
    small_experiment: tuple[bytes, str],
) -> None:
    """Guards against a renamed key or figure: new reports could not be compared with the published one."""
    report = json.loads(small_experiment[0])
    published = json.loads(PUBLISHED_REPORT_PATH.read_text())
    assert nested_keys(report) == nested_keys(published)
    assert figure_names(report) == figure_names(published)


def child_pids(pid: int) -> list[int]:
    return [int(p) for path in Path(f"/proc/{pid}/task").glob("*/children") for p in path.read_text().split()]


def test_ctrl_c_ends_every_process() -> None:
    """Guards against worker processes that continue to run after the experiment is interrupted."""
    experiment_process = subprocess.Popen(
        [sys.executable, "-m", "testbed", "scale", "--gateways", "4", "--hosts", "36", "--seconds", "60"],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    while len(started_pids := child_pids(experiment_process.pid)) < 3:
        assert experiment_process.poll() is None
    experiment_process.send_signal(signal.SIGINT)
    _, errors = experiment_process.communicate(timeout=30)
    assert experiment_process.returncode == 130 and "all processes are ended" in errors
    for pid in started_pids:
        with contextlib.suppress(ProcessLookupError):
            os.kill(pid, 0)
            assert "testbed" not in Path(f"/proc/{pid}/cmdline").read_text()


def test_process_group_reports_a_failed_worker_and_ends_the_others() -> None:
    """Guards against waiting for a worker that has failed to start, and against workers left running."""

    async def scenario() -> None:
        async with ProcessGroup(5) as group:
            with pytest.raises(ProcessError, match="counter: process ended: "):
                await group.start_worker(ProcessRole.COUNTER, CounterConfig(calls_per_s=None))
            running, _ = await group.start_worker(ProcessRole.COUNTER, CounterConfig(calls_per_s=10.0))
            pid = running.pid
        assert not Path(f"/proc/{pid}").exists() and not group.processes

    run_scenario(scenario)
