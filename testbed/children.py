"""The processes of an experiment: started, asked, measured, and each ended by its id."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
from pathlib import Path
from typing import Any

import msgspec

ROOT = Path(__file__).parent.parent
LONGEST_LINE = 256 * 1024 * 1024
END_S = 3.0  # how long a child may take to end by itself


class ChildError(RuntimeError):
    """A child that ended or did not answer, with the end of what it said."""


class Child:
    """One process; `kind` says whose figures it counts among."""

    def __init__(self, kind: str, process: asyncio.subprocess.Process) -> None:
        self.kind, self.process, self.facts = kind, process, {}
        self._said = b""
        self._listening = asyncio.get_running_loop().create_task(self._listen())

    async def _listen(self) -> None:
        while chunk := await self.process.stderr.read(4096):
            self._said = (self._said + chunk)[-2000:]

    async def ask(self, limit_s: float, **command: Any) -> dict[str, Any]:
        """One command and its answer."""
        self.process.stdin.write(msgspec.json.encode(command) + b"\n")
        return await self.answer(limit_s)

    async def answer(self, limit_s: float) -> dict[str, Any]:
        """The next line of a child."""
        try:
            line = await asyncio.wait_for(self.process.stdout.readline(), limit_s)
        except TimeoutError:
            raise ChildError(f"{self.kind}: no answer in {limit_s:g} s") from None
        if not line:
            said = self._said.decode(errors="replace").strip().splitlines()
            raise ChildError(f"{self.kind}: ended: {said[-1] if said else 'without a word'}")
        return msgspec.json.decode(line)

    def said(self) -> bytes:
        """The end of what it wrote to standard error."""
        return self._said

    def cpu_s(self) -> float:
        """Processor time so far, by the system: of all threads, to the nanosecond."""
        return (
            sum(
                int(path.read_text().split()[0])
                for path in Path(f"/proc/{self.process.pid}/task").glob("*/schedstat")
            )
            / 1e9
        )

    def memory_mb(self) -> float:
        """Resident memory now."""
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0


class Children:
    """All processes of a run. A context: leaving it ends each of them, also after an error or Ctrl-C."""

    def __init__(self, most: int) -> None:
        self._most = most
        self.all: list[Child] = []

    async def __aenter__(self) -> Children:
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self.end(self.all)

    async def start(self, kind: str, config: dict[str, Any], limit_s: float = 60.0) -> Child:
        """A role of the testbed, once it says that it stands."""
        child = await self._spawn(kind, sys.executable, "-m", "testbed.role")
        child.process.stdin.write(msgspec.json.encode(config) + b"\n")
        child.facts = await child.answer(limit_s)
        return child

    async def start_real(self, command: str, config: Path) -> Child:
        """A real gateway by the deploy file's `run`."""
        return await self._spawn("real", "/bin/sh", "-c", command, ROUTER_CONFIG=str(config))

    async def _spawn(self, kind: str, *command: str, **environ: str) -> Child:
        if len(self.all) >= self._most:
            raise ChildError(f"more than {self._most} processes")
        # A session of its own: Ctrl-C on the terminal is ours alone, and we end each child.
        process = await asyncio.create_subprocess_exec(
            *command,
            cwd=ROOT,
            env={**os.environ, **environ},
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            limit=LONGEST_LINE,
            start_new_session=True,
        )
        child = Child(kind, process)
        self.all.append(child)
        return child

    async def end(self, children: list[Child]) -> None:
        """End some by their ids: asked first, made to after a while."""
        for child in children:
            child.process.stdin.close()
            if child.process.returncode is None and child.kind == "real":
                child.process.send_signal(signal.SIGTERM)
        for child in list(children):
            try:
                await asyncio.wait_for(child.process.wait(), END_S)
            except (TimeoutError, asyncio.CancelledError):
                with contextlib.suppress(ProcessLookupError):
                    child.process.kill()
                await child.process.wait()
            child._listening.cancel()
            self.all.remove(child)
