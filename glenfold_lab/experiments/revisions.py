"""The decision package of other git revisions, each in a folder placed before the work tree in PYTHONPATH.

A package is identified by git's tree id, computed from the files themselves: the id shows which decisions
were imported, and whether a cached folder is complete.
"""

import hashlib
import os
import shutil
import subprocess
import tarfile
import tempfile
from io import BytesIO
from pathlib import Path
from typing import NamedTuple

import click

PACKAGE = "linnetspread"
HERE = "here"  # The name for the decisions of the work tree, uncommitted changes included.
ROOT = Path(__file__).parents[2]


class BadRevision(click.ClickException):
    """Raised for a revision that can't be used; ends the command with status 2."""

    exit_code = 2


class Decisions(NamedTuple):
    """One decision package. `name` is as requested, `folder` contains the package, `id` is its tree id."""

    name: str
    folder: Path
    id: str


def find(name: str, root: Path = ROOT, cache: Path | None = None) -> Decisions:
    """Returns the decisions of the work tree or of a git revision; a revision is cached from then on.

    Raises BadRevision.
    """
    if name == HERE:
        return Decisions(name, root, tree_id(root / PACKAGE))
    _run_git(root, name, "rev-parse", "--verify", "--quiet", "--end-of-options", f"{name}^{{commit}}")
    try:
        output = _run_git(
            root, name, "rev-parse", "--verify", "--quiet", "--end-of-options", f"{name}:{PACKAGE}"
        )
    except BadRevision as error:
        raise BadRevision(f"revision {name}: holds no {PACKAGE}/") from error
    tree = output.decode().strip()
    folder = (cache or _default_cache()) / tree
    if not _is_complete(folder, tree):
        _extract(folder, tree, _run_git(root, name, "archive", "--format=tar", f"--prefix={PACKAGE}/", tree))
    return Decisions(name, folder, tree)


def _run_git(root: Path, name: str, *arguments: str) -> bytes:
    try:
        return subprocess.run(["git", "-C", str(root), *arguments], check=True, capture_output=True).stdout
    except FileNotFoundError as error:
        raise BadRevision(f"revision {name}: git is not installed") from error
    except subprocess.CalledProcessError as error:
        message = error.stderr.decode(errors="replace").strip() or f"{root} has no such revision"
        raise BadRevision(f"revision {name}: {message}") from error


def _default_cache() -> Path:
    base = os.environ.get("XDG_CACHE_HOME") or Path.home() / ".cache"
    return Path(base) / "glenfold" / "decisions"


def _is_complete(folder: Path, tree: str) -> bool:
    package = folder / PACKAGE
    return package.is_dir() and tree_id(package) == tree


def _extract(folder: Path, tree: str, archive: bytes) -> None:
    """Unpacks `archive` aside and renames it once complete, as other processes may read the cache.

    Raises BadRevision if the files don't match their tree id.
    """
    folder.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory(dir=folder.parent) as temp_folder:
        extracted = Path(temp_folder) / "new"
        with tarfile.open(fileobj=BytesIO(archive)) as tar:
            tar.extractall(extracted, filter="data")
        if not _is_complete(extracted, tree):
            raise BadRevision(f"the extracted files of {PACKAGE}/ do not match git's tree id {tree}")
        shutil.rmtree(folder, ignore_errors=True)
        try:
            extracted.rename(folder)
        except OSError:
            if not _is_complete(folder, tree):  # If complete, another process has extracted it first.
                raise


def tree_id(folder: Path) -> str:
    """Returns the id that `git rev-parse REVISION:FOLDER` would print if these files were committed."""
    entries = []
    for path in folder.iterdir():
        if path.is_dir():
            if path.name != "__pycache__":
                entries.append((f"{path.name}/", b"40000", path.name, bytes.fromhex(tree_id(path))))
        else:
            mode = b"100755" if path.stat().st_mode & 0o100 else b"100644"
            entries.append((path.name, mode, path.name, _object_id("blob", path.read_bytes())))
    # git sorts a folder as if its name ended with a slash.
    lines = [mode + b" " + name.encode() + b"\0" + digest for _, mode, name, digest in sorted(entries)]
    return _object_id("tree", b"".join(lines)).hex()


def _object_id(kind: str, data: bytes) -> bytes:
    return hashlib.sha1(f"{kind} {len(data)}\0".encode() + data, usedforsecurity=False).digest()
