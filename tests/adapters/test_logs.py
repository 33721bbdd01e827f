"""LogEvent and its page docs/EVENTS.md."""

import io
import json
import logging
import pathlib
import re

from tidegrade import logs

ROOT = pathlib.Path(__file__).parents[2]
PAGE = ROOT / 'docs' / 'EVENTS.md'
PLATFORM = ROOT / 'platform'
ROW = re.compile(r'^\| (\d{4}) \| (\w+) \| ([^|]+) \|', re.M)


def test_the_catalogue_names_every_event_as_it_is():
    listed = {
        (int(number), level, text.strip())
        for number, level, text in ROW.findall(PAGE.read_text())
    }
    logged = {
        (event.number, logging.getLevelName(event.level), event.meaning)
        for event in logs.LogEvent
    }
    assert listed == logged


def test_numbers_are_unique():
    numbers = [event.number for event in logs.LogEvent]
    assert len(set(numbers)) == len(numbers)


def test_every_event_is_written_somewhere():
    # Some events are logged by the adapters of the platform only.
    packages = [pathlib.Path(logs.__file__).parents[1], PLATFORM]
    source = ''.join(
        path.read_text()
        for package in packages
        for path in package.rglob('*.py')
        if path.name != 'logs.py'
    )
    unused = [
        e.name for e in logs.LogEvent if f'LogEvent.{e.name}' not in (source)
    ]
    assert unused == []


def test_a_line_is_json_with_the_number():
    stream = io.StringIO()
    logs.configure('p1.abc', stream)
    logs.write(logs.LogEvent.CONFIG_ADOPTED, version=3)
    line = json.loads(stream.getvalue())
    assert line['event'] == 1201
    assert line['proxy'] == 'p1.abc'
    assert line['version'] == 3
    assert line['level'] == 'INFO'
