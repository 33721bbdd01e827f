"""Odd entries in the instance list, met by proxies that run as processes."""

import json

import anyio
import pytest
import tidegrade_edge as edge

pytestmark = pytest.mark.anyio

#: Changes of a valid entry; the table `test_entries` has more kinds.
CHANGES = (
    {'address': '127.0.0.1:65536'},
    {'address': '127.0.0.1:-1'},
    {'address': '[::1]:80'},
    {'address': '127.0.0.1:' + '9' * 5_000},
    {'slots': 2**64},
    {'slots': 10**400},
    {'seq_no': 1.5},
    {'cold_remaining_ms': float('inf')},
    {'zone': '\ud800'},
    {'service': 'no-service'},
    {'service': 'no\nservice', 'zone': 'z' * 40_000, 'slots': 2**64 - 1},
    {'service': 'no-service', 'later': 2**64 - 1, 'db_role': 'primary'},
)
#: Text that stands for an entry, or for the value of an unknown field.
TEXTS = ('', '\0', '{', '[' * 60_000, '1e400', '[' * 500 + ']' * 500)


def odd_entries(port: int) -> list[bytes]:
    """Return odd entries, some of them with the address of an instance."""
    sound = {
        'service': 'svc-1',
        'address': f'127.0.0.1:{port}',
        'zone': 'zone-a',
        'version': 'v1',
        'slots': 3,
        'state': 'ready',
        'cold_remaining_ms': 0,
        'db_role': 'replica',
        'seq_no': 1,
    }
    found = [json.dumps({**sound, **change}).encode() for change in CHANGES]
    found += [text.encode() for text in TEXTS]
    other = json.dumps({**sound, 'service': 'no-service'})
    found += [f'{other[:-1]}, "later": {text}}}'.encode() for text in TEXTS]
    return found


async def test_proxies_follow_the_list_while_odd_entries_come_and_go(
    site, until
):
    """No proxy may end, miss a later entry, or name another id to promote."""
    placed = []
    client = await site.client()
    lost = site.primary
    for port in [instance.port for instance in site.instances]:
        for number, raw in enumerate(odd_entries(port)):
            for key in (f'a-{port}-{number}', f'z-{port}-{number}'):
                site.store.put('servers', key, raw)
                placed.append(key)
            assert not (await client.ask(f'WRITE x {number}')).error
            await anyio.sleep(0.05)
    added = edge.Instance('i-added', site.cfg.service, 'zone-b', 30)
    async with anyio.create_task_group() as tasks:
        await tasks.start(added.serve)
        site.relays[added.id] = edge.Relay(added.port)
        site.instances.append(added)

        async def taken_on() -> bool:
            name = f'127.0.0.1:{added.port}'
            pages = [await site.metrics_of(number) for number in range(3)]
            return all(name in page for page in pages)

        await until(taken_on)
        lost.crash()

        async def written() -> bool:
            other = await site.client(1, 'db-primary', name='n')
            reply = await other.ask('WRITE y 1')
            await other.close()
            return not reply.error

        await until(written)
        for key in placed:
            site.store.drop('servers', key)

        async def recovered() -> bool:
            logs = [site.log_of(number) for number in range(3)]
            return any(log.count('"event": 1504') >= 2 for log in logs)

        await until(recovered)
        assert all(p.process.poll() is None for p in site.proxies)
        assert all(order[0] in site.relays for order in site.promotions)
        tasks.cancel_scope.cancel()
