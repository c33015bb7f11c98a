"""Software versions in the replicated log."""

from hickoryweir.discovery import version_record
from hickoryweir.replicas import machine as machines
from hickoryweir.replicas import messages as log_messages
from hickoryweir.routes import store
from hickoryweir.streams import codec

V1, V2 = (version_record.ServiceVersion("llm", version) for version in ("v1", "v2"))


def record(state, index, *pairs):
    return version_record.apply(state, version_record.RecordVersions(pairs), index, 0.0)


def remove(state, index, versions):
    command = version_record.RemoveVersions(versions)
    return version_record.apply(state, command, index, 0.0)


def test_late_command_does_not_remove_a_version_that_was_recorded_again():
    state = version_record.initial_state()
    decided = record(state, 1, V1, V2)
    record(state, 2, V1)
    assert version_record.pairs_of(remove(state, 3, decided.versions)) == {
        ("llm", "v1")
    }


def test_record_is_bounded_and_the_version_recorded_longest_ago_goes_first():
    state = version_record.initial_state()
    record(state, 1, V1, V2)
    record(state, 2, V1)
    pairs = [
        version_record.ServiceVersion("llm", f"w{number}")
        for number in range(version_record.MAX_VERSIONS_COUNT - 1)
    ]
    record(state, 3, *pairs)
    assert V1 in state.indexes
    assert V2 not in state.indexes


def test_record_is_the_same_after_a_snapshot():
    submachine = version_record.make_submachine()
    state = submachine.initial_state()
    record(state, 1, V1, V2)
    record(state, 2, V1)
    loaded = submachine.load(submachine.dump(state))
    assert list(loaded.indexes.items()) == list(state.indexes.items())


def make_machines():
    """Return the machine of this build and one of the build before."""
    older = (store.make_submachine(),)
    newer = (*older, version_record.make_submachine())
    return machines.make_machine(newer), machines.make_machine(older)


def apply(machine, command):
    payload = codec.encode(command)
    entry = log_messages.Entry(
        index=1,
        term=1,
        kind=log_messages.EntryKind.COMMAND,
        payload=payload,
        time_s=0.0,
    )
    return machines.apply(machine, entry)


def test_earlier_build_loads_snapshots_until_a_version_is_recorded():
    newer, older = make_machines()
    apply(newer, store.make_command(1, b"table"))
    machines.load(older, machines.dump(newer))
    assert older.states["routing_table"].stored.version == 1


def test_snapshot_of_an_earlier_build_loads():
    newer, older = make_machines()
    machines.load(newer, machines.dump(older))
    assert not newer.states[version_record.NAME].indexes


def test_earlier_build_skips_versions_and_says_that_it_keeps_no_record():
    _, older = make_machines()
    skipped = apply(older, version_record.RecordVersions((V1,)))
    answered = machines.query(older, version_record.ReadVersions())
    assert isinstance(skipped, machines.CommandUnknown)
    assert isinstance(answered, machines.CommandUnknown)
