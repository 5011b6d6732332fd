"""`glenfold status`: how instances stand, by their own word."""

from pathlib import Path

import click

from glenfold.cli.instances import (
    Answer,
    ask_all,
    exit_status,
    file_argument,
    instance_option,
    json_option,
    locate_instances,
    print_answers,
)


@click.command("status")
@file_argument
@instance_option
@json_option
def command(file: Path, instance: int | None, as_json: bool) -> None:
    """Tell how the instances of an operators' file stand, by their own word.

    Exit status: 0 all are ready, 1 one is not or does not answer, 2 the file is at fault, 3 none answers.
    """
    answers = ask_all(locate_instances(file, instance), "status")
    print_answers(answers, as_json, [status_line(answer) for answer in answers])
    raise SystemExit(exit_status(answers, [answer.get("state") == "ready" for answer in answers]))


def status_line(answer: Answer) -> str:
    if "state" not in answer:
        return f"{answer['instance']}: {answer.get('silent') or answer.get('refused')}"
    told, held = answer["list"], answer["connections"]
    age = "not heard of" if told["age_s"] is None else f"heard of {told['age_s']:.1f} s ago"
    version = "no list" if told["version"] is None else f"list {told['version']} of {told['servers']}"
    snapshot = "" if answer["snapshot"] is None else f", snapshot {_snapshot_age(answer['snapshot'])}"
    state = f"{answer['instance']}: {answer['state']} for {answer['since_s']:.0f} s"
    load = f"{held['standing']} standing, {held['unanswered']} unanswered"
    return f"{state}, process {answer['pid']}, {load}, {version}, {age}{snapshot}"


def _snapshot_age(snapshot: Answer) -> str:
    if snapshot["fault"]:
        return f"fails: {snapshot['fault']}"
    return "not written yet" if snapshot["age_s"] is None else f"{snapshot['age_s']:.0f} s old"
