"""Tests of answers while entries, engines and links fail."""

from pytest_bdd import scenarios

scenarios("generations.feature")
