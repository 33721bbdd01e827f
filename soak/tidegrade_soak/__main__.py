"""Runs seeds by hand: ``python -m tidegrade_soak --help``."""

import concurrent.futures
import json
import pathlib
import shutil
import tempfile
import time
import typing

import attrs
import typer

from tidegrade_soak import _run
from tidegrade_soak import _seeds

app = typer.Typer(add_completion=False)


@app.command()
def main(
    first: typing.Annotated[
        int, typer.Option(help='First seed; 0 takes a fresh one.')
    ] = 0,
    count: typing.Annotated[int, typer.Option(help='How many seeds.')] = 5,
    seconds: typing.Annotated[
        float, typer.Option(help='How long faults come in each run.')
    ] = 20.0,
    jobs: typing.Annotated[
        int, typer.Option(help='Runs at the same time.')
    ] = 1,
    regressions: typing.Annotated[
        bool, typer.Option(help='Run the seeds that once failed.')
    ] = False,
    returns: typing.Annotated[
        bool, typer.Option(help='Let the store return from older copies.')
    ] = False,
    tenants: typing.Annotated[
        bool, typer.Option(help='Give callers keys that come and go.')
    ] = False,
    keep: typing.Annotated[
        pathlib.Path, typer.Option(help='Folder for logs of failed seeds.')
    ] = pathlib.Path('target/soak'),
) -> None:
    """Run seeds; each prints a line, and failed ones keep their logs."""
    first = first or int(time.time())
    seeds = [(seed, seconds, tenants) for seed in range(first, first + count)]
    if regressions:
        seeds = [(c.seed, c.seconds, c.tenants) for c in _seeds.REGRESSIONS]
    tasks = [
        (seed, length, returns, with_keys, keep)
        for seed, length, with_keys in seeds
    ]
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        failed = sum(pool.map(_one, tasks))
    print(json.dumps({'seeds': len(tasks), 'failed': failed}))
    raise typer.Exit(1 if failed else 0)


def _one(task: tuple[int, float, bool, bool, pathlib.Path]) -> bool:
    """Run one seed; tell whether a promise was broken."""
    seed, seconds, returns, tenants, keep = task
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
    cfg = _run.SoakSettings(
        seed, seconds, folder, store_returns=returns, tenants=tenants
    )
    report = _run.run(cfg)
    print(json.dumps(attrs.asdict(report)), flush=True)
    if report.problems:
        keep.mkdir(parents=True, exist_ok=True)
        shutil.copytree(folder, keep / str(seed), dirs_exist_ok=True)
    shutil.rmtree(folder)
    return bool(report.problems)


if __name__ == '__main__':
    app()
