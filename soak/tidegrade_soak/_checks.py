"""The promises, checked by what callers were told and instances ran."""

from collections.abc import Iterable
import itertools

import tidegrade_edge as edge

from tidegrade_soak import _journal

#: Age that reads of the stand-in's databases may have, in seconds.
MAX_AGE = 1.5
#: A proxy that stood still may finish what it was sending, in seconds.
THAW_SLACK = 0.3
#: How long nothing else must have been wrong before a planned stop may be
#: blamed for what was cut off, in seconds.
CALM = 2.0
#: A session may be closed at rest while a request is on its way to it: one
#: that came so soon before the end, in seconds, need not have been read.
CROSSED = 0.2
#: Databases whose reads must see every acknowledged commit.
STRICT = 'db-primary'
#: The database whose reads must also see the session's own commits.
OWN = 'db-own'

Position = tuple[int, int]


def violations(site: edge.Site, journal: _journal.Journal) -> list[str]:
    """Give each broken promise in words; none if all were kept."""
    checks = (
        receipts,
        foreign_statements,
        transactions,
        at_most_once,
        promises,
        superseded,
        promotions,
        stale_reads,
        cut_off,
    )
    found = list(journal.problems)
    for check in checks:
        found.extend(check(site, journal))
    return found


def receipts(site: edge.Site, journal: _journal.Journal) -> Iterable[str]:
    """A success bears the receipt and rows of its own run."""
    for asked in journal.asked.values():
        text = asked.text.partition(' ')[0]
        if not asked.done or text not in ('READ', 'WRITE', 'COMMIT'):
            continue
        instance, _, request_id = asked.receipt.partition(':')
        if request_id != asked.id:
            yield f'MIXED: {asked.id} got the receipt {asked.receipt!r}'
            continue
        if text != 'READ':
            continue
        rows = {run.rows for run in _runs_of(site, asked.id, instance)}
        if asked.rows not in rows:
            yield f'MIXED: {asked.id} got {asked.rows}, not {rows}'


def foreign_statements(
    site: edge.Site, journal: _journal.Journal
) -> Iterable[str]:
    """What runs was sent, unchanged, and with the session's own values."""
    for instance in site.instances:
        for run in instance.runs:
            if run.request_id.startswith('w'):
                # Written while the site started, by the stand-in itself.
                continue
            asked = journal.asked.get(run.request_id)
            if asked is None or asked.text != run.text:
                yield f'UNASKED: {instance.id} ran {run}'
            elif asked.values != run.values:
                yield (
                    f'PINNED: {run.request_id} ran with {run.values}, '
                    f'its session has {asked.values}'
                )


def transactions(site: edge.Site, journal: _journal.Journal) -> Iterable[str]:
    """A transaction's statements run on one connection, alone."""
    for instance in site.instances:
        runs = [r for r in instance.runs if r.request_id in journal.asked]
        by_conn: dict[int, list[tuple[edge.Run, str]]] = {}
        for run in runs:
            txn = journal.asked[run.request_id].txn
            by_conn.setdefault(run.conn, []).append((run, txn))
            if bool(txn) != run.in_txn:
                yield f'PINNED: {run} ran outside its transaction'
        for conn, on_conn in by_conn.items():
            groups = [
                txn for txn, _ in itertools.groupby(txn for _, txn in on_conn)
            ]
            named = [txn for txn in groups if txn]
            if len(named) != len(set(named)):
                yield f'PINNED: transactions mixed on {instance.id}/{conn}'


def at_most_once(site: edge.Site, journal: _journal.Journal) -> Iterable[str]:
    """No log holds two commits of one statement."""
    for instance in site.instances:
        seen: set[str] = set()
        for entry in instance.log:
            if entry.request_id not in journal.asked:
                # Written by the stand-in, whose ids come again.
                continue
            if entry.request_id in seen:
                yield f'TWICE: {entry.request_id} in {instance.id}'
            seen.add(entry.request_id)


def promises(site: edge.Site, journal: _journal.Journal) -> Iterable[str]:
    """What was promised not to be kept was never committed."""
    for commit in _commits(site):
        asked = journal.asked.get(commit.entry.request_id)
        if asked is not None and asked.code in _journal.PROMISES:
            yield (
                f'REFUSED: {asked.id} was answered {asked.code}, and '
                f'committed at {commit.instance}'
            )


