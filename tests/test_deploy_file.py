"""The deploy file lists every module of the decisions, and the command that starts the simulator adapter."""

from __future__ import annotations

from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_deploy_file_lists_the_policy_modules_and_the_simulator_command() -> None:
    text = (ROOT / "deploy" / "balancer.toml").read_text()
    modules = (
        "admission",
        "attempt_flow",
        "ceiling",
        "counter_health",
        "endpoints",
        "gateway",
        "latency",
        "load_sampling",
        "occupancy",
        "outlier_detection",
        "pending_requests",
        "quota",
        "random_rounding",
        "rate_limited_log",
        "rejections",
        "request_flow",
        "retry",
        "ring",
        "selection",
        "slow_start",
        "subset",
        "subset_sizing",
        "tenant_counter_calls",
        "tenants",
        "traffic",
        "uptime",
        "usage_reporting",
    )
    paths = "".join(f'    "api_gateway/decisions/{module}.py",\n' for module in modules)
    assert f"policy = [\n{paths}]\n" in text
    assert 'sim = "exec .venv/bin/python -m api_gateway.simulator"' in text
