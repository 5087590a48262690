"""The exceptions of the package, all derived from `GatewayError`."""

from __future__ import annotations


class GatewayError(Exception):
    """Base class of all exceptions that this package defines."""


class ConfigurationError(GatewayError, ValueError):
    """The configuration is invalid; the text names the key or environment variable, and the problem."""


class ListenError(GatewayError, OSError):
    """The gateway cannot listen on the address for clients."""


class SettingError(GatewayError, ValueError):
    """The value of a key in the settings object is invalid. The text is `key: problem`.

    Attributes:
        key: Key as the operator wrote it, such as `grades.0.objective_ms`.
        problem: What is wrong with the value.
    """

    def __init__(self, key: str, problem: str) -> None:
        super().__init__(f"{key}: {problem}")
        self.key = key
        self.problem = problem


class MalformedSettingError(SettingError):
    """The value of a key cannot be parsed as its type, such as a number."""


class InvalidSettingError(SettingError):
    """The value of a key can be parsed but is not allowed.

    Attributes:
        field: Path of the value in `Settings`, such as `classes[read].latency_objective_ms`. For an unknown
            enum value, the path ends with the key that the operator wrote, not with the name of the field,
            such as `classes[read].effect`.
    """

    def __init__(self, key: str, problem: str, field: str) -> None:
        super().__init__(key, problem)
        self.field = field


class MalformedEndpointListError(GatewayError, ValueError):
    """A JSON value is not a valid endpoint list of discovery."""


class MalformedLineError(GatewayError, ValueError):
    """A line of the simulator's input does not follow its format."""
