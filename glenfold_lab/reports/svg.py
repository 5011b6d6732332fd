"""Drawings as inline SVG: the page's own colours, text that stays text, the same bytes for the same input.

matplotlib draws with stand-in colours, one for each of the page's; they give way to CSS variables, so that
one drawing does for a light and a dark page. Its ids get the drawing's name: a page holds many drawings.
"""

import io
import re
import warnings
from html import escape

import matplotlib
from cycler import cycler
from matplotlib.axes import Axes
from matplotlib.figure import Figure

WIDTH_IN = 8.6  # at 72 points to the inch a little less than the width of a page's text
LINE_COLOURS = 6  # colours for lines, as many as can be told apart
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
    "text.parse_math": False,  # a name may hold dollars
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
    """One figure of the page; used as a context, within which matplotlib has the page's style.

    name: letters, digits and hyphens, unlike that of any other drawing of the page. height_in: inches.
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
        return self.figure.add_subplot()

    def svg(self, description: str) -> str:
        """The element to put into a page; `told` is what a reader who can't see it hears."""
        out = io.StringIO()
        with warnings.catch_warnings():
            warnings.filterwarnings("ignore", "Glyph")  # the reader's fonts draw it, not matplotlib's
            self.figure.savefig(out, format="svg", metadata=_NO_METADATA)
        drawn = out.getvalue()
        return _inline(drawn[drawn.index("<svg") :], self.name, description)


def short_label(text: str, max_length: int = 40) -> str:
    """A name as a drawing can show it: short, and not taken for one of matplotlib's own."""
    short = text if len(text) <= max_length else f"{text[: max_length - 1]}…"
    return f" {short}" if short.startswith("_") else short


def _inline(drawn: str, name: str, description: str) -> str:
    head, body = drawn.split(">", 1)
    box = re.search(r'viewBox="[^"]*"', head)
    assert box is not None
    body = re.sub(r"\s*<defs>\s*<style.*?</defs>", "", body, count=1, flags=re.S)  # it would style the page
    body = re.sub(r"#0101[0-9a-f]{2}", lambda found: f"var(--{_NAMES_BY_COLOUR[found[0]]})", body)
    body = re.sub(r" font-family: [^;\"]*;?", "", body)  # the page's
    body = re.sub(r'(\bid="|href="#|url\(#)', rf"\g<1>{name}-", body)
    return f'<svg {box[0]} role="img" aria-label="{escape(description)}">{body.strip()}'
