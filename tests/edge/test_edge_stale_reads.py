"""Reads that lack acknowledged commits while the primary changes.

Users saw reads on `session` and `bounded` routes that lacked a commit which
had been acknowledged (`docs/incidents/stale-reads.md`). The check is theirs:
it looks at the log of each read and knows nothing of terms.
"""

import contextlib
import signal

import anyio
import attrs
import pytest
import tidegrade_edge as edge

pytestmark = pytest.mark.anyio

#: The users' promotions, and a reconnection that they may have.
TRAITS = edge.Traits(numbers_go_on=True, reconnect_s=1.5)
SETTINGS = edge.SiteSettings(
    routed=True,
    promote_delay=0.6,
    promotion_ends_promises=True,
    traits=TRAITS,
)


@contextlib.asynccontextmanager
async def calling(site):
    """Yield the history of callers that write and read at all proxies."""
    history = edge.History(site)
    async with anyio.create_task_group() as tasks:
        for number in range(len(site.proxies)):
            for database in edge.DATABASES:
                tasks.start_soon(history.call, number, database)
        await anyio.sleep(1)
        yield history
        tasks.cancel_scope.cancel()


async def wait_for_term(site, term: int) -> None:
    """Wait until a promotion has taken effect."""
    with anyio.fail_after(20):
        while term not in site.led_since:
            await anyio.sleep(0.01)


async def test_a_cut_off_proxy_serves_no_old_copy_after_a_promotion(
    run_site, tmp_path
):
    """A proxy served the former primary's data after a promotion.

    The proxy is cut off from the store and from the other proxies, which
    replace the primary. The promotion ends the promise of the remaining
    replica, so until that replica has reached the new primary it grants the
    former term, and the former primary does so too.
    """
    async with run_site(tmp_path, SETTINGS) as site, calling(site) as history:
        former = site.primary
        former.faults.deaf = True
        links = [*site.links(1, former), *site.links(2, former)]
        site.cut([*site.system_links(0), *links])
        await wait_for_term(site, 2)
        await anyio.sleep(2.5)
    assert history.stale_reads() == []


async def wait_for_order(site) -> None:
    """Wait until a promotion has been ordered."""
    with anyio.fail_after(20):
        while not site.promotions:
            await anyio.sleep(0.005)


async def restart_proxies(site, numbers) -> None:
    """Kill proxies at the same moment and start each anew."""
    for number in numbers:
        site.proxies[number].send(signal.SIGKILL)
    for number in numbers:
        site.proxies[number].process.wait()
        site.restart_proxy(number)


def ordering_proxy(site) -> list[int]:
    """Return the number of the proxy that ordered the promotion."""
    _, holder, _ = site.promotions[0]
    return [
        number
        for number, proxy in enumerate(site.proxies)
        if proxy.name == holder.partition('.')[0]
    ]


def all_proxies(site) -> list[int]:
    """Return the numbers of all proxies."""
    return list(range(len(site.proxies)))


@pytest.mark.parametrize('restarted', [ordering_proxy, all_proxies])
async def test_proxies_that_restart_in_a_promotion_serve_no_old_copy(
    run_site, tmp_path, restarted
):
    """Restarted proxies acknowledged writes at a superseded primary.

    The primary crashes, and its promise is not among those of the majority.
    Proxies are killed as soon as the promotion is ordered, and the primary
    comes back before it takes effect. The row still names that primary, and
    nobody publishes the new term until the attempt is taken over 3.1 s
    later. Nothing is cut off.
    """
    async with run_site(tmp_path, SETTINGS) as site, calling(site) as history:
        former = site.primary
        former.crash()
        await wait_for_order(site)
        site.restart_instance(former)
        await restart_proxies(site, restarted(site))
        # The attempt is taken over, which begins another term.
        await wait_for_term(site, 3)
        await anyio.sleep(2.5)
    assert history.stale_reads() == []


#: Delay with which lagging replicas apply, in seconds: 150 times the usual.
APPLY_LAG_S = 3.0


async def test_a_promoted_instance_that_applies_late_serves_no_old_copy(
    run_site, tmp_path
):
    """Reads at a new primary lacked what it had received but not applied.

    They name no position. The users' pages say that commits are applied
    later and that a promoted instance leads with what it had received; that
    it may serve before it has applied that is an assumption of this test.
    """
    cfg = attrs.evolve(
        SETTINGS, traits=attrs.evolve(TRAITS, applies_late=True)
    )
    async with run_site(tmp_path, cfg) as site, calling(site) as history:
        for instance in site.instances:
            instance.faults.apply_lag = APPLY_LAG_S
        await anyio.sleep(APPLY_LAG_S)
        site.primary.state = 'draining'
        await wait_for_term(site, 2)
        await anyio.sleep(APPLY_LAG_S)
    assert history.stale_reads() == []
