"""What callers were told, compared with what the databases hold."""

import collections
import itertools

import attrs
import psycopg

from tidegrade_bench import _caller
from tidegrade_bench import _deployment
from tidegrade_bench import _plan

#: Table into which every write of a trial puts its own name.
OPS_TABLE = 'trial_op'


@attrs.define
class Write:
    """One write of a caller and the last that it was told of it."""

    name: str
    group: str
    said: list[_caller.Said] = attrs.field(factory=list)

    @property
    def outcome(self) -> str:
        """Give the outcome that all answers together tell."""
        outcomes = {said.outcome for said in self.said}
        if 'done' in outcomes:
            return 'done'
        if 'unknown' in outcomes:
            return 'unknown'
        return 'not_run'


@attrs.define
class Ledger:
    """Counts of a trial, from the callers' side."""

    reads: int = 0
    replica_reads: int = 0
    failed_reads: int = 0
    ryw_violations: int = 0
    read_times: list[float] = attrs.field(factory=list)
    write_times: list[float] = attrs.field(factory=list)
    writes: list[Write] = attrs.field(factory=list)

    def read(self, said: _caller.Said) -> None:
        """Count a read."""
        if not said.done:
            self.failed_reads += 1
            return
        self.reads += 1
        self.replica_reads += said.from_replica
        self.read_times.append(said.took)

    def new_write(self, name: str, group: str) -> Write:
        """Begin the account of a write."""
        write = Write(name, group)
        self.writes.append(write)
        return write

    def count(self, outcome: str) -> int:
        """Count the writes with an outcome."""
        return sum(write.outcome == outcome for write in self.writes)

    def acks(self, group: str) -> list[_caller.Said]:
        """Give the acknowledgements of a group's writes in their order."""
        found = [
            said
            for write in self.writes
            if write.group == group
            for said in write.said
            if said.done
        ]
        return sorted(found, key=lambda said: said.at)

    def failover_gap(self, group: str) -> float | None:
        """Give the seconds from the old primary's last acknowledgement.

        It ends with the first acknowledgement of another endpoint; None
        if there was none.
        """
        acks = self.acks(group)
        for before, after in itertools.pairwise(acks):
            if before.endpoint != after.endpoint:
                return after.at - before.at
        return None


@attrs.frozen
class Verdict:
    """How the callers' account compares with the databases'."""

    duplicates: int
    lost_acks: int
    ran_though_refused: int


def held_ops(
    deployment: _deployment.Deployment, group: _plan.GroupPlan
) -> collections.Counter[str]:
    """Count the writes that a group's newest primary holds, by name."""
    best: collections.Counter[str] = collections.Counter()
    newest = -1
    for instance in deployment.group_instances(group):
        if not instance.process.alive:
            continue
        term, ops = _ops_of(instance)
        if term > newest:
            newest, best = term, ops
    return best


def _ops_of(
    instance: _deployment.Instance,
) -> tuple[int, collections.Counter[str]]:
    with psycopg.connect(
        host=_deployment.HOST,
        port=instance.port,
        user='trial',
        dbname='postgres',
        application_name='trial',
        sslmode='disable',
        autocommit=True,
        prepare_threshold=None,
    ) as conn:
        cur = conn.execute('SELECT max(term) FROM tidegrade_term')
        term = cur.fetchone()
        recovery = conn.execute('SELECT pg_is_in_recovery()').fetchone()
        names = conn.execute(f'SELECT name FROM {OPS_TABLE}').fetchall()
    assert term is not None and recovery is not None
    # Of two instances of one term, the primary has all there is.
    rank = 2 * int(term[0]) + (not recovery[0])
    return rank, collections.Counter(name for (name,) in names)


def compare(
    ledger: Ledger,
    deployment: _deployment.Deployment,
    groups: tuple[_plan.GroupPlan, ...],
) -> Verdict:
    """Compare the account with what the databases hold at the end."""
    duplicates = lost = refused = 0
    for group in groups:
        held = held_ops(deployment, group)
        duplicates += sum(count > 1 for count in held.values())
        for write in ledger.writes:
            if write.group != group.name:
                continue
            if write.outcome == 'done' and not held[write.name]:
                lost += 1
            if write.outcome == 'not_run' and held[write.name]:
                refused += 1
    return Verdict(duplicates, lost, refused)
