"""Tests of the validation of the inventory document."""

from copy import deepcopy
from pathlib import Path

import pytest

from figstep.errors import InventoryError
from figstep.inventory import hash_key, parse_inventory, parse_version
from figstep.settings import load_yaml

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"


@pytest.mark.parametrize(
    ("name", "domains", "entries", "service", "replicas"),
    [("bavaria", 4, 8, "planning", 4), ("ireland", 3, 7, "booking", 3)],
)
def test_examples_describe_the_deployments(
    name: str, domains: int, entries: int, service: str, replicas: int
) -> None:
    inventory = parse_inventory(load_yaml(EXAMPLES / f"{name}.yaml"))
    assert len(inventory.failure_domains) == domains
    assert sum(i.kind == "entry" for i in inventory.instances) == entries
    assert len(inventory.engines) == 5
    assert [s.service for s in inventory.services] == [service] * replicas
    assert len(inventory.customers) == 10
    assert {rule.service for rule in inventory.rules.non_idempotent} == {service}
    first = inventory.customers[0]
    assert first.key_hash == hash_key(f"{first.name}-example-key")


@pytest.mark.parametrize(
    ("place", "value", "remedy"),
    [
        (("draining",), [{"target": "nobody"}], "draining: 'nobody' is not listed"),
        (
            ("evacuated",),
            [{"failure_domain": "nowhere"}],
            "evacuated: 'nowhere' is not listed",
        ),
        (("rules", "placement"), [{"model": "x", "replicas": 1}], "add it under"),
        (("rules", "priorities"), [{"priority": 1, "customer": "x"}], "customers"),
        (("rules", "non_idempotent"), [{"service": "x"}], "services"),
        (("engines", 0, "failure_domain"), "moon", "failure_domains"),
        (("engines", 0, "speed"), 0, "engines.0.speed"),
        (("unheard",), 1, "unheard"),
    ],
)
def test_invalid_documents_name_field_and_remedy(
    place: tuple[str | int, ...], value: object, remedy: str
) -> None:
    document = deepcopy(load_yaml(EXAMPLES / "bavaria.yaml"))
    parent = document
    for step in place[:-1]:
        parent = parent[step]
    parent[place[-1]] = value
    with pytest.raises(InventoryError, match=remedy):
        parse_inventory(document)


def test_documents_of_the_first_validation_version_stay_valid() -> None:
    """Guards against an upgraded program that cannot read existing logs."""
    document = load_yaml(EXAMPLES / "bavaria.yaml")
    assert parse_version(document, 1) == parse_inventory(document)
    with pytest.raises(InventoryError, match="version 2 or later"):
        parse_version({**document, "evacuated": []}, 1)


def test_unknown_validation_version_is_not_validated() -> None:
    assert parse_version({"members": "of a later version"}, 99) is None
