"""Exceptions of figstep; messages for operators say how to resolve the problem."""

from figstep.core.problems import Problem


class FigstepError(Exception):
    """Base class of all exceptions that figstep raises deliberately."""


class SettingsError(FigstepError):
    """The settings file cannot be read or is not valid."""


class ListenError(FigstepError):
    """The listener for callers cannot be opened."""


class InventoryError(FigstepError):
    """The inventory document is not valid."""


class LogUnavailableError(FigstepError):
    """The log service gave no valid answer; an append may have taken effect."""


class LogTruncatedError(FigstepError):
    """The requested records were deleted from the log.

    Attributes:
        earliest: Offset of the first record that the log still holds.
    """

    def __init__(self, earliest: int) -> None:
        super().__init__(f"records before {earliest} are gone; read from there")
        self.earliest = earliest


class PublishRefusedError(FigstepError):
    """The configuration rules refuse an edit, or this program cannot check it.

    In the first case the log holds the edit; in the second nothing was appended.
    """


class FrameError(FigstepError):
    """The event stream of a target cannot be parsed."""


class PublishUncertainError(FigstepError):
    """An edit was not found in the log before the deadline; it may appear later."""


class NotInForceError(FigstepError):
    """The edit is accepted, but not yet in force on every required live entry."""


class InstancesUnavailableError(FigstepError):
    """The platform's instance list gave no valid answer."""


class UnknownTargetError(FigstepError):
    """The accepted document has no such target or failure domain."""


class RefusedError(FigstepError):
    """A request is refused before it is dispatched.

    Attributes:
        problem: Problem that the caller gets as the answer.
    """

    def __init__(self, problem: Problem) -> None:
        super().__init__(problem.detail)
        self.problem = problem


class PeerMessageError(FigstepError):
    """A message between entries is malformed or fails authentication."""


class ChangeError(FigstepError):
    """A configuration change cannot be applied to its base document."""
