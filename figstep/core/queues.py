"""Order in which queued requests are tried."""

from figstep.core.specs import RequestSpec


class RequestQueue:
    """Queued request ids, first come first served."""

    def __init__(self) -> None:
        self._specs: dict[str, RequestSpec] = {}

    def __len__(self) -> int:
        return len(self._specs)

    def add(self, spec: RequestSpec) -> None:
        """Queue a request."""
        self._specs[spec.request] = spec

    def remove(self, request: str) -> None:
        """Forget a request, queued or not."""
        self._specs.pop(request, None)

    def list_in_order(self) -> list[str]:
        """Return all queued ids, the next to start first."""
        return list(self._specs)
