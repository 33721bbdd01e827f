"""Instances whose answers to statements name no position of their log."""

import anyio
import pytest

pytestmark = pytest.mark.anyio

#: How much later the replicas apply what they receive, in seconds.
APPLY_LAG_S = 0.6
#: Time in which the replicas apply all, in seconds.
SETTLE_S = 1.0
ROUNDS = 4


@pytest.mark.parametrize('in_txn', [False, True])
async def test_a_session_sees_its_own_commit_without_a_position(site, in_txn):
    """Guards against reads that lack an acknowledged commit of the session."""
    client = await site.client(database='db-own')
    for instance in site.instances:
        instance.faults.apply_lag = APPLY_LAG_S
    for count in range(ROUNDS):
        assert not (await client.ask(f'WRITE other {count}')).error
        await anyio.sleep(SETTLE_S)
        for instance in site.instances:
            instance.faults.unnamed = True
        if in_txn:
            assert not (await client.ask('BEGIN')).error
        assert not (await client.ask(f'WRITE own {count}')).error
        if in_txn:
            assert not (await client.ask('COMMIT')).error
        reply = await client.ask('READ own')
        assert reply.rows == (str(count),)
        for instance in site.instances:
            instance.faults.unnamed = False
    await client.close()


#: Age that a bounded read may have on the stand-in's databases, and the time
#: after a commit at which it is read here, in seconds.
MAX_AGE_S = 1.5
READ_AFTER_S = MAX_AGE_S + 0.3


async def test_an_unnamed_position_dates_no_bounded_read(site):
    """Guards against reads of an age that the position of an answer lacks."""
    writer = await site.client(database='db-primary')
    reader = await site.client(database='db-bounded')
    assert not (await writer.ask('WRITE x old')).error
    await anyio.sleep(SETTLE_S)
    for instance in site.instances:
        instance.faults.apply_lag = 2 * READ_AFTER_S
        instance.faults.unnamed = True
    assert not (await writer.ask('WRITE x new')).error
    with anyio.move_on_after(READ_AFTER_S):
        while True:
            await writer.ask('WRITE y 1')
            await anyio.sleep(0.02)
    for _ in range(20):
        reply = await reader.ask('READ x')
        assert reply.error or reply.rows == ('new',)
