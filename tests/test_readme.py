"""The commands, links and examples in the documents work as shown."""

import pathlib
import re

ROOT = pathlib.Path(__file__).parent.parent


def test_the_first_commands_of_the_readme_are_targets_of_the_makefile():
    first = re.search(r"(?m)^(    .+\n)+", (ROOT / "README.md").read_text())
    assert first is not None
    words = [line.split() for line in first[0].splitlines()]
    assert words == [["make", "demo"], ["make", "test"]]
    makefile = (ROOT / "Makefile").read_text()
    assert all(re.search(rf"(?m)^{target}:", makefile) for _, target in words)


def test_links_between_documents_point_to_existing_files():
    for document in (ROOT / "README.md", ROOT / "DEVELOPERS.md", *ROOT.glob("docs/**/*.md")):
        for link in re.findall(r"\]\(([^)#]+)", document.read_text()):
            assert (document.parent / link).exists(), f"{document.name}: {link}"


def test_the_embedding_example_runs(capsys):
    code = re.findall(r"```python\n(.*?)```", (ROOT / "docs/design/00-relay.md").read_text(), re.S)
    assert len(code) == 1
    exec(compile(code[0], "00-relay.md", "exec"), {})
    assert capsys.readouterr().out == "True\n"
