"""Decoding of the platform's data into the product's types."""

import json

from hypothesis import given
from hypothesis import strategies as st
import pytest
from tidegrade_platform import _callers
from tidegrade_platform import _configs
from tidegrade_platform import _lines
from tidegrade_platform import _settings

from tidegrade import core
from tidegrade import sessions
from tidegrade import tenants

SETTINGS = {
    'node_name': 'front-a-1',
    'ip': '10.1.0.8',
    'zone': 'a',
    'listen': {'front': '10.1.0.8:8784', 'ready': '10.1.0.8:8785'},
    'internal_ports': [7440, 7455],
    'heartbeat_ms': 1200,
    'platform': {'address': '10.200.1.7:8783', 'form': 'table'},
    'cloud_api': {'address': '10.200.0.160:8783'},
    'bounds': {'grace_s': 6, 'drain_ms': 7000},
    'a_field_of_next_year': True,
}


def test_settings_are_decoded_and_unknown_fields_ignored():
    cfg = _settings.read(json.dumps(SETTINGS).encode()).unwrap()
    assert (cfg.proxy.name, cfg.proxy.domain) == ('front-a-1', 'a')
    assert cfg.proxy.peer_port == 7440
    assert cfg.metrics == _settings.Address('10.1.0.8', 7441)
    assert cfg.store == _settings.Address('10.200.1.7', 8783)
    assert cfg.proxy.settle_s == pytest.approx(2.4)


@pytest.mark.parametrize(
    ('change', 'expected'),
    [
        ({}, 1.0),
        ({'limits': None}, 1.0),
        ({'limits': {}}, 1.0),
        ({'limits': {'cpu_share': 0.5}}, 1.0),
        ({'limits': {'cpu_share': 0, 'cpu_cores': 2}}, 1.0),
        ({'limits': {'cpu_share': 0.537, 'cpu_cores': 2, 'x': 'y'}}, 1.074),
        ({'limits': {'cpu_share': 1, 'cpu_cores': 2.15}}, 2.15),
    ],
)
def test_capacity_is_the_share_of_the_cores(change, expected):
    """Without limits a VM must count like those of older proxies."""
    raw = json.dumps({**SETTINGS, **change}).encode()
    cfg = _settings.read(raw).unwrap()
    assert cfg.proxy.capacity == pytest.approx(expected)


@pytest.mark.parametrize(
    'change',
    [
        {'node_name': 7},
        {'limits': {'cpu_share': 'half', 'cpu_cores': 2}},
        {'internal_ports': []},
        {'listen': {'front': 'nowhere'}},
        {'platform': {}},
    ],
)
def test_invalid_settings_return_errors(change):
    raw = json.dumps({**SETTINGS, **change}).encode()
    assert _settings.read(raw).unwrap_err()


@given(st.binary(max_size=60))
def test_any_settings_file_is_settings_or_errors(raw):
    assert _settings.read(raw).is_err()


def route(**changes: object) -> dict[str, object]:
    return {
        'name': 'r-1',
        'host': 'db1',
        'key_prefix': '/',
        'consistency': 'session',
        'timeout_ms': 800,
        'target_latency_ms': 250,
        'priority': 2,
        'service': 'svc',
        'max_attempts': 2,
        'max_staleness_ms': 2500,
        **changes,
    }


@pytest.mark.parametrize(
    ('kind', 'max_age', 'own_writes'),
    [('primary', 0.0, False), ('bounded', 2.5, False), ('session', 2.5, True)],
)
def test_a_route_sets_the_staleness_of_reads(kind, max_age, own_writes):
    config = {
        'version': 7,
        'routes': [route(consistency=kind)],
        'services': [{'name': 'svc', 'max_conns': 23}],
        'limits': {'tx_idle_ms': 3000},
    }
    found = _configs.decode_config(json.dumps(config).encode()).unwrap()
    assert found.version == 7
    assert found.routes['db1'].max_age == max_age
    assert found.routes['db1'].own_writes is own_writes
    assert found.groups['svc'].max_connections == 23


def tenant(**changes: object) -> dict[str, object]:
    return {
        'name': 'bode960',
        'api_keys': ['nirth5mgjy5rcpihhacr', 'uddedev3nax7u27gxpry'],
        'priority': 1,
        'rate_per_s': 67,
        'burst': 67,
        **changes,
    }


