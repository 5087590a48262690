"""Starts the processes of an experiment, sends them commands, measures them and ends them by process id."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import os
import signal
import sys
from pathlib import Path
from types import TracebackType
from typing import TypeVar

import msgspec

from testbed.errors import ProcessError, ProcessLimitError
from testbed.messages import Command, Reply, Started, WorkerConfig

PROJECT_ROOT = Path(__file__).parent.parent
MAX_REPLY_LINE_BYTES = 256 * 1024 * 1024  # the result of a load can list every forwarded request
MAX_STDERR_TAIL_BYTES = 2000
START_TIMEOUT_S = 60.0
COMMAND_TIMEOUT_S = 60.0
EXIT_TIMEOUT_S = 3.0  # a process that has not exited by then is killed
NANOSECONDS_PER_S = 1e9

ReplyT = TypeVar("ReplyT", bound=Reply)


class ProcessRole(enum.Enum):
    """What a process runs."""

    DISCOVERY = "discovery"
    COUNTER = "counter"
    ENDPOINTS = "endpoints"
    SIMULATED_GATEWAYS = "simulated gateways"
    REAL_GATEWAY = "real gateway"
    LOAD_GENERATOR = "load generator"


class ChildProcess:
    """A worker process or a real gateway.

    Attributes:
        role: What the process runs.
    """

    def __init__(self, role: ProcessRole, process: asyncio.subprocess.Process) -> None:
        self.role = role
        self._process = process
        self._stderr_tail = b""
        self._stderr_task = asyncio.get_running_loop().create_task(self._read_stderr())

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    @property
    def stderr_tail(self) -> bytes:
        """The last `MAX_STDERR_TAIL_BYTES` bytes that the process wrote to standard error."""
        return self._stderr_tail

    async def execute(
        self, command: Command, reply_type: type[ReplyT], timeout_s: float = COMMAND_TIMEOUT_S
    ) -> ReplyT:
        """Send a command and wait for its reply.

        Args:
            command: The command.
            reply_type: Type of the reply.
            timeout_s: How long to wait, in seconds.

        Returns:
            The reply.

        Raises:
            ProcessError: The process ended or did not reply in time.
        """
        return await self._exchange(command, reply_type, timeout_s)

    async def configure(self, config: WorkerConfig) -> Started:
        """Send a worker its configuration, and wait until the worker is running.

        Raises:
            ProcessError: The process ended or did not reply in time.
        """
        return await self._exchange(config, Started, START_TIMEOUT_S)

    async def _exchange(
        self, message: Command | WorkerConfig, reply_type: type[ReplyT], timeout_s: float
    ) -> ReplyT:
        self._process.stdin.write(msgspec.json.encode(message) + b"\n")
        try:
            line = await asyncio.wait_for(self._process.stdout.readline(), timeout_s)
        except TimeoutError:
            raise ProcessError(self.role.value, f"no reply within {timeout_s:g} s") from None
        if not line:
            raise ProcessError(self.role.value, f"process ended: {self._last_stderr_line()}")
        return msgspec.json.decode(line, type=reply_type)

    def cpu_s(self) -> float:
        """Return the processor time that all running threads have used, in seconds."""
        schedstats = Path(f"/proc/{self.pid}/task").glob("*/schedstat")
        return sum(int(path.read_text().split()[0]) for path in schedstats) / NANOSECONDS_PER_S

    def memory_mb(self) -> float:
        """Return the resident memory, in MiB."""
        for line in Path(f"/proc/{self.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0

    def request_exit(self) -> None:
        """Request the process to exit: close the input of a worker, send SIGTERM to a gateway."""
        self._process.stdin.close()
        if self.role is ProcessRole.REAL_GATEWAY and self._process.returncode is None:
            self._process.send_signal(signal.SIGTERM)

    async def wait_or_kill(self) -> None:
        """Wait until the process exits; kill it after `EXIT_TIMEOUT_S` or when the wait is cancelled."""
        try:
            await asyncio.wait_for(self._process.wait(), EXIT_TIMEOUT_S)
        except (TimeoutError, asyncio.CancelledError):
            with contextlib.suppress(ProcessLookupError):
                self._process.kill()
            await self._process.wait()
        self._stderr_task.cancel()

    async def _read_stderr(self) -> None:
        while chunk := await self._process.stderr.read(4096):
            self._stderr_tail = (self._stderr_tail + chunk)[-MAX_STDERR_TAIL_BYTES:]

    def _last_stderr_line(self) -> str:
        lines = self._stderr_tail.decode(errors="replace").strip().splitlines()
        return lines[-1] if lines else "no output"


class ProcessGroup:
    """Async context manager that ends all its processes on exit, also after an error or Ctrl-C.

    Attributes:
        processes: The processes that were started and not ended yet.
    """

    def __init__(self, max_processes: int) -> None:
        self._max_processes = max_processes
        self.processes: list[ChildProcess] = []

    async def __aenter__(self) -> ProcessGroup:
        """Return the group."""
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """End all processes."""
        for process in self.processes:
            process.request_exit()
        for process in list(self.processes):
            await process.wait_or_kill()
            self.processes.remove(process)

    async def start_worker(self, role: ProcessRole, config: WorkerConfig) -> tuple[ChildProcess, Started]:
        """Start a worker, and wait until it is running.

        Raises:
            ProcessError: The worker ended or did not reply in time.
            ProcessLimitError: The group already has its maximum of processes.
        """
        process = await self._start(role, [sys.executable, "-m", "testbed.worker"], {})
        return process, await process.configure(config)

    async def start_gateway(self, command: str, configuration: Path) -> ChildProcess:
        """Start a real gateway by a shell command, without waiting until it is ready.

        Args:
            command: The shell command.
            configuration: Path of the gateway's configuration file.

        Raises:
            ProcessLimitError: The group already has its maximum of processes.
        """
        return await self._start(
            ProcessRole.REAL_GATEWAY, ["/bin/sh", "-c", command], {"ROUTER_CONFIG": str(configuration)}
        )

    async def _start(
        self, role: ProcessRole, command: list[str], environment: dict[str, str]
    ) -> ChildProcess:
        if len(self.processes) >= self._max_processes:
            raise ProcessLimitError(self._max_processes)
        process = await asyncio.create_subprocess_exec(
            *command,
            cwd=PROJECT_ROOT,
            env={**os.environ, **environment},
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            limit=MAX_REPLY_LINE_BYTES,
            start_new_session=True,  # Ctrl-C on the terminal interrupts only this process
        )
        child = ChildProcess(role, process)
        self.processes.append(child)
        return child
