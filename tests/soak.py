"""Long run of the stateful property tests: ``python -m tests.soak --examples 5000``."""

import argparse
import random

from hypothesis import HealthCheck, seed, settings
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test

from tests.core.test_claims_properties import ClaimsMachine, RevertedClaimsMachine
from tests.core.test_generations_properties import GenerationsMachine

MACHINES: list[type[RuleBasedStateMachine]] = [
    ClaimsMachine,
    RevertedClaimsMachine,
    GenerationsMachine,
]
"""State machines that are run, in order."""


def main() -> None:
    """Run each state machine after printing the seed that reproduces the run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--examples", type=int, default=5_000)
    parser.add_argument("--steps", type=int, default=80)
    parser.add_argument("--seed", type=int, default=None)
    arguments = parser.parse_args()
    number = arguments.seed
    if number is None:
        number = random.SystemRandom().getrandbits(32)
    print(f"seed {number}", flush=True)
    long = settings(
        max_examples=arguments.examples,
        stateful_step_count=arguments.steps,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    for machine in MACHINES:
        run_state_machine_as_test(seed(number)(machine), settings=long)
        print(f"{machine.__name__}: {arguments.examples} examples held", flush=True)


if __name__ == "__main__":
    main()
