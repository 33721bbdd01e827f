"""Tenants on the platform: API keys and connections per tenant."""

import anyio
import pytest
import tidegrade_edge as edge

pytestmark = pytest.mark.anyio

KEYS = {
    'bode960': ['nirth5mgjy5rcpihhacr', 'uddedev3nax7u27gxpry'],
    'hufa113': ['zaqti8vm2bnc0lpwxeoq'],
}
UNKNOWN_KEY = 'kk7hd02mfhsyqlzvtbae'


def tenants(keys=KEYS, rate=1000):
    return [
        {
            'name': name,
            'api_keys': held,
            'priority': 1,
            'rate_per_s': rate,
            'burst': rate,
        }
        for name, held in keys.items()
    ]


@pytest.fixture
async def two_tenant_site(site, until):
    """Return a site whose databases are used by two tenants."""
    site.configure(tenants=tenants())

    async def in_force() -> bool:
        for number in range(len(site.proxies)):
            if not await can_open_session(site, number, KEYS['hufa113'][0]):
                return False
            if await can_open_session(site, number, UNKNOWN_KEY):
                return False
        return True

    await until(in_force)
    return site


async def can_open_session(site, number: int, key: str) -> bool:
    """Return whether a proxy opens a session for a key."""
    port = site.proxies[number].front
    client = await edge.Client.connect(port, 'db-own', key=key)
    if client is not None:
        await client.close()
    return client is not None


async def test_every_key_runs_under_its_tenant_s_name(two_tenant_site):
    for name, held in KEYS.items():
        for number, key in enumerate(held):
            client = await two_tenant_site.client(
                number, name=f'{name}-', key=key
            )
            assert (await client.ask('WRITE x 1')).error == ''
            assert (await client.ask('READ x')).rows == ('1',)
            await client.ask('BEGIN')
            await client.ask('WRITE y 2')
            assert (await client.ask('COMMIT')).error == ''
    for instance in two_tenant_site.instances:
        for run in instance.runs:
            name, _, _ = run.request_id.rpartition('-')
            assert name.startswith('w') or run.tenant == name


async def test_a_connection_carries_statements_of_one_tenant(two_tenant_site):
    clients = [
        (
            name,
            await two_tenant_site.client(number, name=f'{name}-', key=held[0]),
        )
        for name, held in KEYS.items()
        for number in range(len(two_tenant_site.proxies))
    ]
    for _ in range(10):
        for _, client in clients:
            assert (await client.ask('READ x')).error == ''
            assert (await client.ask('WRITE x 1')).error == ''
    for instance in two_tenant_site.instances:
        seen: dict[int, set[str]] = {}
        for run in instance.runs:
            seen.setdefault(run.conn, set()).add(run.tenant)
        assert all(len(found) == 1 for found in seen.values())


async def test_a_withdrawn_key_is_rejected_in_an_open_session(
    two_tenant_site, until
):
    withdrawn, kept = KEYS['bode960']
    client = await two_tenant_site.client(1, key=withdrawn)
    other = await two_tenant_site.client(2, key=kept)
    assert (await client.ask('READ x')).error == ''
    left = {**KEYS, 'bode960': [kept]}
    two_tenant_site.configure(tenants=tenants(left))

    async def refused() -> bool:
        return (await client.ask('READ x')).code == 'NOAUTH'

    await until(refused, 3.0)
    assert not await can_open_session(two_tenant_site, 1, withdrawn)
    assert (await other.ask('READ x')).error == ''


async def test_a_proxy_rejected_by_the_store_accepts_new_keys(
    run_site, tmp_path, until
):
    async with run_site(tmp_path, edge.SiteSettings(relayed=True)) as site:
        site.configure(tenants=tenants())
        for relay in site.store_relays[1:]:
            relay.refusing = True
            relay.reset()
        await anyio.sleep(0.2)
        site.configure(tenants=tenants({'bode960': [UNKNOWN_KEY]}))

        async def follows() -> bool:
            found = [
                await can_open_session(site, n, UNKNOWN_KEY) for n in range(3)
            ]
            withdrawn = KEYS['hufa113'][0]
            kept = [
                await can_open_session(site, n, withdrawn) for n in range(3)
            ]
            return all(found) and not any(kept)

        await until(follows, 5.0)


async def test_logs_and_metrics_contain_no_key(two_tenant_site):
    keys_in_use = [key for held in KEYS.values() for key in held] + [
        UNKNOWN_KEY
    ]
    for number, key in enumerate(keys_in_use[:3]):
        client = await two_tenant_site.client(number, key=key)
        await client.ask('WRITE x 1')
        await client.ask('READ x')
        await client.ask('EXEC nothing x')
    await can_open_session(two_tenant_site, 0, UNKNOWN_KEY)
    await anyio.sleep(0.1)
    texts = list(map(two_tenant_site.log_of, range(3)))
    texts += [await two_tenant_site.metrics_of(number) for number in range(3)]
    for instance in two_tenant_site.instances:
        texts += instance.tenants
    for key in keys_in_use:
        assert not any(key in text for text in texts)