def superseded(site: edge.Site, journal: _journal.Journal) -> Iterable[str]:
    """Nothing is acknowledged that an old primary took after a change."""
    for commit in _commits(site):
        asked = journal.asked.get(commit.entry.request_id)
        if asked is None or not asked.done:
            continue
        later = [
            since
            for term, since in site.led_since.items()
            if term > commit.entry.term
        ]
        if not later or commit.at <= min(later):
            continue
        if not _was_paused(journal, asked, commit.at):
            yield (
                f'ONE: {asked.id} was committed in term '
                f'{commit.entry.term} {commit.at - min(later):.3f} s after '
                'the next began, and acknowledged'
            )


def promotions(site: edge.Site, journal: _journal.Journal) -> Iterable[str]:
    """Each promotion bears a higher number than those before it."""
    last, holder = 0, ''
    for _, by, number in site.promotions:
        if number < last or (number == last and by != holder):
            yield f'ONE: promotion {number} by {by} after {last} by {holder}'
        last, holder = number, by


def cut_off(site: edge.Site, journal: _journal.Journal) -> Iterable[str]:
    """A proxy that is asked to stop answers what it has been asked."""
    ran = {r.request_id for i in site.instances for r in i.runs}
    for asked in journal.asked.values():
        if asked.lost_at is None:
            continue
        crossed = asked.lost_at - asked.sent_at < CROSSED
        if crossed and asked.id not in ran:
            continue
        stops = [
            fault
            for fault in journal.faults
            if fault.kind == 'stop'
            and fault.proxy == asked.proxy
            and fault.touches(asked.sent_at, asked.lost_at)
        ]
        others = [f for f in journal.faults if f not in stops]
        alone = not any(
            f.touches(asked.sent_at - CALM, asked.lost_at) for f in others
        )
        if stops and alone:
            yield f'LOST: {asked.id} was cut off as its proxy stopped'


def stale_reads(site: edge.Site, journal: _journal.Journal) -> Iterable[str]:
    """Reads see the commits that their database's rule asks for."""
    kept = {entry.request_id for entry in site.primary.log}
    acked = []
    for commit in _commits(site):
        other = journal.asked.get(commit.entry.request_id)
        if other is None or not other.done or other.id not in kept:
            continue
        assert other.answered_at is not None
        acked.append((other.answered_at, commit.entry, other))
    for instance in site.instances:
        for run in instance.runs:
            asked = journal.asked.get(run.request_id)
            if asked is None or not run.text.startswith('READ '):
                continue
            missing = _newest_wanted(asked, acked)
            if missing is not None and run.shown < missing[0]:
                yield (
                    f'STALE: {asked.id} on {asked.database} ran at '
                    f'{run.shown}, without {missing}'
                )


def _newest_wanted(
    asked: _journal.Asked,
    acked: list[tuple[float, edge.Entry, _journal.Asked]],
) -> tuple[Position, str] | None:
    """Give the newest position that a read must see, and whose it is."""
    allowed = 0.0 if asked.database == STRICT else MAX_AGE
    wanted = [
        ((entry.term, entry.number), entry.request_id)
        for at, entry, other in acked
        if at <= asked.began_at - allowed
        or (
            asked.database == OWN
            and other.caller == asked.caller
            and at <= asked.began_at
        )
    ]
    return max(wanted, default=None)


def _runs_of(
    site: edge.Site, request_id: str, instance_id: str
) -> list[edge.Run]:
    return [
        run
        for instance in site.instances
        if instance.id == instance_id
        for run in instance.runs
        if run.request_id == request_id
    ]


def _commits(site: edge.Site) -> Iterable[edge.Commit]:
    for instance in site.instances:
        yield from instance.commits


def _was_paused(
    journal: _journal.Journal, asked: _journal.Asked, at: float
) -> bool:
    """Tell whether a proxy stood still just before a commit.

    Any may have been the one that sent it to the instance.
    """
    return any(
        fault.kind == 'pause' and fault.touches(at - THAW_SLACK, at)
        for fault in journal.faults
    )
