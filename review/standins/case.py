"""Runs one case: the stand-ins, the gateways, the check and the exit status."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable, Sequence
from contextlib import suppress
from pathlib import Path

from review.standins.counter import Counter
from review.standins.discovery import Discovery, instance
from review.standins.gateway import Gateway
from review.standins.host import Host
from review.standins.record import Record

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
TIME_LIMIT_S = 110.0


class CouldNotRunError(Exception):
    """The case did not come to test its rule."""


class Case:
    """The parties of one case.

    Attributes:
        trouble: Whether the disruption takes place.
        record: The record of the run.
        hosts: The hosts.
        gateways: The gateways.
        breaks: Each break of the rule that was seen.
    """

    def __init__(self, record_path: Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(record_path)
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

    def require(self, condition: bool, text: str) -> None:
        """Check that the case has tested what it is about.

        Raises:
            CouldNotRunError: It has not.
        """
        if not condition:
            raise CouldNotRunError(text)

    async def stop(self) -> None:
        """End all processes, then the stand-ins."""
        for gateway in self.gateways:
            gateway.kill()
        for gateway in self.gateways:
            for line in gateway.log_lines()[:200]:
                self.record.write(gateway.name, f"log: {line}")
            gateway.remove_files()
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


def main(record_path: Path, body: Callable[[Case], Awaitable[None]]) -> None:
    """Run a case and exit with 0 (held), 1 (broken) or 2 (could not run).

    Args:
        record_path: The file that the record is written to.
        body: Plays the case and notes the breaks.
    """
    status = COULD_NOT_RUN
    try:
        case = Case(record_path)
        status = asyncio.run(_run(case, body))
        case.record.write("case", f"exit {status}")
        case.record.close()
        _print_result(case, status)
    except Exception:  # whatever happens, only a break that was seen may exit with 1
        traceback.print_exc()
    sys.exit(status)


def _print_result(case: Case, status: int) -> None:
    texts = {HELD: "held", BROKEN: f"broken: {len(case.breaks)}", COULD_NOT_RUN: "could not run"}
    with suppress(BrokenPipeError):
        print(*case.breaks[:5], texts[status], sep="\n", flush=True)
