"""Answers under failures of entries, engines and links."""

from pytest_bdd import scenarios

scenarios("generations.feature")
