"""Tests of reading the platform's instance list."""

import pytest

from figstep.net.instances import (
    MAX_FLEET_POLLS_PER_SECOND,
    compute_poll_interval,
    parse_instances,
)


@pytest.mark.parametrize("entries", [1, 8, 370])
def test_reads_of_the_whole_fleet_are_bounded(entries: int) -> None:
    assert entries / compute_poll_interval(entries) <= MAX_FLEET_POLLS_PER_SECOND


def test_missing_members_of_an_instance_have_defaults() -> None:
    listed = parse_instances({"instances": [{"name": "serving-1"}]})
    instance = listed.instances[0]
    assert (instance.kind, instance.leaving, instance.incarnation) == (
        "target",
        False,
        0,
    )
