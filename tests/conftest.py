"""Settings that all tests share, and the failures that are known."""

import pathlib

import attrs
import hypothesis
import pytest

# The same examples every time: a verdict must not depend on the day.
hypothesis.settings.register_profile(
    'repeatable', derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile('repeatable')

#: Tests that fail for a fault which is not mended yet, a line each.
KNOWN_RED = pathlib.Path(__file__).parents[1] / 'KNOWN-RED.txt'
#: More lines than this mean that faults pile up instead of being mended.
MOST_KNOWN = 3


@attrs.frozen
class KnownRed:
    """A line of the file: ``test | cause | issue``."""

    test: str
    cause: str
    issue: str


def known_red() -> list[KnownRed]:
    """Read the file; a line of another form, or too many, is an error."""
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text().splitlines()
    if len(lines) > MOST_KNOWN:
        raise pytest.UsageError(f'{KNOWN_RED.name}: over {MOST_KNOWN} lines')
    return [KnownRed(*line.split(' | ')) for line in lines]


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Let a known failure not fail the run; whatever else fails does."""
    causes = {red.test: red.cause for red in known_red()}
    for item in items:
        if item.nodeid in causes:
            item.add_marker(
                pytest.mark.xfail(reason=causes[item.nodeid], strict=False)
            )


def pytest_terminal_summary(terminalreporter) -> None:
    """Print the known failures at the end of every run."""
    for red in known_red():
        terminalreporter.write_line(
            f'known red: {red.test}: {red.cause} (issue {red.issue})'
        )
