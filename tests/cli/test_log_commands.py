"""``tidegrade logs`` on the log lines of several proxies."""

import json
import pathlib

import pytest
import typer.testing

from tidegrade.cli import _main


def line(second: float, proxy: str, event: int, **fields: object) -> str:
    """Return a proxy's log line with the prefix of a log collector."""
    whole, part = divmod(second, 1)
    return f'{proxy} | ' + json.dumps(
        {
            'time': f'2026-01-21 00:32:{int(whole):02d},{int(part * 1e3):03d}',
            'level': 'INFO',
            'message': 'told',
            'proxy': proxy,
            'event': event,
            **fields,
        }
    )


@pytest.fixture
def logs(tmp_path: pathlib.Path) -> list[str]:
    """Return two log files; one line of the second is cut off."""
    first = [
        line(1.0, 'p1', 1402),
        line(2.2, 'p1', 1604, request='ab', kind='Run', code='no_primary'),
        line(2.4, 'p1', 1603, request='cd', kind='Run', took_ms=9.0),
        line(3.1, 'p1', 1603, request='ef', kind='Execute', took_ms=400.0),
    ]
    second = [
        line(2.3, 'p2', 1603, request='ab', kind='Run', took_ms=5, via='p1'),
        line(2.35, 'p2', 1301, group='g', term=2),
        line(2.1, 'p3', 1301, group='g', term=2),
        line(2.5, 'p2', 1603)[:60],
    ]
    files = []
    for number, lines in enumerate((first, second)):
        file = tmp_path / f'{number}.log'
        file.write_text('\n'.join(['no line of ours', *lines]))
        files.append(str(file))
    return files


def run(*words: str, text: str = '') -> typer.testing.Result:
    return typer.testing.CliRunner().invoke(
        _main.app, ['logs', *words], input=text
    )


def test_answers_are_counted_by_interval_and_kind(logs):
    found = run('summary', *logs)
    rows = found.stdout.splitlines()
    assert 'in time 2, no_primary 1  (run no_primary 1)' in rows[0]
    assert 'late 1  (execute late 1)' in rows[1]
    assert '1 lines could not be read' in found.stderr


def test_a_request_is_printed_with_state_events_of_its_proxies(logs):
    rows = run('request', 'ab', *logs).stdout.splitlines()
    assert [row.split()[1] for row in rows] == ['p1', 'p1', 'p2']
    assert [row.split()[2] for row in rows] == ['1402', '1604', '1603']


def test_an_unknown_request_is_an_error(logs):
    found = run('request', 'zz', *logs)
    assert found.exit_code == 1
    assert 'zz' in found.stderr


def test_standard_input_is_read_without_files(logs):
    found = run('summary', text=pathlib.Path(logs[0]).read_text())
    assert len(found.stdout.splitlines()) == 2
