"""One run of the soak: a site, callers, faults, and what came of it."""

import pathlib
import random
import time

import anyio
import attrs
import tidegrade_edge as edge

from tidegrade_soak import _callers
from tidegrade_soak import _checks
from tidegrade_soak import _faults
from tidegrade_soak import _journal
from tidegrade_soak import _tenants
from tidegrade_soak import _watch

#: Time in which all must serve again once nothing is wrong, in seconds.
RECOVERY = 25.0
#: Time that a site may take to start, in seconds.
START = 60.0


@attrs.frozen
class SoakSettings:
    """One run; ``seconds`` is how long faults come.

    With ``store_returns`` the store also comes back from older copies; with
    ``tenants`` callers have keys that come and go, and a quota.
    """

    seed: int
    seconds: float
    folder: pathlib.Path
    callers: int = 12
    store_returns: bool = False
    tenants: bool = False


@attrs.frozen
class Report:
    """What a run showed; ``problems`` are the promises that were broken."""

    seed: int
    proxies: int
    asked: int
    served: int
    faults: int
    promotions: int
    most_memory_mb: int
    problems: tuple[str, ...]


def run(cfg: SoakSettings) -> Report:
    """Carry out a run; it starts processes and ends them all."""
    return anyio.run(_run, cfg)


def shape(rng: random.Random) -> edge.SiteSettings:
    """Give a site: few proxies that all serve, or more than may connect."""
    if rng.random() < 0.5:
        return edge.SiteSettings(proxies=rng.randrange(2, 5), relayed=True)
    return edge.SiteSettings(
        proxies=rng.randrange(6, 10), max_conns=6, relayed=True
    )


async def _run(cfg: SoakSettings) -> Report:
    rng = random.Random(cfg.seed)
    site = edge.Site(cfg.folder, shape(rng))
    journal = _journal.Journal()
    faults = _faults.Faults(
        site,
        journal,
        rng,
        pause=rng.choice((0.3, 0.7, 1.5)),
        store_returns=cfg.store_returns,
    )
    watch = _watch.Watch(site, journal, faults, random.Random(cfg.seed + 1))
    tenants = None
    if cfg.tenants:
        tenants = _tenants.Tenants(site, random.Random(cfg.seed + 2))
    callers = [
        _callers.Caller(
            f'c{i}',
            site,
            journal,
            random.Random(f'{cfg.seed}.{i}'),
            tenants,
        )
        for i in range(cfg.callers)
    ]
    async with anyio.create_task_group() as tasks:
        try:
            with anyio.fail_after(START):
                await site.start(tasks)
            await _load(cfg, callers, faults, watch, tenants)
            await _recover(site, journal)
        finally:
            site.stop()
            tasks.cancel_scope.cancel()
    found = _checks.violations(site, journal)
    if tenants is not None:
        found.extend(tenants.violations(journal))
    _keep(cfg, journal, found)
    return Report(
        seed=cfg.seed,
        proxies=site.cfg.proxies,
        asked=len(journal.asked),
        served=sum(caller.served for caller in callers),
        faults=len(journal.faults),
        promotions=len(site.promotions),
        most_memory_mb=watch.most_memory >> 20,
        problems=tuple(found),
    )


async def _load(cfg, callers, faults, watch, tenants) -> None:
    """Let callers work while faults come."""
    async with anyio.create_task_group() as working:
        for caller in callers:
            working.start_soon(caller.run)
        if tenants is None:
            working.start_soon(watch.change_configurations)
        else:
            working.start_soon(tenants.change_keys)
        working.start_soon(watch.look_at_processes)
        await faults.run(cfg.seconds)
        working.cancel_scope.cancel()


async def _recover(site: edge.Site, journal: _journal.Journal) -> None:
    """See that every proxy takes writes again."""
    try:
        with anyio.fail_after(RECOVERY):
            await site.until_ready()
    except (TimeoutError, *_callers.GONE) as exc:
        journal.problems.append(f'RECOVER: {type(exc).__name__}')


def _keep(
    cfg: SoakSettings, journal: _journal.Journal, problems: list[str]
) -> None:
    """Write down what was done beside the proxies' logs."""
    start = min((f.since for f in journal.faults), default=time.monotonic())
    lines = [
        f'{fault.since - start:8.3f} {fault.until - start:8.3f} '
        f'{fault.kind} {"" if fault.proxy is None else fault.proxy} '
        f'{fault.detail}'
        for fault in journal.faults
    ]
    lines += [f'problem: {problem}' for problem in problems]
    lines += [
        f'{asked.sent_at - start:8.3f} {asked}'
        for asked in journal.asked.values()
        if any(asked.id in problem for problem in problems)
    ]
    (cfg.folder / 'soak.txt').write_text('\n'.join(lines) + '\n')
