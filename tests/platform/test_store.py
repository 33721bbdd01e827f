"""Decoding of answers of the platform's store, also of malformed ones."""

import json

from hypothesis import given
from hypothesis import strategies as st
import pytest
import result
from tidegrade_platform import _http
from tidegrade_platform import _settings
from tidegrade_platform import _store

from tidegrade import ports

pytestmark = pytest.mark.anyio

ROW = {'table': 't', 'part': '', 'key': 'k', 'ver': 3, 'value': 'eyJ9'}
PAGE = {'rows': [ROW], 'ver': 9, 'now_ms': 1, 'truncated': False}
#: Bodies that are not a valid answer to any call.
BODIES = [
    b'',
    b'\xff',
    b'[]',
    b'7',
    b'{}',
    json.dumps({**PAGE, 'ver': '9'}).encode(),
    json.dumps({**PAGE, 'rows': None}).encode(),
    json.dumps({**PAGE, 'rows': [7]}).encode(),
    json.dumps({**PAGE, 'rows': [{**ROW, 'key': None}]}).encode(),
    json.dumps({**PAGE, 'rows': [{**ROW, 'value': 'e'}]}).encode(),
    json.dumps({**PAGE, 'rows': [{**ROW, 'value': 7}]}).encode(),
    b'[' * 60_000,
]


@pytest.fixture
def anyio_backend() -> str:
    return 'asyncio'


@pytest.fixture
def store_receiving(monkeypatch):
    """Return a function that makes a store which receives a given body."""

    def make(body: bytes) -> _store.Store:
        async def ask(*args):
            return result.Ok(_http.HttpResponse(200, body))

        store = _store.Store(_settings.Address('127.0.0.1', 1))
        monkeypatch.setattr(store._client, 'ask', ask)
        return store

    return make


async def test_an_answer_is_decoded(store_receiving):
    store = store_receiving(json.dumps(PAGE).encode())
    found = (await store.snapshot('t')).unwrap()
    assert found == _store.Snapshot([_store.Row('k', b'{"}', 3)], 9)


async def test_a_removed_row_is_none(store_receiving):
    gone = {'table': 't', 'part': '', 'key': 'k', 'ver': 3, 'removed': True}
    store = store_receiving(json.dumps({**PAGE, 'rows': [gone]}).encode())
    assert (await store.feed('t', 1, 1.0)).unwrap().rows == {'k': None}


@pytest.mark.parametrize('body', BODIES, ids=lambda raw: raw[:40].decode('l1'))
async def test_an_invalid_answer_is_a_failure(store_receiving, body):
    store = store_receiving(body)
    assert (await store.snapshot('t')).is_err()
    assert (await store.feed('t', 1, 1.0)).is_err()
    if b'"ver": 9' not in body:
        written = await store.write('k', b'v', None)
        assert written.unwrap_err() is ports.WriteProblem.UNKNOWN


@given(st.binary(max_size=60))
def test_any_bytes_are_a_page_or_a_reason(body):
    assert _store._decode_page(body).is_err()
