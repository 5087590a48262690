"""The errors of the package, as one tree below `GatewayError`."""

from __future__ import annotations


class GatewayError(Exception):
    """Base of every error that this package defines."""


class ConfigurationError(GatewayError, ValueError):
    """The configuration cannot be used to start a gateway; the text names the key."""


class ListenError(GatewayError, OSError):
    """The address for clients cannot be listened on."""


class SettingError(GatewayError, ValueError):
    """One key of the settings object has a value that cannot be used.

    Attributes:
        key: The key as the operator wrote it, such as `grades.0.objective_ms`.
        problem: What is wrong with its value.
    """

    def __init__(self, key: str, problem: str) -> None:
        super().__init__(f"{key}: {problem}")
        self.key = key
        self.problem = problem


class MalformedSettingError(SettingError):
    """The value of a key does not have the form of its type, such as a number."""


class InvalidSettingError(SettingError):
    """The value of a key is readable but not allowed.

    Attributes:
        field: The entry that the key belongs to in the terms of the model, such as `classes[read].effect`.
    """

    def __init__(self, key: str, problem: str, field: str) -> None:
        super().__init__(key, problem)
        self.field = field


class MalformedEndpointListError(GatewayError, ValueError):
    """A JSON value is not an endpoint list of discovery."""


class MalformedLineError(GatewayError, ValueError):
    """A line does not follow the format of the simulator's wire."""
