"""Failures of real processes, as callers observe them."""

import anyio
import pytest
from tidegrade_bench import _ledger
from tidegrade_bench import _workload

pytestmark = pytest.mark.anyio

PUT = (
    'INSERT INTO item (id, v) VALUES ($1, $2)'
    ' ON CONFLICT (id) DO UPDATE SET v = $2'
)
GET = 'SELECT v FROM item WHERE id = $1'


class Load:
    """Writes from several sessions until the load is stopped."""

    def __init__(self, site, sessions: int = 4) -> None:
        self.site = site
        self.ledger = _ledger.Ledger()
        self.stopping = anyio.Event()
        self._sessions = sessions
        self.errors: list[Exception] = []

    async def run(self) -> None:
        try:
            await self._run()
        except* Exception as group:
            self.errors = list(group.exceptions)

    async def _run(self) -> None:
        async with anyio.create_task_group() as tasks:
            for index in range(self._sessions):
                session = _workload.Session(
                    f's{index}',
                    'mains-1',
                    self.site.caller(),
                    self.ledger,
                    self.site.rng,
                )
                tasks.start_soon(
                    _workload.repeat,
                    session,
                    _workload.agent,
                    0.01,
                    self.stopping,
                )

    def count_done(self) -> int:
        return self.ledger.count('done')

    async def wait_for_writes(self, count: int) -> None:
        """Wait until `count` more writes are done."""
        target = self.count_done() + count

        async def reached() -> bool:
            assert not self.errors
            return self.count_done() >= target

        await self.site.until(reached)

    def check(self) -> None:
        """Compare the callers' records with the databases' contents."""
        assert not self.errors
        groups = self.site.deployment.plan.groups
        verdict = _ledger.compare(self.ledger, self.site.deployment, groups)
        assert verdict == _ledger.Verdict(0, 0, 0)
        assert self.ledger.ryw_violations == 0


@pytest.fixture
async def load(site):
    for table in _workload.TABLES:
        reply = await site.caller().write([(table, [])])
        assert reply.done, reply
    made = Load(site)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(made.run)
        await made.wait_for_writes(20)
        yield made
        made.stopping.set()


async def stop_and_check(load) -> None:
    load.stopping.set()
    await anyio.sleep(0.5)
    load.check()


async def test_a_killed_primary_is_replaced(site, load):
    site.deployment.instances[0].process.kill()
    await load.wait_for_writes(40)
    assert (await site.group_status())['term'] == 2
    await stop_and_check(load)


async def test_a_frozen_primary_is_replaced_and_stays_out(site, load):
    frozen = site.deployment.instances[0]
    frozen.process.freeze()
    await load.wait_for_writes(40)
    frozen.process.thaw()
    await load.wait_for_writes(40)
    status = await site.group_status()
    assert status['primary'] != frozen.name
    await stop_and_check(load)


async def test_a_frozen_proxy_acknowledges_nothing_late(site, load):
    """The proxy is frozen longer than a permission while the term changes."""
    proxy = site.deployment.proxies[0]
    proxy.process.freeze()
    site.deployment.instances[0].process.kill()
    await load.wait_for_writes(20)
    proxy.process.thaw()
    await load.wait_for_writes(40)
    await stop_and_check(load)


async def test_writes_go_on_without_the_platform(site, load):
    await site.deployment.set_platform_faults(down=True)
    await load.wait_for_writes(100)
    await site.deployment.set_platform_faults(down=False)
    await stop_and_check(load)


async def test_a_failover_waits_for_the_platform(site, load):
    await site.deployment.set_platform_faults(down=True)
    site.deployment.instances[0].process.kill()
    await anyio.sleep(1.0)
    assert (await site.group_status())['term'] == 1
    await site.deployment.set_platform_faults(down=False)
    await load.wait_for_writes(20)
    await stop_and_check(load)


async def test_a_lost_answer_of_the_platform_is_settled(site, load):
    await site.deployment.set_platform_faults(lose_answers=2)
    site.deployment.instances[0].process.kill()
    await load.wait_for_writes(20)
    await stop_and_check(load)


async def test_a_killed_proxy_loses_nothing(site, load):
    site.deployment.proxies[0].process.kill()
    await load.wait_for_writes(40)
    await stop_and_check(load)


async def test_a_draining_proxy_completes_open_work(site, load):
    """Requests in flight and an open transaction complete normally."""
    proxy = site.deployment.proxies[0]
    caller = site.caller()
    reply = await caller.post('/transactions', {}, url=proxy.url)
    path = f'/transactions/{reply.transaction}'
    proxy.process.terminate()

    async def not_ready() -> bool:
        answer = await site.http.get(f'{proxy.url}/health/ready')
        return answer.status_code == 503

    await site.until(not_ready)
    site.urls.remove(proxy.url)
    step = {'statements': [{'sql': PUT, 'params': ['drain', 1]}]}
    url = site.urls[0]
    reply = await caller.post(f'{path}/statements', step, url=url)
    assert reply.done, reply
    reply = await caller.post(f'{path}/commit', {}, url=url)
    assert reply.done, reply

    async def ended() -> bool:
        return not proxy.process.alive

    await site.until(ended)
    assert proxy.process.popen.returncode == 0
    reply = await caller.read(GET, ['drain'], 'own', url=url)
    assert reply.rows == ((1,),)
    unanswered = [
        s
        for write in load.ledger.writes
        for s in write.said
        if s.code == 'no_answer'
    ]
    assert not unanswered
    await stop_and_check(load)


async def test_the_end_of_a_drain_answers_what_is_in_progress(hasty):
    """A request that waited for an endpoint was cut as the process ended.

    The server cancels it some seconds after the drain.
    """
    proxy = hasty.deployment.proxies[0]
    write = [(PUT, ['late', 1])]
    for instance in hasty.deployment.instances:
        instance.process.freeze()
    said = []

    async def ask() -> None:
        said.append(
            await hasty.caller().write(
                write, deadline_ms=20_000, url=proxy.url
            )
        )

    async with anyio.create_task_group() as tasks:
        for _ in range(3):
            tasks.start_soon(ask)
        await anyio.sleep(0.2)
        proxy.process.terminate()
    assert {answer.code for answer in said} <= {'draining', 'unconfirmed'}
    assert len(said) == 3


async def test_a_leaving_primary_gets_no_new_work(site, load):
    leaving = site.deployment.instances[0]
    await site.deployment.publish_vms(frozenset({leaving.name}))

    async def replaced() -> bool:
        return (await site.group_status())['primary'] != leaving.name

    await site.until(replaced)
    await load.wait_for_writes(40)
    recent = [reply.endpoint for reply in load.ledger.acks('mains-1')][-20:]
    assert leaving.name not in recent
    await stop_and_check(load)


async def test_a_leaving_replica_gets_no_new_reads(site, load):
    leaving = site.deployment.instances[1]
    await site.deployment.publish_vms(frozenset({leaving.name}))

    async def known_to_all() -> bool:
        shown = [
            (await site.group_status(index))['endpoints'][leaving.name]
            for index in range(3)
        ]
        return all(endpoint['leaving'] for endpoint in shown)

    await site.until(known_to_all)
    caller = site.caller()
    seen = [
        (await caller.read(GET, ['x'], 'dashboard')).endpoint
        for _ in range(40)
    ]
    assert leaving.name not in seen
    await stop_and_check(load)


async def test_connections_never_exceed_the_limit(site, load):
    await load.wait_for_writes(60)
    for instance in site.deployment.instances:
        state = await site.deployment.instance_state(instance)
        assert state['peak_connections'] <= 27
        assert state['refused_connections'] == 0
    await stop_and_check(load)
