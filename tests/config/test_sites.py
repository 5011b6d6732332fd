"""The site variants share no name with each other, and no name and no deadline with our site."""

import tomllib
from pathlib import Path
from typing import Any

SITES = Path(__file__).parents[2] / "deploy" / "sites"
OUR_NAMES = {
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
OUR_DEADLINES_MS = {2000, 3000}


def site(name: str) -> dict[str, Any]:
    return tomllib.loads((SITES / f"{name}.toml").read_text())


def names_of(document: dict[str, Any]) -> set[str]:
    tables = [*document["class"], *document["tenant"], *document["tier"], *document["tier"][0]["kind"]]
    return {document["name"], *document["net"]["zones"], *(table["name"] for table in tables)}


def deadlines(document: dict[str, Any]) -> set[int]:
    return {kind["deadline_ms"] for kind in document["class"]}


def test_the_variants_share_no_name_with_one_another_or_with_our_site() -> None:
    desk, moor = names_of(site("harbour-desk")), names_of(site("moor-meters"))
    assert not desk & moor and not (desk | moor) & OUR_NAMES


def test_one_variant_proxies_and_asks_discovery_and_one_passes_and_is_pushed_lists() -> None:
    desk, moor = site("harbour-desk"), site("moor-meters")
    assert (desk["fam"]["mode"], desk["discovery"]["mode"], desk["fam"]["group_cost"]) == ("proxy", "ask", 0)
    assert (moor["fam"]["mode"], moor["discovery"]["mode"]) == ("pass", "push")
    assert moor["fam"]["group_cost"] > 0
    assert len(desk["net"]["zones"]) == 1 and len(moor["net"]["zones"]) > 2


def test_the_variants_have_other_classes_and_deadlines_on_both_sides_of_ours() -> None:
    for document in (site("harbour-desk"), site("moor-meters")):
        assert len(document["class"]) == len(document["fam"]["class"]) > 2
        assert min(deadlines(document)) < min(OUR_DEADLINES_MS) and max(deadlines(document)) > max(
            OUR_DEADLINES_MS
        )
        assert not deadlines(document) & OUR_DEADLINES_MS
