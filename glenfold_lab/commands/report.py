"""`glenfold lab report`: writes results as one HTML file, and the same figures as JSON."""

from pathlib import Path

import click
import msgspec

from glenfold_lab.reports.read import read_results


@click.command("report")
@click.argument("results", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option("--out", required=True, type=click.Path(path_type=Path), help="The HTML file to write.")
@click.option(
    "--json",
    "json_out",
    type=click.Path(path_type=Path),
    help="Also write the figures to this file, as JSON.",
)
def command(results: tuple[Path, ...], out: Path, json_out: Path | None) -> None:
    """Draw RESULTS (files that `run`, `play` or `experiment` wrote) as one HTML file.

    Several results are compared. Exit status: 0 the files were written, 1 a file can't be written, 2 a file
    can't be read; then nothing is written.
    """
    report_input = read_results(results)
    from glenfold_lab.reports.page import render_page  # Imports matplotlib, which takes half a second.
    from glenfold_lab.reports.summary import select_histories, summarize

    results_shown = select_histories(report_input.histories)
    report = summarize(report_input, results_shown)
    content = render_page(report, results_shown)
    try:
        out.write_text(content, encoding="utf-8")
        if json_out is not None:
            json_out.write_bytes(msgspec.json.format(msgspec.json.encode(report, order="sorted")) + b"\n")
    except OSError as error:
        raise click.ClickException(f"{error.filename}: {error.strerror}") from error
    broken = sum(group.rules_broken for group in report.groups)
    click.echo(f"{out}: {len(report_input.histories)} histories, rules broken {broken} times")
