"""Sessions through real proxies, checked at callers and instances."""

import anyio
import pytest
import tidegrade_edge as edge

pytestmark = pytest.mark.anyio


async def test_a_session_reads_its_own_write_while_replicas_lag(site):
    for instance in site.instances:
        instance.faults.apply_lag = 0.5
    client = await site.client(database='db-own')
    for number in range(5):
        assert not (await client.ask(f'WRITE x {number}')).error
        assert (await client.ask('READ x')).rows == (str(number),)


async def test_every_answer_has_the_receipt_of_its_own_run(site):
    client = await site.client(1)
    reply = await client.ask('WRITE x 1')
    assert reply.receipt == f'{site.primary.id}:{client.last_id}'


async def test_bounded_staleness_reads_are_served_by_replicas(site):
    client = await site.client(database='db-bounded')
    for _ in range(10):
        assert not (await client.ask('READ x')).error
    served = {
        i.id for i in site.instances for run in i.runs if run.text == 'READ x'
    }
    assert site.primary.id not in served


async def test_a_transaction_runs_on_one_connection_and_commits(site):
    client = await site.client()
    assert (await client.ask('BEGIN')).state == 'T'
    assert (await client.ask('WRITE x 1')).state == 'T'
    other = await site.client(1)
    assert (await other.ask('READ x')).rows != ('1',)
    reply = await client.ask('COMMIT')
    assert (reply.error, reply.state) == ('', 'I')
    (entry,) = [e for e in site.primary.log if ('x', '1') in e.puts]
    assert entry.request_id == client.last_id


async def test_a_rollback_keeps_nothing(site):
    client = await site.client()
    await client.ask('BEGIN')
    await client.ask('WRITE x 1')
    assert (await client.ask('ROLLBACK')).state == 'I'
    assert (await client.ask('READ x')).rows == ('-',)


async def test_values_follow_a_session_over_pooled_connections(site):
    one = await site.client(name='one')
    two = await site.client(name='two')
    await one.ask('SET zone a')
    await two.ask('SET zone b')
    for client, zone in ((one, 'a'), (two, 'b')) * 3:
        await client.ask('WRITE x 1')
        ran = {run.request_id: run.values for run in site.primary.runs}
        assert ran[client.last_id] == {'zone': zone}


async def test_a_prepared_name_is_the_sessions_own(site):
    one = await site.client(database='db-primary', name='one')
    two = await site.client(database='db-primary', name='two')
    await one.ask('PREPARE p WRITE q1')
    await two.ask('PREPARE p READ q2')
    assert not (await one.ask('EXEC p x 5')).error
    assert (await two.ask('EXEC p x')).rows == ('5',)
    assert (await two.ask('DEALLOC p')).receipt == '-'
    assert (await two.ask('EXEC p x')).code == 'NOSTMT'


async def test_an_unknown_database_is_refused(site):
    found = await edge.Client.connect(site.proxies[0].front, 'nothing')
    assert found is None


async def test_a_failed_transaction_accepts_only_its_end(site):
    client = await site.client()
    await client.ask('BEGIN')
    site.primary.faults.busy = True
    failed = await client.ask('WRITE x 1')
    site.primary.faults.busy = False
    assert failed.state == 'E'
    assert (await client.ask('READ x')).code == 'MALFORMED'
    assert (await client.ask('COMMIT')).code == 'ABORTED'
    assert (await client.ask('WRITE x 1')).error == ''


async def test_a_lost_answer_of_a_write_is_in_doubt_and_not_repeated(site):
    client = await site.client()
    site.primary.faults.lose_answers = 1
    reply = await client.ask('WRITE lost 1')
    assert reply.code == 'INDOUBT'
    await anyio.sleep(0.5)
    ran = [r for r in site.primary.runs if r.request_id == client.last_id]
    assert len(ran) == 1


async def test_a_lost_answer_of_a_read_is_repeated(site):
    client = await site.client(database='db-primary')
    site.primary.faults.lose_answers = 1
    assert (await client.ask('READ x')).error == ''


@pytest.mark.parametrize(
    'raw',
    [b'NONSENSE\r\n', b'QUERY 1\r\n', b'QUERY 1 NO such\r\n', b'\xff\r\n'],
)
async def test_a_bad_message_costs_only_its_sender_an_error(site, raw):
    client = await site.client()
    await client.send_raw(raw)
    assert (await client.receive()).startswith('ERROR MALFORMED')
    assert (await client.receive()).startswith('READY I')
    assert (await client.ask('WRITE x 1')).error == ''


async def test_a_message_over_the_limit_ends_the_connection(site):
    client = await site.client()
    await client.send_raw(b'QUERY 1 WRITE x ' + b'a' * (2 << 20))
    with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
        while True:
            await client.receive()
    assert (await (await site.client()).ask('WRITE x 1')).error == ''


async def test_a_slowed_replica_keeps_what_it_has_applied(site):
    """Checks the stand-in: a longer lag hid applied entries (seed 203)."""
    client = await site.client()
    assert (await client.ask('WRITE x 1')).error == ''
    await anyio.sleep(0.1)
    replicas = [i for i in site.instances if i is not site.primary]
    before = [i.applied for i in replicas]
    for instance in replicas:
        instance.faults.apply_lag = 30.0
    assert [i.applied for i in replicas] == before


async def test_a_connection_writes_after_a_transaction_that_reads(site):
    """Checks the stand-in: a write failed after a read-only one (seed 203)."""
    conn = await edge.Client.connect(site.primary.port, site.cfg.service)
    assert conn is not None
    for text in ('BEGIN READ', 'READ x', 'COMMIT', 'WRITE x 1'):
        assert (await conn.ask(text)).error == ''
    await conn.close()
