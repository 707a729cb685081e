"""Exception hierarchy; each class has a stable code and an exit code."""

from typing import ClassVar


class SapphirestallError(Exception):
    """Base of all errors of the project.

    Attributes:
        code: Stable identifier for callers, logs and metrics.
        exit_code: Exit code of a process that ends with this error.
        step: Processing step at which the error arose.
        peer: Remote side of that step; empty if there is none.
        detail: Description of the error in one sentence.
    """

    code: ClassVar[str] = "internal"
    exit_code: ClassVar[int] = 1

    def __init__(self, detail: str, *, step: str, peer: str = "") -> None:
        super().__init__(detail)
        self.detail = detail
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        where = f"{self.step} ({self.peer})" if self.peer else self.step
        return f"{self.code} at {where}: {self.detail}"


class UsageError(SapphirestallError):
    """The command-line arguments are invalid."""

    code = "usage"
    exit_code = 2


class SettingsError(SapphirestallError):
    """The settings file contains one or more errors."""

    code = "settings_invalid"
    exit_code = 3


class UnhandledMessageError(SapphirestallError):
    """No handler is registered for a message type."""

    code = "unhandled_message"


class InvalidMessageError(SapphirestallError):
    """A message from another process could not be decoded."""

    code = "invalid_message"


class UnreachableError(SapphirestallError):
    """The remote side could not be reached or did not answer."""

    code = "unreachable"
    exit_code = 4


class RefusedError(SapphirestallError):
    """The remote side refused a command."""

    code = "refused"
    exit_code = 5


class ListenError(SapphirestallError):
    """A listening socket could not be opened."""

    code = "listen_failed"
    exit_code = 6


class UnknownOutcomeError(SapphirestallError):
    """It is unknown whether a command took effect."""

    code = "outcome_unknown"
    exit_code = 7


class WaitTimeoutError(SapphirestallError):
    """The awaited state was not reached within the time limit."""

    code = "wait_ended"
    exit_code = 8


class JobEndedError(SapphirestallError):
    """An awaited job failed or was cancelled."""

    code = "job_ended"
    exit_code = 9
