"""Commands on files."""

import pathlib

import pytest

from hickoryweir.cli import exits, main
from hickoryweir.configuration import blank, questionnaire

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"


def run(*arguments):
    with pytest.raises(SystemExit) as caught:
        main.main([str(each) for each in arguments])
    return caught.value.code


@pytest.mark.parametrize("customer", ["kitamori", "tamworth"])
def test_generated_file_passes_the_check(customer, tmp_path, capsys):
    output = tmp_path / "configuration.ini"
    answers = EXAMPLES / customer / "answers.ini"
    assert run("generate", answers, "-o", output, "--explain") == 0
    assert run("check", output) == exits.ExitCode.SUCCESS
    assert "max_queue_length" in capsys.readouterr().err


def test_check_names_the_problem(tmp_path, capsys):
    file = tmp_path / "answers.ini"
    text = (EXAMPLES / "kitamori" / "answers.ini").read_text()
    file.write_text(text.replace("entry_vms = 6", "entry_vms = some"))
    assert run("check", file) == exits.ExitCode.INVALID_FILE
    assert "[team] entry_vms: is 'some'" in capsys.readouterr().err


def test_missing_file_and_wrong_command_have_distinct_exit_codes(capsys):
    assert run("check", "no-such-file") == exits.ExitCode.INVALID_FILE
    assert run("bogus") == exits.ExitCode.USAGE
    assert run("generate") == exits.ExitCode.USAGE


def test_blank_answers_file_contains_the_questions(tmp_path):
    output = tmp_path / "answers.ini"
    assert run("generate", "--new", "-o", output) == 0
    assert "Is it idempotent" in output.read_text()


def test_interactive_answers_form_a_valid_answers_file():
    team = iter(["x", "a, b", "6", "24", "100"])
    text = blank.ask(lambda prompt: next(team, ""))
    answers = questionnaire.parse(text, "a.ini").unwrap()
    assert answers.team.availability_zones == ("a", "b")
