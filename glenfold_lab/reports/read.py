"""Reads result files: one result, or many, one a line."""

from collections.abc import Iterator, Sequence
from pathlib import Path

import msgspec

from glenfold_lab.results import FORMAT, RunResult


class BadResult(ValueError):
    """A file that no report can be made of; the message names the file, the result and the reason."""


class _Head(msgspec.Struct):
    format: int


def read(paths: Sequence[Path]) -> list[RunResult]:
    """All results of these files, in their order. Raises BadResult."""
    found: list[RunResult] = []
    for path in paths:
        try:
            parts = list(_parts(path.read_bytes()))
        except OSError as error:
            raise BadResult(f"{path}: {error.strerror}") from error
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise BadResult(f"{path}: not JSON: {error}") from error
        if not parts:
            raise BadResult(f"{path}: holds no result")
        found += [_result(f"{path}: result {n}", part) for n, part in enumerate(parts, start=1)]
    return found


def _parts(content: bytes) -> Iterator[msgspec.Raw]:
    try:
        yield msgspec.json.decode(content, type=msgspec.Raw)
    except msgspec.DecodeError:
        lines = [line for line in content.splitlines() if line.strip()]
        yield from msgspec.json.decode(b"[" + b",".join(lines) + b"]", type=list[msgspec.Raw])


def _result(where: str, part: msgspec.Raw) -> RunResult:
    try:
        head: _Head = msgspec.json.decode(part, type=_Head)
        if head.format != FORMAT:
            raise BadResult(f"{where}: format {head.format}; this program reads format {FORMAT} only")
        result: RunResult = msgspec.json.decode(part, type=RunResult)
    except msgspec.DecodeError as error:
        raise BadResult(f"{where}: {error}") from error
    for fault in _faults(result):
        raise BadResult(f"{where}: {fault}")
    return result


def _faults(result: RunResult) -> Iterator[str]:
    if result.length_us <= 0:
        yield "length_us must be over 0"
    for kind, by_name in (("series", result.series), ("server_load", result.server_load)):
        for name, series in by_name.items():
            if series.step_us <= 0:
                yield f"{kind}.{name}: step_us must be over 0"
