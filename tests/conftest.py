"""Shared pytest settings and the list of known test failures."""

import pathlib

import attrs
import hypothesis
import pytest

# Every run uses the same examples, so that results are reproducible.
hypothesis.settings.register_profile(
    'repeatable', derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile('repeatable')

#: Lists the tests that fail because of a fault not fixed yet, one per line.
KNOWN_FAILURES_FILE = pathlib.Path(__file__).parents[1] / 'KNOWN-RED.txt'


@attrs.frozen
class KnownFailure:
    """One line of the file: ``test | command and seed | seen | issue``."""

    test: str
    command: str
    seen: str
    issue: str


def known_failures() -> list[KnownFailure]:
    """Return the known failures.

    A line that does not have four fields raises a TypeError.
    """
    if not KNOWN_FAILURES_FILE.exists():
        return []
    lines = KNOWN_FAILURES_FILE.read_text().splitlines()
    return [KnownFailure(*line.split(' | ')) for line in lines]


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark known failures as expected, so that only others fail the run."""
    seen = {failure.test: failure.seen for failure in known_failures()}
    for item in items:
        if item.nodeid in seen:
            item.add_marker(
                pytest.mark.xfail(reason=seen[item.nodeid], strict=False)
            )


def pytest_terminal_summary(terminalreporter) -> None:
    """Print the known failures at the end of each run."""
    for failure in known_failures():
        terminalreporter.write_line(
            f'known red: {failure.test}: {failure.seen} '
            f'(issue {failure.issue}; {failure.command})'
        )
