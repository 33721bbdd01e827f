"""Each interface of a proxy answers invalid input with a clear error."""

import socket

import pytest
from tidegrade_bench import _deployment

pytestmark = pytest.mark.anyio

READ = {'mode': 'read', 'statements': [{'sql': 'SELECT 1', 'params': []}]}


async def post(site, body, path='/statements', **headers):
    key = _deployment.tenant_key('kanwa', 'tenant-a')
    base = f'{site.urls[0]}/v1/sites/kanwa/groups/mains-1'
    return await site.http.post(
        base + path,
        json=body,
        headers={'Authorization': f'Bearer {key}', **headers},
    )


def problem(answer) -> tuple[int, str, str]:
    assert answer.headers['content-type'] == 'application/problem+json'
    body = answer.json()
    return answer.status_code, body['code'], body['outcome']


async def test_callers_get_clear_errors(site):
    bad_request = (400, 'bad_request', 'not_run')
    unauthorized = (401, 'unauthorized', 'not_run')

    for header in ('', 'Bearer wrong', 'Basic x', 'Bearer ' + 'x' * 5000):
        answer = await post(site, READ, Authorization=header)
        assert problem(answer) == unauthorized
    other = _deployment.tenant_key('rodoviva', 'tenant-a')
    answer = await post(site, READ, Authorization=f'Bearer {other}')
    assert problem(answer) == unauthorized

    invalid_bodies = [
        {**READ, 'mode': 'erase'},
        {**READ, 'statements': []},
        {**READ, 'statements': [{'sql': '  '}]},
        {**READ, 'statements': [{'sql': 'COMMIT'}]},
        {**READ, 'statements': [{'sql': 'SELECT 1', 'params': [[1]]}]},
        {**READ, 'statements': [{'sql': 7}]},
        {**READ, 'statement': 'SELECT 1'},
        {**READ, 'read_class': 'nobody'},
        {**READ, 'max_age_s': -1},
        {**READ, 'statements': [{'sql': 'SELECT 1'}] * 51},
    ]
    for body in invalid_bodies:
        assert problem(await post(site, body)) == bad_request, body
    answer = await post(site, {'mode': 'read', 'statements': [{'sql': 7}]})
    assert '$.statements[0].sql' in answer.json()['detail']

    token = {'Tidegrade-Session': '!!!'}
    assert problem(await post(site, READ, **token)) == bad_request
    deadline = {'Tidegrade-Deadline-Ms': 'soon'}
    assert problem(await post(site, READ, **deadline)) == bad_request
    key = {'Idempotency-Key': 'k'}
    assert problem(await post(site, READ, **key)) == bad_request

    large = {'mode': 'read', 'statements': [{'sql': 'x' * 300_000}]}
    answer = await post(site, large)
    assert problem(answer) == (413, 'bad_request', 'not_run')

    write = {
        'mode': 'read',
        'statements': [{'sql': "INSERT INTO item VALUES ('x', 1)"}],
    }
    answer = await post(site, write)
    assert problem(answer) == (422, 'statement_failed', 'not_run')
    answer = await post(site, {}, '/transactions/p~1/commit')
    assert problem(answer)[2] == 'not_run'

    assert (await post(site, READ)).status_code == 200


async def test_raw_bytes_do_no_harm(site):
    proxy = site.deployment.proxies[0]
    for port in (proxy.port, proxy.peer_port):
        for payload in (b'\0' * 100, b'\xff' * 5000, b'GET / HTTP/9\r\n\r\n'):
            with socket.create_connection(('127.0.0.1', port)) as sock:
                sock.sendall(payload)
                sock.settimeout(5)
                while True:
                    try:
                        if not sock.recv(4096):
                            break
                    except (ConnectionError, TimeoutError):
                        break
    assert proxy.process.alive
    assert (await post(site, READ)).status_code == 200


async def test_operators_need_their_own_key(site):
    tenant = _deployment.tenant_key('kanwa', 'tenant-a')
    for path in ('/config', '/config/history', '/status'):
        answer = await site.http.get(
            f'{site.urls[0]}/admin/v1{path}',
            headers={'Authorization': f'Bearer {tenant}'},
        )
        assert answer.status_code == 401


async def test_health_and_metrics(site):
    url = site.urls[0]
    assert (await site.http.get(f'{url}/health/live')).status_code == 200
    assert (await site.http.get(f'{url}/health/ready')).status_code == 200
    await post(site, READ)
    page = (await site.http.get(f'{url}/metrics')).text
    assert 'tidegrade_tenant_latency_seconds_bucket' in page
    assert 'tidegrade_class_latency_seconds_bucket' in page
