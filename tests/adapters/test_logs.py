"""Logged events and their catalogue."""

import io
import json
import logging
import pathlib
import re

from tidegrade.adapters import _logs

PAGE = pathlib.Path(__file__).parents[2] / 'docs' / 'EVENTS.md'
ROW = re.compile(r'^\| (\d{4}) \| (\w+) \| ([^|]+) \|', re.M)


def test_the_catalogue_names_every_event_as_it_is():
    listed = {
        (int(number), level, text.strip())
        for number, level, text in ROW.findall(PAGE.read_text())
    }
    logged = {
        (event.number, logging.getLevelName(event.level), event.meaning)
        for event in _logs.LogEvent
    }
    assert listed == logged


def test_numbers_are_unique():
    numbers = [event.number for event in _logs.LogEvent]
    assert len(set(numbers)) == len(numbers)


def test_every_event_is_written_somewhere():
    package = pathlib.Path(_logs.__file__).parents[1]
    source = ''.join(
        path.read_text()
        for path in package.rglob('*.py')
        if path.name != '_logs.py'
    )
    unused = [
        e.name for e in _logs.LogEvent if f'LogEvent.{e.name}' not in (source)
    ]
    assert unused == []


def test_a_line_is_json_with_the_number():
    stream = io.StringIO()
    _logs.configure('p1.abc', stream)
    _logs.write(_logs.LogEvent.CONFIG_ADOPTED, version=3)
    line = json.loads(stream.getvalue())
    assert line['event'] == 1201
    assert line['proxy'] == 'p1.abc'
    assert line['version'] == 3
    assert line['level'] == 'INFO'
