"""A store that is restored from an older copy of its data.

The restored store lacks the row of a term that the proxies know. Proxies that
relied on acknowledged rows being permanent could no longer replace a primary,
since each attempt failed at once on a row other than the known one: event
1304 every 0.1 to 0.6 s with "the row has changed" at every proxy, no event
1303, and no write for 30 s. Proxies that started later took the former primary
for the current one, and terms were assigned twice.
"""

import anyio
import pytest

pytestmark = pytest.mark.anyio

#: Time limit for the proxies to write their rows again, in seconds. The limit
#: includes a margin for a machine that is busy with other tests.
REWRITE_TIMEOUT_S = 9.0


async def write(site, number: int = 0) -> str:
    """Write once through a proxy and return the error code, or ''."""
    client = await site.client(number, 'db-primary', name=f'p{number}-')
    reply = await client.ask('WRITE x 1')
    await client.close()
    return reply.code


@pytest.fixture
def wait_writable(until):
    """Return a function that waits until every proxy accepts a write."""

    async def wait(site) -> None:
        async def everywhere() -> bool:
            numbers = range(len(site.proxies))
            try:
                codes = [await write(site, number) for number in numbers]
            except (OSError, anyio.EndOfStream, AssertionError):
                return False
            return not any(codes)

        await until(everywhere)

    return wait


@pytest.fixture
async def restored_site(site, wait_writable):
    """Yield a site whose restored store lacks the last failover."""
    copy = site.store.copy()
    site.primary.crash()
    await wait_writable(site)
    site.store.faults.refusing = True
    await anyio.sleep(0.5)
    site.come_back(copy)
    site.store.faults.refusing = False
    return site


def assert_numbers_rise(site) -> None:
    """Check that each promotion has a higher number than all before it."""
    numbers = [number for _, _, number in site.promotions]
    assert numbers == sorted(set(numbers))


async def test_a_primary_is_replaced_after_a_restore(
    restored_site, wait_writable
):
    site = restored_site
    await wait_writable(site)
    for instance in site.instances:
        if instance.state == 'crashed':
            site.restart_instance(instance)
    await anyio.sleep(1.0)
    former = site.primary
    former.crash()
    await wait_writable(site)
    assert site.primary is not former
    assert_numbers_rise(site)


async def test_the_row_is_written_again_after_a_restore(restored_site, until):
    site = restored_site
    leader = f'127.0.0.1:{site.primary.port}'

    async def names_the_primary() -> bool:
        row = site.store.get('tidegrade', 'groups/platform/svc-1') or b''
        return f'"primary":"{leader}"'.encode() in row

    await until(names_the_primary, REWRITE_TIMEOUT_S)


async def test_writes_continue_after_a_restore(restored_site):
    for number in range(12):
        assert await write(restored_site, number % 3) == ''
        await anyio.sleep(0.2)


async def test_proxies_that_all_restart_find_the_primary(
    restored_site, wait_writable
):
    """No proxy knows the newest row; only the instances know the primary."""
    site = restored_site
    for number, proxy in enumerate(site.proxies):
        proxy.process.kill()
        proxy.process.wait()
        site.restart_proxy(number)
    await wait_writable(site)
    assert_numbers_rise(site)


async def test_a_proxy_registers_again_after_a_restore(restored_site, until):
    site = restored_site
    copy = site.store.copy()
    for key in list(copy.rows):
        if key[1].startswith('proxies/'):
            del copy.rows[key]
    site.come_back(copy)

    async def all_registered() -> bool:
        rows = site.store.table('tidegrade')
        return sum(key.startswith('proxies/') for key in rows) == 3

    await until(all_registered, REWRITE_TIMEOUT_S)


async def test_an_older_list_of_instances_is_accepted_after_a_restore(
    restored_site, until
):
    """The restored list has a lower version than the known one."""
    site = restored_site
    copy = site.store.copy()
    site.store.version += 10_000
    # Longer than the interval between two reads of the list.
    await anyio.sleep(3.0)
    site.come_back(copy)
    old = site.primary
    old.state = 'draining'

    async def replaced() -> bool:
        return site.primary is not old and await write(site) == ''

    await until(replaced)
