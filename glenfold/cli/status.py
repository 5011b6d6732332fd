"""`glenfold status`: shows the state that instances report."""

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
    """Show the state that the instances of an operators' file report.

    Exit status: 0 all instances are ready, 1 an instance is not ready or does not answer, 2 the arguments or
    the file are invalid, 3 no instance answers.
    """
    answers = ask_all(locate_instances(file, instance), "status")
    print_answers(answers, as_json, [status_line(answer) for answer in answers])
    raise SystemExit(exit_status(answers, [answer.get("state") == "ready" for answer in answers]))


def status_line(answer: Answer) -> str:
    """Returns one line on an instance: its status, or why it did not answer or refused."""
    if "state" not in answer:
        return f"{answer['instance']}: {answer.get('silent') or answer.get('refused')}"
    server_list, connections = answer["list"], answer["connections"]
    age = "not confirmed" if server_list["age_s"] is None else f"confirmed {server_list['age_s']:.1f} s ago"
    version = (
        "no list"
        if server_list["version"] is None
        else f"list {server_list['version']} with {server_list['servers']} servers"
    )
    snapshot = "" if answer["snapshot"] is None else f", snapshot {_snapshot_age(answer['snapshot'])}"
    state = f"{answer['instance']}: {answer['state']} for {answer['since_s']:.0f} s"
    load = f"{connections['standing']} standing, {connections['unanswered']} unanswered"
    return f"{state}, process {answer['pid']}, {load}, {version}, {age}{snapshot}"


def _snapshot_age(snapshot: Answer) -> str:
    if snapshot["fault"]:
        return f"fails: {snapshot['fault']}"
    return "not written yet" if snapshot["age_s"] is None else f"{snapshot['age_s']:.0f} s old"
