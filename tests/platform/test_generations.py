"""Versions of the store are valid within one of its generations only.

`tests/edge/test_edge_restore.py` describes the fault that these tests guard
against.
"""

import json

import pytest
import result
from tidegrade_platform import _http
from tidegrade_platform import _settings
from tidegrade_platform import _store

from tidegrade import ports

pytestmark = pytest.mark.anyio

ROW = {'table': 't', 'part': '', 'key': 'k', 'ver': 3, 'value': 'eyJ9'}


@pytest.fixture
def anyio_backend() -> str:
    return 'asyncio'


class Platform:
    """Answers each call with the same row and the set generation."""

    def __init__(self) -> None:
        self.era: str | None = '1'
        self.version = 9
        self.status = 200
        self.targets: list[str] = []

    async def ask(self, method, target, *args):
        self.targets.append(target)
        page = {'rows': [ROW], 'ver': self.version, 'now_ms': 1}
        headers = ((b'content-type', b'application/json'),)
        if self.era is not None:
            headers += ((b'store-era', self.era.encode()),)
        return result.Ok(
            _http.HttpResponse(self.status, json.dumps(page).encode(), headers)
        )


@pytest.fixture
def platform() -> Platform:
    return Platform()


@pytest.fixture
def store(platform, monkeypatch) -> _store.Store:
    made = _store.Store(_settings.Address('127.0.0.1', 1))
    monkeypatch.setattr(made._client, 'ask', platform.ask)
    return made


async def test_the_generation_is_learned_from_any_answer(store, platform):
    assert store.generation == 0
    platform.status = 503
    await store.read('k')
    assert store.generation == 1


async def test_a_store_without_the_header_has_one_generation(store, platform):
    platform.era = None
    found = (await store.read('k')).unwrap()
    assert found == ports.Versioned(b'{"}', '3')
    assert (await store.write('k', b'', found.tag)).is_ok()


@pytest.mark.parametrize('era', ['', 'x', '-1', '1.5', '1 2', '9' * 30])
async def test_an_answer_with_an_invalid_generation_is_a_failure(
    store, platform, era
):
    platform.era = era
    assert (await store.read('k')).is_err()
    assert store.generation == 0


async def test_an_answer_of_an_earlier_generation_is_refused(store, platform):
    platform.era = '5'
    await store.read('k')
    platform.era = '4'
    assert (await store.read('k')).is_err()
    assert store.generation == 5


async def test_a_version_of_a_later_generation_is_greater(store, platform):
    platform.version = 900
    before = (await store.snapshot('t')).unwrap().version
    platform.era, platform.version = '2', 3
    assert (await store.snapshot('t')).unwrap().version > before


async def test_a_condition_of_an_earlier_generation_is_not_sent(
    store, platform
):
    """The version may have been assigned again, to another row."""
    tag = (await store.read('k')).unwrap().tag
    platform.era = '2'
    await store.read('k')
    calls = len(platform.targets)
    assert await store.write('k', b'', tag) == result.Err(
        ports.WriteProblem.CONFLICT
    )
    assert (await store.delete('k', tag)).is_err()
    assert len(platform.targets) == calls


async def test_a_feed_of_an_earlier_generation_has_no_history(store, platform):
    after = (await store.snapshot('t')).unwrap().version
    platform.era = '2'
    # The answer reports the new generation, whose earlier changes it lacks.
    assert (await store.feed('t', after, 1.0)).unwrap() is None
    calls = len(platform.targets)
    assert (await store.feed('t', after, 1.0)).unwrap() is None
    assert len(platform.targets) == calls


async def test_a_generation_change_between_pages_is_a_failure(
    store, platform, monkeypatch
):
    async def ask(method, target, *args):
        answer = (await platform.ask(method, target)).unwrap()
        platform.era = '2'
        page = {**json.loads(answer.body), 'truncated': True}
        body = json.dumps(page).encode()
        return result.Ok(_http.HttpResponse(200, body, answer.headers))

    monkeypatch.setattr(store._client, 'ask', ask)
    assert (await store.snapshot('t')).is_err()
