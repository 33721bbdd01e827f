"""``python -m tidegrade_bench COMMAND``."""

import contextlib
from typing import Annotated

import anyio
import typer

from tidegrade_bench import _costs
from tidegrade_bench import _demo
from tidegrade_bench import _experiments
from tidegrade_bench import _pages
from tidegrade_bench import _slopes
from tidegrade_bench import _soak
from tidegrade_bench import _up

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)


@app.callback()
def _main() -> None:
    """Development tools."""


@app.command()
def demo() -> None:
    """Run the demonstration."""
    ok = anyio.run(_demo.run)
    raise typer.Exit(0 if ok else 1)


@app.command()
def up() -> None:
    """Run a deployment to try things on, until interrupted."""
    with contextlib.suppress(KeyboardInterrupt):
        anyio.run(_up.run)


@app.command()
def bench(
    only: Annotated[str, typer.Option(help='One experiment.')] = '',
) -> None:
    """Run the experiments."""
    anyio.run(_experiments.run, only)


@app.command()
def costs(
    only: Annotated[str, typer.Option(help='One cost.')] = '',
) -> None:
    """Measure the processor time of requests, idle proxies and starts."""
    anyio.run(_costs.run, only)


@app.command()
def pages() -> None:
    """Write the pages that are made from the program."""
    _pages.write()


@app.command()
def slopes() -> None:
    """Measure costs against counts and write docs/CAPACITY-slopes.md."""
    anyio.run(_slopes.run)


@app.command()
def soak(
    seconds: Annotated[float, typer.Option(help='How long.')] = 60.0,
    seed: Annotated[int, typer.Option(help='The first seed.')] = 0,
) -> None:
    """Run randomised histories of the core under failure."""
    if not _soak.run(seconds, seed):
        raise typer.Exit(1)


if __name__ == '__main__':
    app()
