"""Formats for an experiment's results: cost of a cell, size, and time to read the figures.

    python -m benchmarks.result_stores RESULTS [CELLS]

RESULTS is a file of `glenfold lab experiment`, whose results are written CELLS times (default 1,000). Each
result is on the disk before the next one is written. Parquet takes part if pyarrow is installed; it gets a
file for each cell, because a Parquet file can't be appended to.
"""

import os
import sqlite3
import struct
import sys
import tempfile
import time
import zlib
from collections.abc import Callable, Sequence
from pathlib import Path

import msgspec

from glenfold_lab.experiments.store import Header, Outcome, Short, go_on, open_read_only

Store = tuple[Callable[[Path, Sequence[Outcome]], None], Callable[[Path], int]]

HEAD = struct.Struct(">II")


def write_lines(folder: Path, outcomes: Sequence[Outcome]) -> None:
    store = go_on(str(folder / "results"), Header("bench", "what it costs", len(outcomes), {}))
    for outcome in outcomes:
        store.add(msgspec.json.encode(outcome))
    store.close()


def read_lines(folder: Path) -> int:
    return sum(short.result is not None for short in open_read_only(str(folder / "results")).outcomes(Short))


def write_msgpack(folder: Path, outcomes: Sequence[Outcome]) -> None:
    with (folder / "results").open("ab") as file:
        for outcome in outcomes:
            data = msgspec.msgpack.encode(outcome)
            file.write(HEAD.pack(len(data), zlib.crc32(data)) + data)
            file.flush()
            os.fdatasync(file.fileno())


def read_msgpack(folder: Path) -> int:
    count, data, offset = 0, (folder / "results").read_bytes(), 0
    while offset < len(data):
        size, checksum = HEAD.unpack_from(data, offset)
        record = data[offset + HEAD.size : offset + HEAD.size + size]
        assert zlib.crc32(record) == checksum
        short: Short = msgspec.msgpack.decode(record, type=Short)
        count += short.result is not None
        offset += HEAD.size + size
    return count


def write_sqlite(folder: Path, outcomes: Sequence[Outcome]) -> None:
    database = sqlite3.connect(folder / "results", isolation_level=None)
    database.execute("PRAGMA journal_mode = WAL")
    database.execute("PRAGMA synchronous = FULL")
    database.execute("CREATE TABLE cells (cell INTEGER PRIMARY KEY, record BLOB)")
    for outcome in outcomes:
        database.execute("INSERT INTO cells VALUES (?, ?)", (outcome.cell, msgspec.json.encode(outcome)))
    database.close()


def read_sqlite(folder: Path) -> int:
    database = sqlite3.connect(folder / "results")
    rows = database.execute("SELECT record FROM cells ORDER BY cell")
    return sum(msgspec.json.decode(record, type=Short).result is not None for (record,) in rows)


def write_parquet(folder: Path, outcomes: Sequence[Outcome]) -> None:
    import pyarrow  # type: ignore[import-not-found]
    from pyarrow import parquet

    for outcome in outcomes:
        path = folder / f"{outcome.cell}.parquet"
        figures = outcome.result.figures if outcome.result is not None else {}
        row = {"cell": outcome.cell, "record": msgspec.json.encode(outcome), **figures}
        parquet.write_table(pyarrow.Table.from_pylist([row]), path)
        with path.open("rb") as file:
            os.fsync(file.fileno())


def read_parquet(folder: Path) -> int:
    from pyarrow import parquet

    return sum(len(parquet.read_table(path, columns=["cell", "service"])) for path in folder.iterdir())


STORES: dict[str, Store] = {
    "lines of JSON with checksums": (write_lines, read_lines),
    "msgpack with checksums": (write_msgpack, read_msgpack),
    "sqlite, WAL, synchronous FULL": (write_sqlite, read_sqlite),
    "parquet, a file for each cell": (write_parquet, read_parquet),
}


def main(path: str, cells: int) -> None:
    stored = list(open_read_only(path).outcomes(Outcome))
    outcomes = [msgspec.structs.replace(stored[number % len(stored)], cell=number) for number in range(cells)]
    for name, (write, read) in STORES.items():
        with tempfile.TemporaryDirectory(dir=".") as folder:
            started_at = time.perf_counter()
            try:
                write(Path(folder), outcomes)
            except ModuleNotFoundError as error:
                print(f"{name:31} left out: {error}")
                continue
            written_at = time.perf_counter()
            read(Path(folder))
            read_at = time.perf_counter()
            size = sum(file.stat().st_size for file in Path(folder).iterdir())
            print(
                f"{name:31} {(written_at - started_at) / cells * 1e3:6.2f} ms a cell, "
                f"{size / cells / 1e3:6.1f} kB a cell, figures of all read in {read_at - written_at:.2f} s"
            )


if __name__ == "__main__":
    main(sys.argv[1], int(sys.argv[2]) if len(sys.argv) > 2 else 1_000)
