"""Runs one case: its time limit, its record and its exit status."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable, Mapping, Sequence
from pathlib import Path

from review.support.gateway import DEFAULT_LIMITS, Gateway
from review.support.platform import Counter, Discovery, HttpServer
from review.support.record import Record

RULE_HELD, RULE_BROKEN, COULD_NOT_RUN = 0, 1, 2
TIME_LIMIT_S = 110.0

# Plays a case with the gateway that has started, and returns whether the rule held.
Scenario = Callable[[Gateway, Record], Awaitable[bool]]


def has_trouble() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(
    folder: Path,
    servers: Sequence[HttpServer],
    hosts: Sequence[HttpServer],
    play: Scenario,
    limits: Mapping[str, float] = DEFAULT_LIMITS,
) -> int:
    """Start the stand-ins and one gateway, and play a case.

    Args:
        folder: Folder of the case, where the record is written.
        servers: Stand-ins to start; those that depend on the port of another come after it.
        hosts: Those of them that discovery lists.
        play: The case.
        limits: The `limits` of the gateway's configuration.

    Returns:
        The exit status of the script.
    """
    record = Record(folder / "record.txt")
    record.add("start", trouble=int(has_trouble()))
    try:
        has_held = asyncio.run(_run(servers, hosts, play, record, limits))
    except (Exception, asyncio.CancelledError) as error:  # whatever happens, the case could not run
        traceback.print_exc()
        record.add("could_not_run", error=repr(error))
        record.write()
        return COULD_NOT_RUN
    status = RULE_HELD if has_held else RULE_BROKEN
    record.add("end", exit_status=status)
    record.write()
    return status


async def _run(
    servers: Sequence[HttpServer],
    hosts: Sequence[HttpServer],
    play: Scenario,
    record: Record,
    limits: Mapping[str, float],
) -> bool:
    _cancel_at_signals()
    discovery, counter = Discovery(), Counter()
    started: list[HttpServer] = []
    with tempfile.TemporaryDirectory() as directory:
        gateway = Gateway(Path(directory), discovery, counter, limits)
        try:
            async with asyncio.timeout(TIME_LIMIT_S):
                for server in (counter, *servers):
                    await server.start()
                    started.append(server)
                for index, host in enumerate(hosts):
                    discovery.add(f"s-{index}", host.port)
                await discovery.start()
                started.append(discovery)
                await gateway.start()
                record.add("gateway_ready", port=gateway.port)
                return await play(gateway, record)
        finally:
            await gateway.stop()
            for server in started:
                await server.stop()
            log_path = Path(directory) / "gateway.log"
            if log_path.exists():
                print(log_path.read_text(encoding="utf-8"), file=sys.stderr, end="")


def _cancel_at_signals() -> None:
    """End the case and all its processes if the script is told to end."""
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
