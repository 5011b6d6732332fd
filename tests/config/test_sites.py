"""The variants of the site keep to what they are for: nothing shared with one another or ours."""

import tomllib
from pathlib import Path
from typing import Any

SITES = Path(__file__).parents[2] / "deploy" / "sites"
OURS = {
    "cardiff",
    "wrexham",
    "trip-watch",
    "driver-feed",
    "small-fast",
    "mid-steady",
    "mid-slow",
    "push-servers",
    "south-east",
    "north-wales",
    "west-wales",
    "mid-wales",
    "valleys",
    "campus",
    "cardiff-live",
}
OURS_MS = {2000, 3000}  # deadlines


def site(name: str) -> dict[str, Any]:
    return tomllib.loads((SITES / f"{name}.toml").read_text())


def names(told: dict[str, Any]) -> set[str]:
    tables = [*told["class"], *told["tenant"], *told["tier"], *told["tier"][0]["kind"]]
    return {told["name"], *told["net"]["zones"], *(table["name"] for table in tables)}


def deadlines(told: dict[str, Any]) -> set[int]:
    return {kind["deadline_ms"] for kind in told["class"]}


def test_the_variants_share_no_name_with_one_another_or_with_our_site() -> None:
    desk, moor = names(site("harbour-desk")), names(site("moor-meters"))
    assert not desk & moor and not (desk | moor) & OURS


def test_one_variant_is_of_proxies_that_ask_and_one_passes_packets() -> None:
    desk, moor = site("harbour-desk"), site("moor-meters")
    assert (desk["fam"]["mode"], desk["discovery"]["mode"], desk["fam"]["group_cost"]) == ("proxy", "ask", 0)
    assert (moor["fam"]["mode"], moor["discovery"]["mode"]) == ("pass", "push")
    assert moor["fam"]["group_cost"] > 0
    assert len(desk["net"]["zones"]) == 1 and len(moor["net"]["zones"]) > 2


def test_the_variants_have_other_classes_and_deadlines_on_both_sides_of_ours() -> None:
    for told in (site("harbour-desk"), site("moor-meters")):
        assert len(told["class"]) == len(told["fam"]["class"]) > 2
        assert min(deadlines(told)) < min(OURS_MS) and max(deadlines(told)) > max(OURS_MS)
        assert not deadlines(told) & OURS_MS
