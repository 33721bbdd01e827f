"""``python -m tidegrade_bench COMMAND``."""

import anyio
import typer

from tidegrade_bench import _demo

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


if __name__ == '__main__':
    app()
