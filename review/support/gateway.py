"""The gateway as a separate process, started with the command `run` of the deploy file."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import tomllib
from collections.abc import Mapping
from pathlib import Path

from review.support.http import read_message
from review.support.platform import LOOPBACK, Counter, Discovery

ROOT = Path(__file__).resolve().parents[2]
START_TIMEOUT_S = 20.0

DEFAULT_LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}

CLASSES = [
    {
        "name": "menu-read",
        "objective_ms": 3000.0,
        "deadline_ms": 10000.0,
        "worth": 1.0,
        "late_worth": 0.2,
        "effect": "safe",
        "key_scope": "all",
        "window_ms": 5000.0,
        "stream": False,
    },
    {
        "name": "order-place",
        "objective_ms": 800.0,
        "deadline_ms": 2500.0,
        "worth": 3.0,
        "late_worth": 0.2,
        "effect": "unsafe",
        "key_scope": "all",
        "window_ms": 5000.0,
        "stream": False,
    },
]
# Quotas far above what the clients of the cases use, so that no request is beyond its quota.
PLANS = [{"name": "stredni", "refill": 1000.0, "burst": 2000.0, "worth_factor": 1.2, "over_worth": 0.2}]


def settings() -> dict[str, object]:
    """Return the settings of one gateway alone, with the figures of the site brno-kuchyne."""
    return {
        "grades": CLASSES,
        "packages": PLANS,
        "fleet_size": 1,
        "me": 0,
        "zone": "hall-a",
        "zones": ["hall-a", "hall-b", "hall-c"],
        "tick_ms": 2.0,
        "membership_mode": "pushed",
        "bounds": {
            "try_limit": 3,
            "cancel": True,
            "second_copies": False,
            "retry_after": True,
            "max_retry_after_ms": 500.0,
            "dial_timeout_ms": 250.0,
            "conn_idle_ms": 30000.0,
            "streams_per_conn": 1,
        },
        "family_info": {"may_count": True, "count_wait_ms": 80.0, "trued_up": False, "most_units": 6},
        "rules": {
            "answer_slack_ms": 50.0,
            "stop_sending_within_ms": 250.0,
            "cold_from": 0.19,
            "cold_ms": 18000.0,
            "fall_multiple": 4.0,
            "tip_after_ms": 3000.0,
        },
    }


class Gateway:
    """One gateway process.

    Args:
        directory: Folder for its configuration file and its log.
        discovery: Its discovery agent, which starts before it.
        counter: Its counter, which starts before it.
        limits: The `limits` of its configuration.

    Attributes:
        port: The port on which it listens for clients.
        process: The process.
    """

    def __init__(
        self, directory: Path, discovery: Discovery, counter: Counter, limits: Mapping[str, float]
    ) -> None:
        self._directory = directory
        self._limits = limits
        self._discovery = discovery
        self._counter = counter
        self.port = 0
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process, and wait until `GET /ready` is answered with 200.

        Raises:
            RuntimeError: The process did not become ready.
        """
        path = self._directory / "gateway.json"
        configuration = {
            "name": "n0",
            "listen": f"{LOOPBACK}:0",
            "discovery": self._discovery.address,
            "counter": self._counter.address,
            "seed": "8c1f30d27a5be964",
            "limits": dict(self._limits),
            "known": self._discovery.whole_list(),
            "settings": settings(),
        }
        path.write_text(json.dumps(configuration), encoding="utf-8")
        environment = {**os.environ, "ROUTER_CONFIG": str(path)}
        environment.pop("PYTHONPATH", None)  # that of the case
        log_path = self._directory / "gateway.log"
        with log_path.open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                _run_command(),
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                self.port = await self._listening_port(log_path)
                while await self._ready_status() != 200:
                    await asyncio.sleep(0.02)
        except (TimeoutError, OSError) as error:
            raise RuntimeError("the gateway did not become ready") from error

    async def _listening_port(self, log_path: Path) -> int:
        while True:
            for line in log_path.read_text(encoding="utf-8").splitlines():
                if "listening on" in line:
                    return int(line.rsplit(":", 1)[1])
            await asyncio.sleep(0.02)

    async def _ready_status(self) -> int:
        reader, writer = await asyncio.open_connection(LOOPBACK, self.port)
        writer.write(b"GET /ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n")
        try:
            return (await read_message(reader)).status
        except asyncio.IncompleteReadError:
            return 0
        finally:
            writer.close()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def memory_mb(self) -> float:
        """Return the private memory of the process in MB, without that of mapped files; 0 if it has ended."""
        assert self.process is not None
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text(encoding="utf-8")
        except OSError:
            return 0.0
        for line in status.splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) / 1024
        return 0.0

    async def stop(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


def _run_command() -> str:
    with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
        return str(tomllib.load(file)["run"])
