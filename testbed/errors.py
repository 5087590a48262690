"""Errors that end an experiment."""

from __future__ import annotations


class ExperimentError(Exception):
    """Base class of all errors that end an experiment."""


class ProcessError(ExperimentError):
    """A process of the experiment ended or did not reply in time.

    Attributes:
        role: Role of the process, a value of `ProcessRole`.
        cause: Description of the failure.
    """

    def __init__(self, role: str, cause: str) -> None:
        super().__init__(f"{role}: {cause}")
        self.role, self.cause = role, cause


class ProcessLimitError(ExperimentError):
    """The experiment needs more processes than its limit."""

    def __init__(self, limit: int) -> None:
        super().__init__(f"the experiment needs more than {limit} processes")


class ExperimentTimeoutError(ExperimentError):
    """The fleet was not ready, or did not receive a change of the endpoint list, in time."""


class NoRequestServedError(ExperimentError):
    """No request of the load was served, so there are no figures to report."""

    def __init__(self) -> None:
        super().__init__("no request of the load was served, so there are no figures to report")


class UnsupportedCommandError(ExperimentError):
    """A worker received a command that it does not support."""

    def __init__(self, command: str) -> None:
        super().__init__(f"the worker does not support the command {command}")
