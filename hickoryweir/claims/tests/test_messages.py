"""Tests of message encoding and of the ``Idempotency-Key`` header."""

import typing

import pytest

from hickoryweir.claims import commands, keys, verdicts
from hickoryweir.outcomes import refusals
from hickoryweir.streams import codec

OUTCOMES = [
    commands.Answered(200, "text/plain", b"x"),
    commands.AnsweredUnkept(200, b"digest"),
    commands.NotRun("connection refused"),
    commands.Unknown("connection lost"),
]


@pytest.mark.parametrize("outcome", OUTCOMES)
def test_outcomes_round_trip_through_the_codec(outcome):
    command = commands.RecordOutcome("school", "key", None, "a1", outcome)
    assert codec.decode(codec.encode(command)).unwrap() == command


def test_claims_round_trip_through_the_codec():
    claim = commands.Claim("school", "key", 1.5, b"digest", "a1", "till-1", "vm-1")
    assert codec.decode(codec.encode(claim)).unwrap() == claim


@pytest.mark.parametrize("cls", typing.get_args(verdicts.Verdict))
def test_verdicts_round_trip_through_the_codec(cls):
    samples = {int: 1, float: 2.0, str: "s", bytes: b"b", bool: True}
    verdict = cls(*[samples[hint] for hint in typing.get_type_hints(cls).values()])
    assert codec.decode(codec.encode(verdict)).unwrap() == verdict


@pytest.mark.parametrize("header", ["a b", "é", "x" * 256, "a\n"])
def test_unprintable_or_long_keys_are_invalid(header):
    refusal = keys.parse_key(header).failure()
    assert refusal.reason is refusals.Reason.IDEMPOTENCY_KEY_INVALID


def test_absent_key_is_missing():
    refusal = keys.parse_key(None).failure()
    assert refusal.reason is refusals.Reason.IDEMPOTENCY_KEY_MISSING


@pytest.mark.parametrize(
    "header", ["1764800000-5f0c9a7e61d24c55", "t1764800000-short", "order-17"]
)
def test_other_forms_carry_no_issue_time(header):
    assert keys.parse_key(header).unwrap().issued_at_s is None


def test_generated_keys_carry_their_issue_time():
    key = keys.parse_key(keys.make_key(1_764_800_000.9)).unwrap()
    assert key.issued_at_s == 1_764_800_000.0
