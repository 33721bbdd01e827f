"""Invalid entries in the instance list, written by another client.

One invalid row must not affect the other entries. Without checks, of 25 lists
with one valid and one invalid entry, 16 ended the process of every proxy that
read them, also after each restart, and 9 made the invalid entry an endpoint.
"""

import json

from hypothesis import given
from hypothesis import strategies as st
import pytest
import result
from tidegrade_platform import _directory
from tidegrade_platform import _entries
from tidegrade_platform import _settings
from tidegrade_platform import _store

from tidegrade import logs

pytestmark = pytest.mark.anyio

SOUND = {
    'service': 'svc-1',
    'address': '10.0.0.1:8080',
    'zone': 'a',
    'version': 'v1',
    'slots': 3,
    'state': 'ready',
    'cold_remaining_ms': 0,
    'db_role': 'replica',
    'seq_no': 4,
}
#: Start time of an instance, as Unix time in milliseconds.
BORN = 1_790_000_000_000

#: Changes that make a valid entry invalid, field by field.
CHANGES = [
    {'service': None},
    {'service': 7},
    {'service': ''},
    {'address': None},
    {'address': 'nowhere'},
    {'address': 'a.host.name:80'},
    {'address': '10.0.0.1:70000'},
    {'address': '10.0.0.1:-1'},
    {'address': '10.0.0.1:0'},
    {'address': '10.0.0.1:1e3'},
    {'address': '10.0.0.1: 80'},
    {'address': '10.0.0.1:8_0'},
    {'address': '10.0.0.1:\u0668\u0660'},
    {'address': '0.0.0.0:80'},
    {'address': '224.0.0.1:80'},
    {'address': '255.255.255.255:80'},
    {'address': ['10.0.0.1', 80]},
    {'zone': {'name': 'a'}},
    {'zone': None},
    {'version': 1},
    {'slots': '3'},
    {'slots': 0},
    {'slots': -3},
    {'slots': True},
    {'slots': 3.0},
    {'slots': 10**400},
    {'state': 'resting'},
    {'state': None},
    {'db_role': 'observer'},
    {'db_role': 2},
    {'cold_remaining_ms': 'soon'},
    {'seq_no': 'many'},
    {'born': 'yesterday'},
    {'born': 1.5},
    {'born': -1},
    {'born': None},
    {'born': True},
]
#: Row values that are not entries.
VALUES = [
    b'',
    b'\xff\xfe\x00',
    b'{',
    b'[]',
    b'null',
    b'7',
    b'"ready"',
    b'{}',
    b'[' * 60_000,
    b'{"service": ' * 5_000,
    b'{"slots": ' + b'9' * 60_000 + b'}',
]
BAD = [json.dumps({**SOUND, **change}).encode() for change in CHANGES] + [
    json.dumps({k: v for k, v in SOUND.items() if k != name}).encode()
    for name in SOUND
]
BAD += VALUES


@pytest.fixture
def anyio_backend() -> str:
    return 'asyncio'


class Store:
    """Returns the rows that the test sets."""

    def __init__(self) -> None:
        self.rows: dict[str, bytes] = {}
        #: Versions of the rows; 1 for a row that has none here.
        self.versions: dict[str, int] = {}

    async def snapshot(self, table):
        rows = [
            _store.Row(key, raw, self.versions.get(key, 1))
            for key, raw in self.rows.items()
        ]
        return result.Ok(_store.Snapshot(rows, 1))


@pytest.fixture
def store() -> Store:
    return Store()


@pytest.fixture
def directory(store) -> _directory.Directory:
    return _directory.Directory(store, 3.0)


@pytest.fixture
def logged(monkeypatch) -> list[tuple[logs.LogEvent, dict]]:
    """Collect the log events and their fields."""
    lines: list[tuple[logs.LogEvent, dict]] = []
    for name in ('write', 'write_bounded'):
        monkeypatch.setattr(
            logs, name, lambda event, **fields: lines.append((event, fields))
        )
    return lines


