"""Sites whose proxies run on VMs of unequal capacity."""

import json
import re
import signal

import pytest
import tidegrade_edge as edge

pytestmark = pytest.mark.anyio

#: In each of the three zones one large VM and two small ones.
CORES = (2.15,) * 3 + (0.361,) * 6


@pytest.fixture
async def unequal_site(run_site, tmp_path):
    """Yield a site with a large VM in each zone."""
    cfg = edge.SiteSettings(proxies=len(CORES), cores=CORES)
    async with run_site(tmp_path, cfg) as made:
        yield made


async def connected(site, numbers) -> set[int]:
    """Return the proxies that hold connections to endpoints."""
    found = set()
    for number in numbers:
        page = await site.metrics_of(number)
        values = re.findall(
            r'^tidegrade_endpoint_connections\{.*\} ([\d.]+)$', page, re.M
        )
        if sum(map(float, values)):
            found.add(number)
    return found


async def counted_homes(site, numbers) -> set[float]:
    """Return the numbers of homes that the proxies see."""
    found = set()
    for number in numbers:
        page = await site.metrics_of(number)
        values = re.findall(
            r'^tidegrade_group_homes\{.*\} ([\d.]+)$', page, re.M
        )
        found |= set(map(float, values))
    return found


def logged_counts(log: str) -> list[int]:
    """Return the numbers of homes that a proxy without duty has logged.

    One that ceased to be a home logs the number before as that of its share.
    """
    found = []
    for line in log.splitlines():
        entry = json.loads(line)
        if entry['event'] == 1409:
            found.append(entry['homes'])
        elif entry['event'] == 1406 and not entry['proxies']:
            found.append(entry['before'])
    return found


async def assert_all_write(site, numbers) -> None:
    for number in numbers:
        client = await site.client(number, name=f'c{number}-')
        assert (await client.ask(f'WRITE x {number}')).error == ''
        assert (await client.ask('READ x')).rows == (str(number),)
        await client.close()


async def test_large_vms_keep_the_connections_for_all(unequal_site, until):
    """Guards against capacities that are lost between settings and homes.

    Equal VMs would all be homes here. The capacity of three small VMs is
    less than that of the large one, so a zone has the minimum of two homes.
    """
    numbers = range(len(CORES))

    async def settled() -> bool:
        return await counted_homes(unequal_site, numbers) == {6.0}

    await until(settled)
    await assert_all_write(unequal_site, numbers)

    async def on_homes_only() -> bool:
        found = await connected(unequal_site, numbers)
        return len(found) == 6 and found >= {0, 1, 2}

    await until(on_homes_only)
    homes = await connected(unequal_site, numbers)
    for number in set(numbers) - homes:
        assert 6 in logged_counts(unequal_site.log_of(number))


async def test_small_vms_take_over_from_a_killed_large_one(
    unequal_site, until
):
    """Guards against a zone that is left with one home."""
    unequal_site.proxies[0].send(signal.SIGKILL)
    left = range(1, len(CORES))

    async def replaced() -> bool:
        found = await connected(unequal_site, left)
        return found >= {3, 6} and len(found) == 6

    await until(replaced)
    await assert_all_write(unequal_site, left)
