"""Short, derandomized runs of the fuzzers."""

import dataclasses
import json

import hypothesis
import pytest
from hypothesis import stateful
from returns import result

from hickoryweir.discovery import entries, listing, own_list
from hickoryweir.forwarding import server_pool
from spec import claims_fuzz, cluster_fuzz, fuzz, lists_fuzz, members_fuzz


def run(machine, example_count, step_count):
    settings = fuzz.make_settings(example_count, step_count, derandomize=True)
    stateful.run_state_machine_as_test(machine, settings=settings)


def test_claims_machine_agrees_with_its_oracle():
    run(claims_fuzz.ClaimsMachine, example_count=100, step_count=60)


def test_replicas_keep_what_they_granted_and_accepted():
    run(cluster_fuzz.ClusterMachine, example_count=30, step_count=60)


def test_members_that_change_by_themselves_lose_nothing():
    run(members_fuzz.MembersMachine, example_count=20, step_count=40)


def test_entries_of_other_writers_cost_no_server():
    run(lists_fuzz.ListsMachine, example_count=60, step_count=40)


def decode_as_a_whole(body):
    """Decode a page as it was decoded before it was split."""
    try:
        items = json.loads(body)["servers"]
    except ValueError:
        return result.Failure("not JSON")
    decoded = [own_list._parse_entry(item) for item in items if isinstance(item, dict)]
    return result.Success(listing.make_page(decoded, (), None))


def decode_without_check(body):
    """Decode a page whose entries are taken as servers without further checks."""
    document = entries.split(body, own_list.LIST_NAME).unwrap()
    decoded = [
        entries.decode_entry(entry).bind(own_list._parse_entry)
        for entry in document.entries
    ]
    servers = [item.unwrap() for item in decoded if isinstance(item, result.Success)]
    return result.Success(listing.Page(tuple(servers), None))


class WithoutServices(lists_fuzz.ListsMachine):
    """A router that doesn't know which services its table names."""

    def __init__(self):
        super().__init__()
        self.pool = server_pool.Pool()


def make_lists_machine(decode_page):
    """Return a machine whose pages are decoded by a function."""

    class Mutated(lists_fuzz.ListsMachine):
        format = dataclasses.replace(lists_fuzz.OWN_FORMAT, decode_page=decode_page)

    return Mutated


@pytest.mark.parametrize(
    "machine",
    [
        make_lists_machine(decode_as_a_whole),
        make_lists_machine(decode_without_check),
        WithoutServices,
    ],
)
def test_faults_of_reading_lists_are_found(machine):
    settings = hypothesis.settings(
        fuzz.make_settings(600, 60, derandomize=True),
        phases=(hypothesis.Phase.generate,),
        report_multiple_bugs=False,
    )
    with pytest.raises(Exception):  # noqa: B017 - a fault may raise any error
        stateful.run_state_machine_as_test(machine, settings=settings)


@pytest.mark.parametrize("mutation", members_fuzz.Mutation)
def test_faults_of_member_changes_are_found(mutation):
    """Stop at the first failure, without shrinking it."""
    settings = hypothesis.settings(
        fuzz.make_settings(200, 60, derandomize=True),
        phases=(hypothesis.Phase.generate,),
        report_multiple_bugs=False,
    )
    machine = members_fuzz.make_mutated(mutation)
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(machine, settings=settings)
