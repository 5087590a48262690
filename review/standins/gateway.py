"""Starts gateways with the command of the deploy file."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from contextlib import suppress
from pathlib import Path

from review.standins.http1 import read_message

ROOT = Path(__file__).resolve().parents[2]
READY_TIMEOUT_S = 30.0
MEMORY_MB = 192
DESCRIPTORS = 1024


def free_port() -> int:
    """Return a port of 127.0.0.1 that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def settings(me: int = 0, fleet_size: int = 1) -> dict[str, object]:
    """Return the settings of a small deployment, with the figures of the users' pages."""
    return {
        "me": me,
        "fleet_size": fleet_size,
        "zone": "hall-a",
        "zones": ["hall-a", "hall-b", "hall-c"],
        "kinds": ["std-3core"],
        "tiers": ["order-servers"],
        "layer": 0,
        "domain_type": "gate",
        "membership_mode": "pushed",
        "weights": "nominal",
        "tick_ms": 2.0,
        "report": {"how": "off", "names": []},
        "clients": {"marks_retry": False},
        "grades": [
            {
                "name": "menu-read",
                "objective_ms": 3000.0,
                "deadline_ms": 10000.0,
                "effect": "safe",
                "key_scope": "all",
                "window_ms": 5000.0,
                "worth": 1.0,
                "late_worth": 0.2,
                "stream": False,
            },
            {
                "name": "order-place",
                "objective_ms": 800.0,
                "deadline_ms": 2500.0,
                "effect": "unsafe",
                "key_scope": "all",
                "window_ms": 5000.0,
                "worth": 3.0,
                "late_worth": 0.2,
                "stream": False,
            },
        ],
        "packages": [
            {"name": "zakladni", "refill": 0.0, "burst": 0.0, "worth_factor": 0.88},
            {
                "name": "velky",
                "refill": 0.0,
                "burst": 0.0,
                "worth_factor": 1.8,
                "ceiling_rate": 40.0,
                "hard_burst": 93.0,
                "tolerance": 9.0,
            },
        ],
        "bounds": {
            "cancel": True,
            "conn_idle_ms": 30000.0,
            "dial_timeout_ms": 250.0,
            "try_limit": 3,
            "open_cap": 20000,
            "retry_after": True,
            "max_retry_after_ms": 500.0,
            "second_copies": False,
            "probing": False,
            "peers": False,
            "streams_per_conn": 1,
        },
        "family_info": {"may_count": False, "count_wait_ms": 80.0, "most_units": 6, "trued_up": True},
        "rules": {
            "answer_slack_ms": 58.0,
            "cold_from": 0.19,
            "cold_ms": 18000.0,
            "fall_multiple": 4.0,
            "must_ask_in_ms": 10000.0,
            "stop_sending_within_ms": 250.0,
            "tip_after_ms": 3000.0,
        },
    }


class Gateway:
    """One gateway process.

    Attributes:
        port: Port for clients.
        process: The program that `run` has started.
    """

    def __init__(self, name: str = "g0") -> None:
        self.name = name
        self.port = free_port()
        self.process: subprocess.Popen[bytes] | None = None
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.log_path = Path(self._folder.name) / "log"

    def configure(
        self,
        discovery_port: int,
        known: dict[str, object] | None,
        values: dict[str, object],
        counter_port: int | None = None,
    ) -> None:
        """Write the configuration file."""
        configuration: dict[str, object] = {
            "name": self.name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{discovery_port}",
            "seed": f"{time.time_ns():x}",
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": DESCRIPTORS},
            "settings": values,
        }
        if known is not None:
            configuration["known"] = known
        if counter_port is not None:
            configuration["counter"] = f"127.0.0.1:{counter_port}"
        (Path(self._folder.name) / "config.json").write_text(json.dumps(configuration), encoding="utf-8")

    def start(self) -> None:
        """Start the program with `run`, as the deploy page says."""
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            command = tomllib.load(file)["run"]
        temporary = Path(self._folder.name) / "tmp"
        temporary.mkdir(exist_ok=True)
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "ROUTER_CONFIG": str(Path(self._folder.name) / "config.json"),
            "TMPDIR": str(temporary),
        }
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def wait_until_ready(self) -> None:
        """Wait for the first 200 to `GET /ready`.

        Raises:
            TimeoutError: It did not come in time.
        """
        ends_at = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < ends_at:
            with suppress(OSError, EOFError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n")
                status = (await read_message(reader)).status
                writer.close()
                if status == 200:
                    return
            await asyncio.sleep(0.05)
        raise TimeoutError("the gateway is not ready")

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the program."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the program if it still runs."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()

    def log_lines(self) -> list[str]:
        """Return the lines that the program has written."""
        if not self.log_path.exists():
            return []
        return self.log_path.read_text(encoding="utf-8", errors="replace").splitlines()

    def remove_files(self) -> None:
        """Remove the files of the gateway."""
        self._folder.cleanup()
