"""New answers files: a blank form, or one filled in at a terminal.

Examples
--------
>>> render_blank().splitlines()[2]
'[team]'
"""

import dataclasses
from collections.abc import Callable

from hickoryweir.configuration import inifile, questionnaire, questions, render

INTRODUCTION = "# Answers from which `hickoryweir generate` makes a configuration.\n"


def render_blank() -> str:
    """Return an answers file with every question and no answers."""
    parts = [INTRODUCTION, "[team]\n" + _blank_keys("team", questionnaire.Team)]
    for kind, cls in questionnaire.SECTIONS.items():
        head = f"# {questions.SECTION_QUESTIONS[kind]} One section for each.\n"
        parts.append(f"{head}[{kind} NAME]\n" + _blank_keys(kind, cls))
    return "\n".join(parts)


def _blank_keys(kind, cls):
    schema = inifile.make_schema(cls)
    lines = []
    for field in _question_fields(kind, cls):
        expected = schema.validator.model_fields[field.name].description
        lines.append(f"# {questions.QUESTIONS[kind, field.name]} ({expected})")
        lines.append(_default_line(field))
    return "\n".join(lines) + "\n"


def _default_line(field):
    if field.default is dataclasses.MISSING:
        return f"{field.name} ="
    if field.default is None:
        return f"# {field.name} ="
    return f"{field.name} = {render.format_value(field.default)}".rstrip()


def _question_fields(kind, cls):
    return [
        field
        for field in dataclasses.fields(cls)
        if (kind, field.name) in questions.QUESTIONS
    ]


def ask(read_answer: Callable[[str], str]) -> str:
    """Return an answers file from answers to one question after another.

    Parameters
    ----------
    read_answer : callable
        Shows a prompt and returns the answer, as the builtin ``input`` does.

    Returns
    -------
    str
        INI text; a blank answer omits the key, a blank name ends a kind of section.
    """
    parts = [
        INTRODUCTION,
        "[team]\n" + _ask_keys("team", questionnaire.Team, read_answer),
    ]
    for kind, cls in questionnaire.SECTIONS.items():
        question = f"{questions.SECTION_QUESTIONS[kind]} Name (blank: no more): "
        while name := read_answer(question).strip():
            parts.append(f"[{kind} {name}]\n" + _ask_keys(kind, cls, read_answer))
    return "\n".join(parts)


def _ask_keys(kind, cls, read_answer):
    lines = []
    for field in _question_fields(kind, cls):
        value = read_answer(f"  {questions.QUESTIONS[kind, field.name]} ").strip()
        if value:
            lines.append(f"{field.name} = {value}")
    return "".join(f"{line}\n" for line in lines)
