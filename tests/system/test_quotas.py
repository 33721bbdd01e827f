"""A tenant's limit holds across all proxies in front of PostgreSQL, too.

When each proxy limits tenants on its own, three proxies together grant three
times the limit.
"""

import time

import anyio
import pytest
from tidegrade_bench import _deployment

pytestmark = pytest.mark.anyio

RATE = 20.0
#: Time after which a new quota owner grants the whole limit and a burst has
#: accumulated, in seconds.
NEW_OWNER_PERIOD_S = 4.0


async def send_read(site, url: str):
    """Send a read for a tenant that no other caller uses."""
    key = _deployment.tenant_key('kanwa', 'tenant-b')
    return await site.http.post(
        f'{url}/v1/sites/kanwa/groups/mains-1/statements',
        json={'mode': 'read', 'statements': [{'sql': 'SELECT 1'}]},
        headers={'Authorization': f'Bearer {key}'},
    )


async def wait_full_grants(site) -> None:
    """Wait until the tenant has a quota owner that grants the whole limit."""
    await send_read(site, site.urls[0])
    await anyio.sleep(NEW_OWNER_PERIOD_S)


async def test_all_proxies_together_keep_the_limit(limited):
    done = 0
    await wait_full_grants(limited)
    began = time.monotonic()

    async def flood(url: str) -> None:
        nonlocal done
        while True:
            answer = await send_read(limited, url)
            if answer.status_code == 200:
                done += 1
                continue
            assert answer.status_code == 429
            assert float(answer.headers['retry-after']) >= 0
            await anyio.sleep(0.01)

    with anyio.move_on_after(2.0):
        async with anyio.create_task_group() as tasks:
            for url in limited.urls:
                for _ in range(3):
                    tasks.start_soon(flood, url)
    seconds = time.monotonic() - began
    assert RATE <= done <= RATE * seconds + RATE + 5
