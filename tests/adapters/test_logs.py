"""LogEvent and its page docs/EVENTS.md."""

import io
import json
import logging
import pathlib
import re

from hypothesis import given
from hypothesis import strategies as st
from pythonjsonlogger import json as jsonlogger

from tidegrade import logs
from tidegrade.logs import _format

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


class _Unknown:
    """A value that JSON has no form for."""

    def __repr__(self) -> str:
        return '<unknown>'


_VALUES = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(st.characters(exclude_categories=()))
    | st.sampled_from([logs.LogEvent.STARTED, _Unknown(), b'\xff'])
)


@given(
    fields=st.dictionaries(
        st.sampled_from(['group', 'took_ms', 'detail', 'level', 'time']),
        _VALUES | st.lists(_VALUES),
    ),
    event=st.sampled_from(list(logs.LogEvent)),
    created=st.floats(0, 4e9),
)
def test_a_line_is_the_one_of_the_library_formatter(fields, event, created):
    """Readers rely on the order and the form of the fields in a line."""
    usual = jsonlogger.JsonFormatter(
        ['asctime', 'levelname', 'message'],
        rename_fields={'asctime': 'time', 'levelname': 'level'},
        static_fields={'proxy': 'p1.abc'},
    )
    records = [
        logging.LogRecord('x', event.level, '', 0, event.meaning, None, None)
        for _ in range(2)
    ]
    for record in records:
        record.created = created
        record.msecs = int((created - int(created)) * 1000) + 0.0
    values = {'event': event.number, **fields}
    records[0].__dict__[_format.FIELDS] = values
    records[1].__dict__.update(values)
    line = _format.EventFormatter('p1.abc').format(records[0])
    assert line == usual.format(records[1])


def test_a_record_without_event_fields_is_formatted_too():
    record = logging.LogRecord('x', logging.ERROR, '', 0, 'm', None, None)
    line = json.loads(_format.EventFormatter('p1').format(record))
    assert (line['message'], line['level']) == ('m', 'ERROR')
