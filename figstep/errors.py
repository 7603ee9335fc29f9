"""Typed errors; each message names the remedy."""

from figstep.core.problems import Problem


class FigstepError(Exception):
    """Base of every error that figstep raises on purpose."""


class SettingsError(FigstepError):
    """The settings file cannot be used."""


class ListenError(FigstepError):
    """The listener for callers cannot be opened."""


class InventoryError(FigstepError):
    """The inventory document is not valid."""


class LogUnavailableError(FigstepError):
    """The log service gave no answer; what was sent may have taken effect."""


class LogTruncatedError(FigstepError):
    """Records before ``earliest`` are gone."""

    def __init__(self, earliest: int) -> None:
        super().__init__(f"records before {earliest} are gone; read from there")
        self.earliest = earliest


class PublishRefusedError(FigstepError):
    """The log holds the edit, but the fold refused it."""


class FrameError(FigstepError):
    """A target's stream of events cannot be read."""


class PublishUncertainError(FigstepError):
    """The append got no answer and the log could not be read back in time."""


class NotInForceError(FigstepError):
    """The edit is accepted, but not every live entry shows it yet."""


class InstancesUnavailableError(FigstepError):
    """The platform's instance list gave no answer."""


class UnknownTargetError(FigstepError):
    """The accepted document has no such target."""


class RefusedError(FigstepError):
    """A request ends at the border with ``problem`` as its answer."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(problem.detail)
        self.problem = problem


class PeerMessageError(FigstepError):
    """A message between entries is damaged or not authentic."""


class ChangeError(FigstepError):
    """A change of the configuration does not fit the document it was made from."""
