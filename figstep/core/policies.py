"""Routing policies as data; ``routing`` and ``admission`` match on them."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RoundRobin:
    """Each target in turn, whatever it carries."""


@dataclass(frozen=True, slots=True)
class LeastInFlight:
    """The target with the fewest attempts of this entry."""


@dataclass(frozen=True, slots=True)
class TwoChoices:
    """The less loaded of two random targets, by their last reports."""


@dataclass(frozen=True, slots=True)
class Figstep:
    """Predicted memory and pace decide; what can't start waits here.

    Attributes:
        memory: Whether predicted memory bounds what a target is given.
        growth: Share of the expected remaining tokens that is counted; running
            generations don't all reach their end at the same time.
        deviations: Reserve, in standard deviations of the remaining tokens.
        others: Whether the work of other entries is counted.
        reported_queue: Whether a target that reports a queue is given nothing.
        limit: Whether observed gaps bound what a target is given.
        gap_goal: Gap between tokens above which a target is given less, in ms.
        pace: Whether targets are compared by predicted time, not by count.
        affinity: Whether a cached prefix counts in a target's favour.
        fair: Whether customers take turns in the queue.
        shortest_first: Whether a customer's shortest expected goes first.
        engine_priority: Whether engines are told who gives way first.
        refuse_early: Whether what can't start in time is refused on arrival.
        choices: Most targets compared for a request.
    """

    memory: bool = True
    growth: float = 0.2
    deviations: float = 0.1
    others: bool = True
    reported_queue: bool = False
    limit: bool = True
    gap_goal: float = 60.0
    pace: bool = True
    affinity: bool = False
    fair: bool = True
    shortest_first: bool = True
    engine_priority: bool = True
    refuse_early: bool = True
    choices: int = 12


Policy = RoundRobin | LeastInFlight | TwoChoices | Figstep

POLICIES: dict[str, Policy] = {
    "round_robin": RoundRobin(),
    "least_in_flight": LeastInFlight(),
    "two_choices": TwoChoices(),
    "figstep": Figstep(),
}


def find_policy(name: str) -> Policy:
    """Return the policy that the rules name."""
    return POLICIES[name]
