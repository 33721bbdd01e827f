"""A tenant's quota is enforced across all proxies."""

import signal

import anyio
import pytest
import tidegrade_edge as edge

pytestmark = pytest.mark.anyio

KEY = 'nirth5mgjy5rcpihhacr'
RATE = 20.0
#: Time after which a new quota owner grants the whole limit and a burst has
#: accumulated, in seconds.
NEW_OWNER_PERIOD_S = 4.0
#: Sessions that flood each proxy: more than its queue admits.
SESSIONS = 6


def tenant(rate: float = RATE):
    return {
        'name': 'bode960',
        'api_keys': [KEY],
        'priority': 1,
        'rate_per_s': rate,
        'burst': rate,
    }


@pytest.fixture
async def limited_site(site, until):
    """Yield a site whose only tenant has a limit across all proxies."""
    site.configure(tenants=[tenant()])

    async def in_force() -> bool:
        found = [
            await rejects_unknown_key(site, n)
            for n in range(len(site.proxies))
        ]
        return all(found)

    await until(in_force)
    client = await site.client(0, name='s', key=KEY)
    await client.ask('READ x')
    await client.close()
    await anyio.sleep(NEW_OWNER_PERIOD_S)
    return site


async def rejects_unknown_key(site, number: int) -> bool:
    """Return whether a proxy rejects an unknown key."""
    port = site.proxies[number].front
    client = await edge.Client.connect(port, 'db-own', key='stranger')
    if client is None:
        return True
    await client.close()
    return False


async def flood(site, seconds: float, proxies=(0, 1, 2)) -> list[str]:
    """Send reads as fast as possible and return the errors of refusals."""
    refused: list[str] = []

    async def send_reads(number: int) -> None:
        client = await site.client(number, name=f'f{number}-', key=KEY)
        while True:
            reply = await client.ask('READ x')
            if reply.code:
                refused.append(reply.error)
                await anyio.sleep(0.002)

    with anyio.move_on_after(seconds):
        async with anyio.create_task_group() as tasks:
            for number in proxies:
                for _ in range(SESSIONS):
                    tasks.start_soon(send_reads, number)
    return refused


def count_runs(site, prefix: str = 'f') -> int:
    return sum(
        run.request_id.startswith(prefix)
        for instance in site.instances
        for run in instance.runs
    )


async def test_all_proxies_together_keep_the_limit(limited_site):
    refused = await flood(limited_site, 2.0)
    assert RATE <= count_runs(limited_site) <= 2 * RATE + RATE + 5
    assert refused
    for error in refused:
        assert error.startswith('BUSY the tenant is over its quota')
        assert 'retry after' in error


async def test_grants_of_a_killed_proxy_are_not_issued_again(limited_site):
    await flood(limited_site, 1.0)
    limited_site.proxies[0].send(signal.SIGKILL)
    await flood(limited_site, 2.0, proxies=(1, 2))
    assert count_runs(limited_site) <= 3 * RATE + RATE + 5


async def test_a_lower_limit_holds_at_every_proxy(limited_site, until):
    version = limited_site.configure(tenants=[tenant(rate=2.0)])

    async def in_force_everywhere() -> bool:
        gauge = f'tidegrade_config_version {version}'
        pages = [await limited_site.metrics_of(n) for n in range(3)]
        return all(gauge in page.replace('{}', '') for page in pages)

    await until(in_force_everywhere)
    await flood(limited_site, 2.0)
    assert count_runs(limited_site) <= 2 * 2.0 + 2.0 + 5


async def test_a_caller_below_the_limit_is_not_refused(limited_site):
    client = await limited_site.client(1, key=KEY)
    await client.ask('READ x')
    await anyio.sleep(0.2)
    for _ in range(20):
        assert (await client.ask('READ x')).error == ''
        await anyio.sleep(1 / (RATE * 0.8))
    assert count_runs(limited_site, 'u') >= 20


async def test_an_owner_that_stops_hands_the_quota_over(limited_site):
    """Guards against a fifth of the limit for 2.6 s after a regular stop."""
    await flood(limited_site, 1.5)
    granted = [limited_site.log_of(n).count('"event": 1608') for n in range(3)]
    owner = granted.index(max(granted))
    others = tuple(n for n in range(3) if n != owner)
    limited_site.proxies[owner].send(signal.SIGTERM)
    await anyio.sleep(0.5)
    await flood(limited_site, 1.5, proxies=others)
    assert '"event": 1609' in limited_site.log_of(owner)
    taken_over = [
        line
        for n in others
        for line in limited_site.log_of(n).splitlines()
        if '"event": 1610' in line
    ]
    assert len(taken_over) == 1
    assert '"accepted": true' in taken_over[0]
    assert 2.5 * RATE <= count_runs(limited_site) <= 3.5 * RATE + RATE + 5
