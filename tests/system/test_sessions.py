"""Sessions and transactions whose requests go to different proxies."""

import anyio
import pytest

pytestmark = pytest.mark.anyio

PUT = (
    'INSERT INTO item (id, v) VALUES ($1, $2)'
    ' ON CONFLICT (id) DO UPDATE SET v = $2'
)
GET = 'SELECT v FROM item WHERE id = $1'


async def begin_transaction(caller, url):
    reply = await caller.post('/transactions', {}, url=url)
    assert reply.done, reply
    return f'/transactions/{reply.transaction}'


def statement(sql, *params):
    return {'statements': [{'sql': sql, 'params': list(params)}]}


async def test_a_session_reads_its_writes_on_any_proxy(site):
    caller = site.caller()
    for number in range(30):
        url = site.urls[number % 3]
        reply = await caller.write([(PUT, ['x', number])], url=url)
        assert reply.done, reply
        reply = await caller.read(
            GET, ['x'], 'own', url=site.urls[(number + 1) % 3]
        )
        assert reply.rows == ((number,),)


async def test_a_lagging_replica_never_answers_a_newer_session(site):
    for instance in site.deployment.instances[1:]:
        await site.deployment.set_instance_faults(instance, apply_delay_s=60.0)
    caller = site.caller()
    reply = await caller.write([(PUT, ['x', 5])])
    assert reply.done, reply
    reply = await caller.read(GET, ['x'], 'own')
    assert reply.rows == ((5,),)
    assert not reply.from_replica


async def test_a_transaction_goes_on_at_another_proxy(site):
    caller = site.caller()
    path = await begin_transaction(caller, site.urls[0])
    reply = await caller.post(
        f'{path}/statements', statement(PUT, 't', 1), url=site.urls[1]
    )
    assert reply.done, reply
    outside = await site.caller().read(GET, ['t'], 'latest')
    assert outside.rows == ()
    reply = await caller.post(f'{path}/commit', {}, url=site.urls[2])
    assert reply.done, reply
    reply = await caller.read(GET, ['t'], 'own')
    assert reply.rows == ((1,),)
    reply = await caller.post(f'{path}/commit', {}, url=site.urls[1])
    assert (reply.outcome, reply.code) == ('not_run', 'transaction_unknown')


async def test_a_rollback_leaves_nothing(site):
    caller = site.caller()
    path = await begin_transaction(caller, site.urls[0])
    await caller.post(f'{path}/statements', statement(PUT, 'r', 1))
    reply = await caller.post(f'{path}/rollback', {}, url=site.urls[2])
    assert reply.done, reply
    assert (await caller.read(GET, ['r'], 'latest')).rows == ()


async def test_a_transaction_belongs_to_its_tenant(site):
    path = await begin_transaction(site.caller('tenant-a'), site.urls[0])
    other_tenant = site.caller('tenant-b')
    reply = await other_tenant.post(f'{path}/commit', {}, url=site.urls[0])
    assert (reply.outcome, reply.code) == ('not_run', 'transaction_unknown')


async def test_two_requests_never_share_a_transaction(site):
    caller = site.caller()
    path = await begin_transaction(caller, site.urls[0])
    instance = site.deployment.instances[0]
    await site.deployment.set_instance_faults(instance, statement_cost_s=0.2)
    replies = []

    async def send_statement(index: int) -> None:
        replies.append(
            await caller.post(
                f'{path}/statements',
                statement(PUT, f'two-{index}', index),
                url=site.urls[index],
            )
        )

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(send_statement, 0)
        tasks.start_soon(send_statement, 1)
    outcomes = sorted((s.outcome, s.code) for s in replies)
    assert outcomes == [('done', ''), ('not_run', 'transaction_busy')]


async def test_a_failed_statement_rolls_its_transaction_back(site):
    caller = site.caller()
    path = await begin_transaction(caller, site.urls[0])
    await caller.post(f'{path}/statements', statement(PUT, 'f', 1))
    reply = await caller.post(
        f'{path}/statements', statement('INSERT INTO nowhere VALUES (1)')
    )
    assert (reply.outcome, reply.code) == ('not_run', 'statement_failed')
    reply = await caller.post(f'{path}/commit', {})
    assert reply.code == 'transaction_unknown'
    assert (await caller.read(GET, ['f'], 'latest')).rows == ()


async def test_a_transaction_of_a_dead_proxy_is_rolled_back(site):
    caller = site.caller()
    path = await begin_transaction(caller, site.urls[0])
    await caller.post(
        f'{path}/statements', statement(PUT, 'd', 1), url=site.urls[0]
    )
    site.deployment.proxies[0].process.kill()
    reply = await caller.post(f'{path}/commit', {}, url=site.urls[1])
    assert reply.outcome in ('not_run', 'unknown'), reply

    async def writable() -> bool:
        reply = await caller.write([(PUT, ['d2', 1])], url=site.urls[1])
        return reply.done

    await site.until(writable)
    read = await caller.read(GET, ['d'], 'latest', url=site.urls[1])
    assert read.rows == ()


async def test_a_key_runs_once_at_two_proxies_at_once(site):
    caller = site.caller()
    count = "SELECT count(*) FROM item WHERE id LIKE 'k%'"
    replies = []

    async def insert(index: int) -> None:
        replies.append(
            await caller.write(
                [('INSERT INTO item (id, v) VALUES ($1, $2)', ['k', 1])],
                key='one-sale',
                url=site.urls[index],
            )
        )

    async with anyio.create_task_group() as tasks:
        for index in range(3):
            tasks.start_soon(insert, index)
    assert [s.outcome for s in replies] == ['done'] * 3
    assert sorted(s.replayed for s in replies) == [False, True, True]
    assert (await caller.read(count, [], 'latest')).rows == ((1,),)
    other = await caller.write([(PUT, ['k', 2])], key='one-sale')
    assert (other.outcome, other.code) == (
        'not_run',
        'idempotency_key_reused',
    )


async def test_a_result_over_the_limit_is_refused(site):
    caller = site.caller()
    reply = await caller.write([(PUT, ['x', 1])])
    large_query = 'SELECT hex(zeroblob(600000)) AS v FROM item WHERE id = $1'
    reply = await caller.read(large_query, ['x'], 'own')
    assert (reply.outcome, reply.code) == ('not_run', 'result_too_large')
