"""Selection of the targets that a request may be sent to, whatever their load."""

from figstep.gateway import versions
from figstep.gateway.routes import Customer, Route, RouteKind, RoutingTable
from figstep.gateway.state import Request, State
from figstep.gateway.targets import Target


def find_allowed_regions(
    route: Route, customer: Customer | None
) -> frozenset[str] | None:
    """Return the regions that a request is bound to; None for any region.

    If both its route and its customer are bound to regions, it may be sent only to
    regions that both allow.
    """
    if customer is None or customer.allowed_regions is None:
        return route.allowed_regions
    if route.allowed_regions is None:
        return customer.allowed_regions
    return route.allowed_regions & customer.allowed_regions


def update_allowed_regions(table: RoutingTable, request: Request) -> None:
    """Bind a waiting or running request to the regions of a newer configuration.

    A request whose route or key is no longer configured keeps its earlier regions.
    """
    spec = request.spec
    route = table.find_route(spec.host, spec.path)
    if route is None:
        return
    customer = None
    if table.customers is not None and not route.public:
        customer = table.customers.get(spec.key or "")
        if customer is None:
            return
    request.allowed_regions = find_allowed_regions(route, customer)


def is_eligible(state: State, request: Request, target: Target) -> bool:
    """Return whether a request, or a copy of its run, may be sent to a target now."""
    return _is_possible(state, request, target) and _may_begin(state, request, target)


def list_eligible(state: State, request: Request) -> list[Target]:
    """Return the targets of a request's service that it may be sent to now."""
    return [
        target
        for target in list_possible(state, request)
        if _may_begin(state, request, target)
    ]


def list_possible(state: State, request: Request) -> list[Target]:
    """Return the targets that it may be sent to once their versions are on record."""
    ready = state.targets.list_ready(request.service)
    if request.allowed_regions is None and request.origin is None:
        return ready
    return [target for target in ready if _is_possible(state, request, target)]


def _is_possible(state: State, request: Request, target: Target) -> bool:
    if not target.accepts_work or not _has_origin_version(request, target):
        return False
    return _is_in_allowed_region(state, request, target)


def _may_begin(state: State, request: Request, target: Target) -> bool:
    """Return whether a request's stream, if it is one, may begin at a target."""
    route = request.route
    if request.origin is not None or not route.resumable:
        return True
    if route.kind is not RouteKind.STREAM:
        return True
    return versions.may_begin(state, request.service, target.info.version)


def reaches_none(state: State, request: Request) -> bool:
    """Return whether this entry reaches none of the targets of a request."""
    if state.find_reach(request.service).cut_off:
        return True
    eligible = list_eligible(state, request)
    return bool(eligible) and all(target.needs_check for target in eligible)


def list_holders(state: State, request: Request, source: str) -> list[Target]:
    """Return the targets that may hold a copy of the run at the target ``source``.

    A copy may be started before the first event, which decides where the stream may go
    on: its holder has the software version of the source.
    """
    running = state.targets.find(source)
    holders = []
    for target in list_eligible(state, request):
        if target.name == source:
            continue
        if running is None or target.info.version == running.info.version:
            holders.append(target)
    return holders


def explain_no_target(state: State, request: Request) -> str:
    """Return the reason code for a request that cannot be placed on any target.

    Returns:
        "version_gone" if no ready target has the software version that began the
        stream, "no_home" if all ready targets are in regions that are not allowed,
        "evacuated" if the only targets are in evacuated failure domains, or else
        "no_room".
    """
    if list_possible(state, request):
        return "no_room"
    ready = state.targets.list_ready(request.service)
    if ready and not any(_has_origin_version(request, target) for target in ready):
        return "version_gone"
    if ready:
        return "no_home"
    if state.targets.has_evacuated(request.service):
        return "evacuated"
    return "no_room"


def _has_origin_version(request: Request, target: Target) -> bool:
    """Return whether a target has the software version that began the stream, if any.

    No target has it if that version is not known.
    """
    return request.origin is None or target.info.version == request.origin.version


def _is_in_allowed_region(state: State, request: Request, target: Target) -> bool:
    if request.allowed_regions is None:
        return True
    # A failure domain of unknown region is in no allowed region.
    region = state.regions.get(target.info.failure_domain)
    return region is not None and region in request.allowed_regions
