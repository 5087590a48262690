"""A restarted process is ready within 10 s in nine of ten cases, whatever discovery responds."""

from __future__ import annotations

import time
from pathlib import Path

import pytest
from support.http_fakes import request_bytes, response_bytes
from support.program import RunningProgram, run_scenario

# Half of the 10 s, since each start takes longer on a machine that starts many processes at the same time.
MAX_STARTUP_S = 5.0
RESPONSES = {"silent": None, "refused": None, "rejected": response_bytes(b"", 503), "reset": b""}


@pytest.mark.parametrize("polled", [False, True])
@pytest.mark.parametrize("discovery", RESPONSES)
def test_restarted_process_is_ready_soon_without_discovery(
    tmp_path: Path, polled: bool, discovery: str
) -> None:
    """Without discovery, the process uses the endpoint list of its configuration and must not wait longer.

    The time is measured from the start of the process until its readiness check succeeds.
    """

    async def scenario() -> None:
        async with RunningProgram(
            tmp_path, lambda request: response_bytes(b"served"), discovery_by_polling=polled, fleet_size=200
        ) as program:
            program.cached_list = {"generation": 1, "reset": True, "instances": program.discovery.instances}
            program.process.kill()
            await program.process.wait()
            if discovery == "refused":
                program.discovery.server.stop()
            program.discovery.server.respond = lambda request: RESPONSES[discovery]
            started = time.monotonic()
            await program.launch()  # returns once it is ready
            assert time.monotonic() - started < MAX_STARTUP_S
            assert await program.request_status(request_bytes(x_request_id=b"restarted")) == 200

    run_scenario(scenario, 30)