def shared(*listed: object, **changes: object) -> bytes:
    config = {
        'version': 7,
        'routes': [route(), route(host='open', public=True)],
        'services': [{'name': 'svc', 'max_conns': 29}],
        'limits': {'tx_idle_ms': 3000},
        'tenants': list(listed),
        **changes,
    }
    return json.dumps(config).encode()


def test_keys_are_replaced_by_hashes_before_anything_is_kept():
    kept = _configs.without_keys(shared(tenant()))
    for key in tenant()['api_keys']:
        assert key.encode() not in kept
    assert _configs.without_keys(kept) == kept
    found = _configs.decode_config(kept).unwrap()
    assert found.keyring is not None
    (holder,) = found.keyring
    assert (holder.name, holder.rate, holder.burst) == ('bode960', 67, 67)
    for key in tenant()['api_keys']:
        assert found.keyring.holder_of(tenants.key_hash(key)) is holder
        assert key not in repr(found)
    assert found.keyring.holder_of(tenants.key_hash('x')) is None


def test_without_tenants_no_caller_needs_a_key():
    raw = json.loads(shared())
    del raw['tenants']
    found = _configs.decode_config(json.dumps(raw).encode()).unwrap()
    caller = tenants.Caller.presenting('anything')
    access = sessions.resolve_access(found, 'db1', caller).unwrap()
    assert access.tenant_name == ''


def test_with_tenants_only_public_routes_need_no_key():
    found = _configs.decode_config(
        _configs.without_keys(shared(tenant()))
    ).unwrap()
    stranger = tenants.Caller.presenting('zaqti8vm2bnc0lpwxeoq')
    refused = sessions.resolve_access(found, 'db1', stranger)
    assert refused.unwrap_err() is core.Code.UNAUTHORIZED
    assert (
        sessions.resolve_access(found, 'open', stranger).unwrap().tenant
        is None
    )
    known = tenants.Caller.presenting('nirth5mgjy5rcpihhacr')
    for database in ('db1', 'open'):
        access = sessions.resolve_access(found, database, known).unwrap()
        assert access.tenant_name == 'bode960'


@pytest.mark.parametrize(
    'listed',
    [
        [7],
        [tenant(api_keys='nirth5mgjy5rcpihhacr')],
        [tenant(api_keys=[7])],
        [tenant(name=None)],
        [tenant(rate_per_s='67')],
    ],
)
def test_an_invalid_tenant_is_refused_without_revealing_its_keys(listed):
    kept = _configs.without_keys(shared(*listed))
    assert b'nirth5mgjy5rcpihhacr' not in kept
    errors = _configs.decode_config(kept).unwrap_err()
    assert errors
    assert not any('nirth5mgjy5rcpihhacr' in text for text in errors)


@pytest.mark.parametrize('depth', [300, 1_000, 5_000])
def test_a_deeply_nested_configuration_is_refused_without_its_keys(depth):
    """One that could be read but not written ended each process."""
    nested = b', "later": ' + b'[' * depth + b']' * depth + b'}'
    kept = _configs.without_keys(shared(tenant())[:-1] + nested)
    errors = _configs.decode_config(kept).unwrap_err()
    assert 'nirth5mgjy5rcpihhacr' not in ''.join(errors)


@given(st.binary(max_size=60))
def test_without_keys_accepts_any_bytes(raw):
    _configs.without_keys(raw)


def test_positions_survive_a_round_trip():
    position = core.Position(3, 1207)
    text = _lines.position_text(position)
    assert _lines.parse_position(text) == position
    assert _lines.parse_ready('T -').position is None


@pytest.mark.parametrize(
    ('line', 'command'),
    [
        ('QUERY 1 BEGIN READ', sessions.Begin('1', read_only=True)),
        ('QUERY 1 READ 1a4', sessions.Run('1', 'READ 1a4', writes=False)),
        ('QUERY 1 SET a b c', sessions.SetValue('1', 'a', 'b c')),
        (
            'QUERY 1 PREPARE s WRITE q 2',
            sessions.Prepare('1', 's', core.Prepared('q 2', writes=True)),
        ),
        ('QUERY 1 EXEC s 1a4 x', sessions.Execute('1', 's', '1a4 x')),
    ],
)
def test_statements_are_parsed(line, command):
    assert _callers.parse_command(line) == command


@given(st.text(max_size=80))
def test_any_line_is_a_command_or_a_bad_message(line):
    try:
        _callers.parse_command(line)
    except _callers.BadMessage:
        return
