"""Sets of runs: trials, their means over seeds and the tables of results."""

import itertools
from collections.abc import Callable
from dataclasses import asdict, dataclass, field, replace
from typing import Any

from figstep.core.policies import POLICIES, Figstep, Policy
from figstep.experiment.harness import Fault, Run
from figstep.experiment.scenarios import DEPLOYMENTS, SECOND, measure_capacity

BASELINES = ("round_robin", "least_in_flight", "two_choices")
"""Names of the policies that figstep is compared with."""

ABLATIONS = (
    "memory",
    "others",
    "limit",
    "pace",
    "fair",
    "shortest_first",
    "refuse_early",
    "engine_priority",
)
"""Switches of the policy that an ablation turns off, one at a time."""

ADDITIONS = ("affinity", "reported_queue")
"""Switches that are off by default and that an ablation turns on."""

FAULTS = ("", "death", "slow", "silence", "flood")
"""Kinds of faults of ``harness.Fault``; "" for none."""

COLUMNS = {
    "stall_sum_s": "stall s",
    "stall_p99_s": "stall p99 s",
    "spared_stall_p99_s": "spared p99 s",
    "preemptions_per_1000": "preempt/1k",
    "gap_p95_ms": "gap p95",
    "gap_p99_ms": "gap p99",
    "gap_max_ms": "gap max",
    "slowest_gap_p99_ms": "slowest p99",
    "ttft_p95_ms": "ttft p95",
    "refusals": "refusals",
    "late_refusals": "late",
    "lost": "lost",
    "unfinished": "open",
    "tokens_in_time": "tokens",
    "fairness": "fairness",
    "least_share": "least",
}
"""Headings of the columns of the table, by name of the measure."""


@dataclass(frozen=True, slots=True)
class Trial:
    """One row of the table: a policy under one load and fault.

    Attributes:
        load: Requested load as a fraction of the engines' capacity.
        policy: Name of the row: the policy, or "with" or "without" and the switch
            that differs from the policy "figstep".
        fault: Kind of the fault, "" for none.
        entries: Number of entries that share the engines.
        gossip: Time between two exchanges of in-flight counts among the entries,
            in milliseconds; 0 for none.
    """

    deployment: str
    load: float
    policy: str
    fault: str = ""
    entries: int = 1
    gossip: float = 0.0


@dataclass(frozen=True, slots=True)
class Options:
    """Options of an experiment, which runs every combination of them.

    Attributes:
        loads: Requested loads as fractions of the engines' capacity.
        faults: Kinds of faults; "" for none.
        policies: Names of rows, as ``list_policies`` returns them; empty for all.
        seeds: Seeds of the arrivals, the same for every row.
        seconds: Time during which requests arrive, in seconds.
        entries: Number of entries that share the engines.
        gossip: Time between two exchanges of in-flight counts among the entries,
            in milliseconds; 0 for none.
        ablate: Whether the rows are figstep with one switch changed in each.
    """

    deployments: tuple[str, ...] = ("bavaria", "ireland")
    loads: tuple[float, ...] = (0.9,)
    faults: tuple[str, ...] = ("",)
    policies: tuple[str, ...] = ()
    seeds: list[int] = field(default_factory=lambda: [1, 2, 3, 4, 5])
    seconds: float = 300.0
    entries: int = 1
    gossip: float = 0.0
    ablate: bool = False


def list_policies(ablate: bool) -> dict[str, Policy]:
    """Return the policies to compare, by name of the row.

    With ``ablate``, the result is figstep with one switch changed in each row instead
    of all policies.
    """
    if not ablate:
        return dict(POLICIES)
    policies: dict[str, Policy] = {"figstep": Figstep()}
    for switch in ABLATIONS:
        policies[f"without {switch}"] = _set_switch(switch, False)
    for switch in ADDITIONS:
        policies[f"with {switch}"] = _set_switch(switch, True)
    return policies


def _set_switch(switch: str, value: bool) -> Figstep:
    changes: dict[str, Any] = {switch: value}
    return replace(Figstep(), **changes)


