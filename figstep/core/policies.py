"""Routing policies as data, matched by the modules ``routing`` and ``admission``."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RoundRobin:
    """Policy that uses each target in turn, whatever its load."""


@dataclass(frozen=True, slots=True)
class LeastInFlight:
    """Policy that uses the target with the fewest attempts of this entry."""


@dataclass(frozen=True, slots=True)
class TwoChoices:
    """Policy that uses the less loaded of two random targets, by their last reports."""


@dataclass(frozen=True, slots=True)
class Figstep:
    """Policy that predicts the memory and speed of the engines.

    Generations that no engine has capacity for are queued at the entry. Plain
    service calls go to the target with the fewest attempts of this entry.

    Attributes:
        memory: Whether predicted memory limits the generations of a target.
        growth: Fraction of the expected remaining tokens that counts as memory; it is
            below 1 as running generations do not all end at the same time.
        deviations: Reserve of memory, in standard deviations of the remaining tokens.
        others: Whether the generations of other entries are counted.
        reported_queue: Whether a target that reports a queue gets no generation,
            unless none is known to run there.
        limit: Whether observed gaps between tokens limit the generations of a target.
        gap_goal: Smoothed gap between tokens above which ``limit`` lowers the number
            of generations of a target, in milliseconds.
        pace: Whether targets are compared by predicted time, instead of by the number
            of running generations.
        affinity: Whether a cached prefix lowers the predicted time of a target.
        fair: Whether customers take turns in the queue by their shares.
        shortest_first: Whether a customer's requests are ordered by expected length
            and waiting time, instead of by arrival.
        engine_priority: Whether engines get priorities by expected length, which
            decide what they preempt first.
        refuse_early: Whether a request that is predicted to start after its deadline
            is refused on arrival.
        choices: Maximum number of targets compared for a request; they are a random
            sample of a larger pool.
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
    """Return the policy of a name, as the rules of the inventory give it.

    Raises:
        KeyError: If there is no policy of this name.
    """
    return POLICIES[name]
