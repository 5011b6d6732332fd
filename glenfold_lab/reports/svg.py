"""Drawings as inline SVG that use the colours of the page. The same input gives the same bytes.

matplotlib draws with one placeholder colour for each colour of the page. CSS variables then replace the
placeholders, so that one drawing suits a light and a dark page. Text stays text. Ids get the name of the
drawing as a prefix, because a page holds many drawings.
"""

import io
import re
import warnings
from html import escape

import matplotlib
from cycler import cycler
from matplotlib.axes import Axes
from matplotlib.figure import Figure

WIDTH_IN = 8.6  # At 72 points to the inch, slightly less than the width of the text.
LINE_COLOURS = 6  # Number of line colours that readers can tell apart.
COLOURS = {
    name: f"#0101{number:02x}"
    for number, name in enumerate(
        ("ink", "faint", "grid", "shade", "bad", "good", *(f"line{n}" for n in range(LINE_COLOURS))), start=1
    )
}

STYLE: dict[str, object] = {
    "svg.fonttype": "none",
    "svg.image_inline": True,
    "font.family": "sans-serif",
    "font.size": 11.0,
    "axes.titlesize": 11.0,
    "axes.labelsize": 11.0,
    "legend.fontsize": 10.0,
    "text.parse_math": False,  # Names may contain dollar signs.
    "legend.frameon": False,
    "text.color": COLOURS["ink"],
    "axes.edgecolor": COLOURS["faint"],
    "axes.labelcolor": COLOURS["ink"],
    "xtick.color": COLOURS["faint"],
    "xtick.labelcolor": COLOURS["ink"],
    "ytick.color": COLOURS["faint"],
    "ytick.labelcolor": COLOURS["ink"],
    "axes.grid": True,
    "axes.axisbelow": True,
    "grid.color": COLOURS["grid"],
    "grid.linewidth": 0.6,
    "axes.spines.top": False,
    "axes.spines.right": False,
    "axes.prop_cycle": cycler(color=[COLOURS[f"line{n}"] for n in range(LINE_COLOURS)]),
    "lines.linewidth": 1.4,
    "figure.facecolor": "none",
    "axes.facecolor": "none",
}

_NO_METADATA = dict.fromkeys(("Creator", "Date", "Format", "Type"))
_NAMES_BY_COLOUR = {colour: name for name, colour in COLOURS.items()}


class Drawing:
    """One figure of the page. Within its context, matplotlib uses the style of the page.

    `name` consists of letters, digits and hyphens, and is unique on the page. `height_in` is in inches.
    """

    def __init__(self, name: str, height_in: float) -> None:
        self.name = name
        self._style = matplotlib.rc_context({**STYLE, "svg.hashsalt": name})  # type: ignore[dict-item]
        self._height_in = height_in

    def __enter__(self) -> "Drawing":
        self._style.__enter__()
        self.figure = Figure(figsize=(WIDTH_IN, self._height_in), layout="constrained")
        return self

    def __exit__(self, *error: object) -> None:
        self._style.__exit__(None, None, None)

    def axes(self) -> Axes:
        """Adds a subplot."""
        return self.figure.add_subplot()

    def svg(self, description: str) -> str:
        """Returns the SVG element for the page. `description` is its text for screen readers."""
        out = io.StringIO()
        with warnings.catch_warnings():
            warnings.filterwarnings("ignore", "Glyph")  # The text is drawn with the reader's fonts.
            self.figure.savefig(out, format="svg", metadata=_NO_METADATA)
        drawn = out.getvalue()
        return _inline(drawn[drawn.index("<svg") :], self.name, description)


def short_label(text: str, max_length: int = 40) -> str:
    """Returns `text` cut to `max_length` characters.

    A leading space protects names with a leading underscore, which matplotlib leaves out of legends.
    """
    short = text if len(text) <= max_length else f"{text[: max_length - 1]}…"
    return f" {short}" if short.startswith("_") else short


def _inline(drawn: str, name: str, description: str) -> str:
    head, body = drawn.split(">", 1)
    box = re.search(r'viewBox="[^"]*"', head)
    assert box is not None
    # The styles would apply to the whole page.
    body = re.sub(r"\s*<defs>\s*<style.*?</defs>", "", body, count=1, flags=re.S)
    body = re.sub(r"#0101[0-9a-f]{2}", lambda found: f"var(--{_NAMES_BY_COLOUR[found[0]]})", body)
    body = re.sub(r" font-family: [^;\"]*;?", "", body)  # The text uses the font of the page.
    body = re.sub(r'(\bid="|href="#|url\(#)', rf"\g<1>{name}-", body)
    return f'<svg {box[0]} role="img" aria-label="{escape(description)}">{body.strip()}'