def run_trial(
    trial: Trial, policy: Policy, seeds: list[int], seconds: float, capacity: float
) -> dict[str, Any]:
    """Run one trial with every seed.

    Requests arrive for ``seconds``; ``capacity`` is in tokens per millisecond. The runs
    apply ``policy``; the name of the policy in the trial is only copied into the
    result.

    Returns:
        A dictionary with the trial as ``trial``, the seeds as ``seeds``, the mean of
        each measure over the seeds as ``mean``, and the measures of the run with each
        seed as ``runs``.
    """
    runs = []
    for seed in seeds:
        run = Run(
            DEPLOYMENTS[trial.deployment],
            policy,
            seed,
            capacity * trial.load,
            seconds * SECOND,
            Fault(trial.fault),
            trial.entries,
            trial.gossip,
        )
        runs.append(run.simulate())
    mean = {name: sum(run[name] for run in runs) / len(runs) for name in runs[0]}
    return {"trial": asdict(trial), "seeds": seeds, "mean": mean, "runs": runs}


def read_capacity(deployment: str) -> float:
    """Measure the capacity of a deployment's engines, in tokens per millisecond."""
    return measure_capacity(DEPLOYMENTS[deployment])


def run_experiment(
    options: Options, report: Callable[[dict[str, Any]], None]
) -> list[dict[str, Any]]:
    """Run every trial that the options name, one after the other.

    ``report`` receives each result when its trial is done.

    Returns:
        The results of all trials, as ``run_trial`` returns them.

    Raises:
        KeyError: If a deployment or a policy is unknown.
    """
    results = []
    policies = list_policies(options.ablate)
    selected = options.policies or tuple(policies)
    for deployment in options.deployments:
        capacity = read_capacity(deployment)
        for load, fault in itertools.product(options.loads, options.faults):
            for name in selected:
                trial = Trial(
                    deployment, load, name, fault, options.entries, options.gossip
                )
                result = run_trial(
                    trial, policies[name], options.seeds, options.seconds, capacity
                )
                report(result)
                results.append(result)
    return results


def find_best(results: list[dict[str, Any]], measure: str) -> float | None:
    """Return a measure's lowest mean among the baselines, or None without baselines."""
    means = []
    for result in results:
        if result["trial"]["policy"] in BASELINES:
            means.append(result["mean"][measure])
    return min(means, default=None)


def format_table(results: list[dict[str, Any]]) -> str:
    """Return the mean measures of the results as a Markdown table."""
    head = ["deployment", "load", "fault", "entries", "policy", *COLUMNS.values()]
    lines = ["| " + " | ".join(head) + " |", "|" + " --- |" * len(head)]
    for result in results:
        trial, mean = result["trial"], result["mean"]
        entries = str(trial["entries"])
        if trial["gossip"]:
            entries += " gossip"
        cells = [
            trial["deployment"],
            f"{trial['load']:.0%}",
            trial["fault"] or "-",
            entries,
            trial["policy"],
        ]
        cells += [_format_number(name, mean[name]) for name in COLUMNS]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def _format_number(name: str, value: float) -> str:
    if name in ("fairness", "least_share"):
        return f"{value:.2f}"
    if value >= 100 or value == round(value):
        return f"{value:.0f}"
    return f"{value:.1f}"


def format_ratios(results: list[dict[str, Any]]) -> str:
    """Return text with the ratios of figstep to the best baseline.

    Each line is for the results with the same deployment, load, fault, entries and
    gossip, and has a ratio for each of several measures. The best baseline has the
    lowest mean, or the highest for "tokens_in_time". Results without figstep or
    without a baseline have no line; a measure whose best mean is 0 has no ratio.
    """
    groups: dict[tuple[Any, ...], list[dict[str, Any]]] = {}
    for result in results:
        trial = result["trial"]
        key = tuple(trial[k] for k in ("deployment", "load", "fault", "entries"))
        groups.setdefault((*key, trial["gossip"]), []).append(result)
    lines = []
    for key, group in groups.items():
        figstep_results = [r for r in group if r["trial"]["policy"] == "figstep"]
        if (
            not figstep_results
            or len(group) < 2
            or find_best(group, "requests") is None
        ):
            continue
        parts = []
        for measure in (
            "stall_p99_s",
            "preemptions_per_1000",
            "gap_p99_ms",
            "slowest_gap_p99_ms",
            "tokens_in_time",
        ):
            best = find_best(group, measure)
            if measure == "tokens_in_time":
                best = max(
                    r["mean"][measure]
                    for r in group
                    if r["trial"]["policy"] in BASELINES
                )
            if best:
                parts.append(
                    f"{measure} {figstep_results[0]['mean'][measure] / best:.2f}"
                )
        name = f"{key[0]} {key[1]:.0%} {key[2] or '-'} entries {key[3]}"
        lines.append(f"{name}: " + ", ".join(parts))
    return "\n".join(lines)
