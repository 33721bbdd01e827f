"""Sites with more proxies than connections per endpoint.

Proxies without a connection forward their requests to proxies that have one.
"""

import signal

import anyio
import pytest
import tidegrade_edge as edge

pytestmark = pytest.mark.anyio

PROXIES = 7


@pytest.fixture
async def scarce_site(run_site, tmp_path):
    """Yield a site whose instances accept fewer connections than proxies."""
    cfg = edge.SiteSettings(proxies=PROXIES, max_conns=5)
    async with run_site(tmp_path, cfg) as made:
        yield made


async def test_every_proxy_serves_within_the_connection_limit(scarce_site):
    for _ in range(3):
        for number in range(PROXIES):
            client = await scarce_site.client(number, name=f'c{number}-')
            assert (await client.ask(f'WRITE x {number}')).error == ''
            assert (await client.ask('READ x')).rows == (str(number),)
            await client.close()
    assert max(i.most_conns for i in scarce_site.instances) <= PROXIES
    settled_conns = [i.conns for i in scarce_site.instances]
    assert max(settled_conns) <= scarce_site.cfg.max_conns


async def test_transactions_run_through_other_proxies(scarce_site):
    for number in range(PROXIES):
        client = await scarce_site.client(number, name=f't{number}-')
        await client.ask('SET zone a')
        await client.ask('PREPARE p WRITE q1')
        assert (await client.ask('BEGIN')).state == 'T'
        assert (await client.ask(f'EXEC p x {number}')).error == ''
        reply = await client.ask('COMMIT')
        assert (reply.error, reply.state) == ('', 'I')
        assert reply.receipt == f'{scarce_site.primary.id}:{client.last_id}'
        await client.ask('BEGIN')
        await client.ask('WRITE x never')
        assert (await client.ask('ROLLBACK')).state == 'I'
        assert (await client.ask('READ x')).rows == (str(number),)
        await client.close()


async def test_a_text_that_is_not_utf8_is_passed_on_unchanged(scarce_site):
    for number in range(PROXIES):
        client = await scarce_site.client(number, name=f'b{number}-')
        await client.send_raw(b'QUERY raw%d WRITE x \xff\xfe\r\n' % number)
        assert (await client.receive()).startswith('DONE ')


async def test_work_of_a_killed_proxy_moves_to_others(scarce_site, until):
    for proxy in scarce_site.proxies[:2]:
        proxy.send(signal.SIGKILL)

    async def all_write() -> bool:
        for number in range(2, PROXIES):
            client = await scarce_site.client(number, 'db-primary')
            reply = await client.ask('WRITE x 1')
            await client.close()
            if reply.error:
                return False
        return True

    await until(all_write)


async def test_a_stopping_proxy_completes_forwarded_transactions(scarce_site):
    clients = [await scarce_site.client(n, name=f's{n}-') for n in (5, 6)]
    for client in clients:
        await client.ask('BEGIN')
        assert (await client.ask('WRITE x 1')).error == ''
    stopped = scarce_site.proxies[:5]
    for proxy in stopped:
        proxy.send(signal.SIGTERM)
    await anyio.sleep(0.4)
    for client in clients:
        assert (await client.ask('COMMIT')).error == ''
    assert [p.process.wait() for p in stopped] == [0] * len(stopped)
