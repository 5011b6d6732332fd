"""Measured points as a table for a terminal: a row for each quantity, a column for each size."""

from collections.abc import Sequence

from rich.table import Table

from glenfold_lab.scale.measurements import Point, medians, spread


def point_table(title: str, points: Sequence[Point]) -> Table:
    """Medians of the repeats; the last column is the largest distance between repeats, over their median.
    The points are of one dimension."""
    sizes = sorted({point.size for point in points})
    by_quantity: dict[tuple[str, str], list[Point]] = {}
    for point in points:
        by_quantity.setdefault((point.quantity, point.unit), []).append(point)
    table = Table(title=title)
    table.add_column("quantity", no_wrap=True)
    table.add_column("unit")
    for size in sizes:
        table.add_column(f"{size:,.0f}", justify="right")
    table.add_column("spread", justify="right")
    for (quantity, unit), measured in by_quantity.items():
        middle = medians(measured)
        cells = [f"{middle[size]:.4g}" if size in middle else "" for size in sizes]
        table.add_row(quantity, unit, *cells, f"{spread(measured):.0%}")
    return table
