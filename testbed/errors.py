"""Errors that end an experiment."""

from __future__ import annotations


class ExperimentError(Exception):
    """Base of all errors that end an experiment."""


class ProcessError(ExperimentError):
    """A process ended or did not reply.

    Attributes:
        role: The role of the process.
        cause: What went wrong.
    """

    def __init__(self, role: str, cause: str) -> None:
        super().__init__(f"{role}: {cause}")
        self.role, self.cause = role, cause


class ProcessLimitError(ExperimentError):
    """The experiment would run more processes than it may."""

    def __init__(self, limit: int) -> None:
        super().__init__(f"more than {limit} processes")


class ExperimentTimeoutError(ExperimentError):
    """The fleet did not reach a state in time."""


class NoRequestServedError(ExperimentError):
    """No request of the load was served, so that there is nothing to report."""

    def __init__(self) -> None:
        super().__init__("no request was served: there is nothing to report")


class UnsupportedCommandError(ExperimentError):
    """A worker got a command that it does not have."""

    def __init__(self, command: str) -> None:
        super().__init__(f"unsupported command {command}")