async def listed(directory, store, rows) -> list[str]:
    """Return the endpoint ids that a list of these rows yields."""
    store.rows = rows
    found = (await directory.endpoints()).unwrap()
    return [entry.id for entry in found.entries]


@pytest.mark.parametrize('bad', BAD, ids=lambda raw: raw[:40].decode('latin1'))
async def test_an_invalid_entry_is_ignored_and_the_others_are_used(
    directory, store, bad
):
    rows = {'i-0': bad, 'i-1': json.dumps(SOUND).encode(), 'i-2': bad}
    assert await listed(directory, store, rows) == ['i-1']


@pytest.mark.parametrize(
    'change',
    [{}, {'born': BORN}, {'state': 'draining'}, {'of_next_year': [1]}],
    ids=str,
)
async def test_a_valid_entry_is_used(directory, store, change):
    rows = {'i-1': json.dumps({**SOUND, **change}).encode()}
    assert await listed(directory, store, rows) == ['i-1']


async def test_an_entry_that_becomes_unreadable_is_ignored(directory, store):
    rows = {'i-1': json.dumps(SOUND).encode()}
    assert await listed(directory, store, rows) == ['i-1']
    assert await listed(directory, store, {'i-1': b'\xff'}) == []
    assert await listed(directory, store, rows) == ['i-1']


async def test_an_invalid_entry_is_logged_when_it_appears_and_disappears(
    directory, store, logged
):
    """It is not logged at each read: 100 rows are read every 2 s."""
    bad = {f'i-{number}': b'{' for number in range(100)}
    for _ in range(50):
        await listed(directory, store, bad)
    assert len(logged) == 100
    await listed(directory, store, {'i-0': json.dumps(SOUND).encode()})
    events = [event for event, _ in logged]
    assert events[:100] == [logs.LogEvent.ENTRY_REFUSED] * 100
    assert events[100:] == [logs.LogEvent.ENTRY_RECOVERED] * 100


@pytest.mark.parametrize('key', ['a-0', 'z-0'])
async def test_a_foreign_service_does_not_name_the_instance_to_promote(
    directory, store, key
):
    """A lost primary stayed without a successor: each call got a 409."""
    other = {**SOUND, 'service': 'no-service'}
    store.rows = {
        'i-1': json.dumps(SOUND).encode(),
        key: json.dumps(other).encode(),
    }
    address = _settings.Address('10.0.0.1', 8080)
    assert await directory.id_of(SOUND['service'], address) == 'i-1'
    assert await directory.id_of('another', address) is None


@pytest.mark.parametrize('key', ['a-0', 'z-0'])
@pytest.mark.parametrize('state', ['ready', 'draining'])
async def test_an_outdated_entry_does_not_replace_that_of_the_instance(
    directory, store, key, state
):
    """The instance's drain was not seen, or it could not be promoted."""
    store.rows = {
        key: json.dumps({**SOUND, 'slots': 2**63}).encode(),
        'i-1': json.dumps({**SOUND, 'state': state}).encode(),
    }
    store.versions = {key: 7, 'i-1': 8}
    (found,) = (await directory.endpoints()).unwrap().entries
    assert (found.id, found.leaving) == ('i-1', state == 'draining')
    address = _settings.Address('10.0.0.1', 8080)
    named = await directory.id_of(SOUND['service'], address)
    assert named == ('i-1' if state == 'ready' else None)


json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False)
    | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=6,
)


@given(st.sampled_from([*sorted(SOUND), 'born']), json_values)
def test_any_value_of_any_field_is_an_entry_or_a_reason(name, value):
    raw = json.dumps({**SOUND, name: value}).encode()
    read = _entries.decode_entry('i-1', raw)
    assert read.is_ok() or read.unwrap_err()


@given(st.binary(max_size=200))
def test_any_bytes_are_an_entry_or_a_reason(raw):
    assert _entries.decode_entry('i-1', raw).is_err()
