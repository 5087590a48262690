"""The deploy file has the agreed contents."""

from __future__ import annotations

from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_deploy_file_is_as_agreed() -> None:
    text = (ROOT / "deploy" / "balancer.toml").read_text()
    parts = ", ".join(
        f'"api_gateway/decisions/{part}.py"' for part in ("gateway", "admission", "occupancy", "subset")
    )
    assert f"policy = [{parts}]" in text
    assert 'sim = "exec .venv/bin/python -m api_gateway.simulator"' in text
