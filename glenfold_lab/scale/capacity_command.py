"""`glenfold lab scale capacity`: the page of capacity, made from the results or checked against them."""

from pathlib import Path

import click

from glenfold_lab.scale.capacity.page import difference, load, page

SHOWN = 20  # lines of a difference


@click.command("capacity")
@click.option(
    "--results",
    type=click.Path(path_type=Path, exists=True, file_okay=False),
    default=Path("benchmarks/scale"),
    show_default=True,
    help="Folder of the files of results, and of sizes.toml.",
)
@click.option(
    "--page",
    "page_file",
    type=click.Path(path_type=Path, dir_okay=False),
    default=Path("docs/CAPACITY.md"),
    show_default=True,
    help="The page.",
)
@click.option("--check", is_flag=True, help="Write nothing; fail if the page differs from the results.")
def command(results: Path, page_file: Path, check: bool) -> None:
    """Work out from measured slopes what the fleet costs and carries, and write the page.

    Exit status: 0 written, or the page agrees with the results; 1 it does not; 2 the words are at fault.
    """
    made = page(*load(results))
    if not check:
        page_file.write_text(made, "utf-8")
        return
    written = page_file.read_text("utf-8") if page_file.exists() else ""
    if lines := difference(written, made):
        click.echo(f"{page_file} is not what {results} gives; make it anew. The first differences:")
        click.echo("\n".join(lines[:SHOWN]))
        raise SystemExit(1)
