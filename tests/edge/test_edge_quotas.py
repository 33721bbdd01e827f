"""One quota over all proxies, as callers and instances see it."""

import signal

import anyio
import pytest
import tidegrade_edge as edge

pytestmark = pytest.mark.anyio

KEY = 'nirth5mgjy5rcpihhacr'
RATE = 20.0
#: Time after which a keeper grants the whole limit, in seconds, and a burst
#: is saved up.
NEW_OWNER_PERIOD_S = 4.0
#: Sessions that flood one proxy: more than may wait for their turn.
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
async def limited(site, until):
    """Give a site whose one tenant has a limit over all proxies."""
    site.configure(tenants=[tenant()])

    async def in_force() -> bool:
        found = [await refuses(site, n) for n in range(len(site.proxies))]
        return all(found)

    await until(in_force)
    client = await site.client(0, name='s', key=KEY)
    await client.ask('READ x')
    await client.close()
    await anyio.sleep(NEW_OWNER_PERIOD_S)
    return site


async def refuses(site, number: int) -> bool:
    """Tell whether a proxy turns a stranger away."""
    port = site.proxies[number].front
    client = await edge.Client.connect(port, 'db-own', key='stranger')
    if client is None:
        return True
    await client.close()
    return False


async def flood(site, seconds: float, proxies=(0, 1, 2)) -> list[str]:
    """Ask as fast as can be through proxies; give the codes of refusals."""
    refused: list[str] = []

    async def ask(number: int) -> None:
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
                    tasks.start_soon(ask, number)
    return refused


def runs_of(site, prefix: str = 'f') -> int:
    return sum(
        run.request_id.startswith(prefix)
        for instance in site.instances
        for run in instance.runs
    )


async def test_all_proxies_together_keep_the_limit(limited):
    refused = await flood(limited, 2.0)
    assert RATE <= runs_of(limited) <= 2 * RATE + RATE + 5
    assert refused
    for error in refused:
        assert error.startswith('BUSY the tenant is over its quota')
        assert 'retry after' in error


async def test_a_killed_proxy_hands_nothing_out_twice(limited):
    await flood(limited, 1.0)
    limited.proxies[0].send(signal.SIGKILL)
    await flood(limited, 2.0, proxies=(1, 2))
    assert runs_of(limited) <= 3 * RATE + RATE + 5


async def test_a_lower_limit_holds_at_every_proxy(limited, until):
    version = limited.configure(tenants=[tenant(rate=2.0)])

    async def known() -> bool:
        gauge = f'tidegrade_config_version {version}'
        pages = [await limited.metrics_of(n) for n in range(3)]
        return all(gauge in page.replace('{}', '') for page in pages)

    await until(known)
    await flood(limited, 2.0)
    assert runs_of(limited) <= 2 * 2.0 + 2.0 + 5


async def test_who_is_below_the_limit_is_not_refused(limited):
    client = await limited.client(1, key=KEY)
    await client.ask('READ x')
    await anyio.sleep(0.2)
    for _ in range(20):
        assert (await client.ask('READ x')).error == ''
        await anyio.sleep(1 / (RATE * 0.8))
    assert runs_of(limited, 'u') >= 20
