"""Runs one case: the stand-ins, the gateways, the check and the exit status."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path

from review.standins.counter import Counter
from review.standins.discovery import Discovery, instance
from review.standins.gateway import Gateway
from review.standins.host import Host
from review.standins.record import Record

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
TIME_LIMIT_S = 110.0


class Case:
    """The parties of one case.

    Attributes:
        trouble: Whether the disruption takes place.
        record: The record of the run.
        hosts: The hosts.
        gateways: The gateways.
        breaks: Each break of the rule that was seen.
    """

    def __init__(self, folder: Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(folder / "record.txt")
        self.hosts: list[Host] = []
        self.gateways: list[Gateway] = []
        self.breaks: list[str] = []
        self.discovery: Discovery | None = None
        self.counter: Counter | None = None

    async def start_hosts(self, count: int, service_s: float = 0.02, one_way_s: float = 0.0) -> None:
        """Start hosts and a discovery agent that lists them."""
        await self.add_hosts([Host(f"s-{i}", self.record, service_s, one_way_s) for i in range(count)])

    async def add_hosts(self, hosts: Sequence[Host]) -> None:
        """Start these hosts and a discovery agent that lists them."""
        self.hosts = list(hosts)
        for host in self.hosts:
            await host.start()
        self.discovery = Discovery([instance(host.name, host.port) for host in self.hosts])
        await self.discovery.start()

    async def start_gateway(self, values: dict[str, object]) -> Gateway:
        """Start a gateway with these settings, and wait until it is ready."""
        assert self.discovery is not None
        gateway = Gateway(f"g{len(self.gateways)}")
        self.gateways.append(gateway)
        counter_port = self.counter.port if self.counter is not None else None
        gateway.configure(self.discovery.port, self.discovery.known(), values, counter_port)
        gateway.start()
        await gateway.wait_until_ready()
        return gateway

    def broken(self, text: str) -> None:
        """Note a break of the rule."""
        self.breaks.append(text)
        self.record.write("check", f"BROKEN {text}")

    async def stop(self) -> None:
        """End all processes and stand-ins."""
        for gateway in self.gateways:
            if gateway.log_path.exists():
                for line in gateway.log_path.read_text(encoding="utf-8", errors="replace").splitlines()[:200]:
                    self.record.write(gateway.name, f"log: {line}")
            gateway.stop()
        for host in self.hosts:
            await host.stop()
        if self.discovery is not None:
            await self.discovery.stop()
        if self.counter is not None:
            await self.counter.stop()
        await asyncio.sleep(0.05)


async def _run(case: Case, body: Callable[[Case], Awaitable[None]]) -> int:
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    try:
        await asyncio.wait_for(body(case), TIME_LIMIT_S)
    except (Exception, asyncio.CancelledError):
        case.record.write("case", traceback.format_exc())
        traceback.print_exc()
        return COULD_NOT_RUN
    finally:
        await case.stop()
    return BROKEN if case.breaks else HELD


def main(file: str, body: Callable[[Case], Awaitable[None]]) -> None:
    """Run a case and exit with 0 (held), 1 (broken) or 2 (could not run).

    Args:
        file: The file of the case; its record is written beside it.
        body: Plays the case and notes the breaks.
    """
    case = Case(Path(file).resolve().parent)
    status = asyncio.run(_run(case, body))
    for text in case.breaks[:5]:
        print(text)
    print({HELD: "held", BROKEN: f"broken: {len(case.breaks)}", COULD_NOT_RUN: "could not run"}[status])
    case.record.write("case", f"exit {status}")
    case.record.close()
    sys.exit(status)
