"""Fake callers that roam over proxies and keep account."""

import itertools
import random

import attrs

from tidegrade import core
from tidegrade_fakes import _duties
from tidegrade_fakes import _world

#: Deadline that callers give, and how long they wait beyond it, seconds.
DEADLINE = 2.0
GRACE = 1.0


@attrs.define
class Op:
    """One write of a caller and what it was told of it, in order."""

    name: str
    session: str
    value: int
    outcomes: list[core.Outcome] = attrs.field(factory=list)

    @property
    def outcome(self) -> core.Outcome:
        """Give what all answers together tell."""
        for found in (core.Outcome.DONE, core.Outcome.UNKNOWN):
            if found in self.outcomes:
                return found
        return core.Outcome.NOT_RUN


@attrs.define
class Account:
    """What all callers were told, checked as it is told."""

    ops: list[Op] = attrs.field(factory=list)
    reads: int = 0
    replica_reads: int = 0
    history_lost: int = 0
    answers: int = 0
    newest_term: int = 0
    last_ack: dict[int, float] = attrs.field(factory=dict)
    gaps: list[float] = attrs.field(factory=list)

    def acknowledged(self, term: int, now: float) -> None:
        """Check that no superseded primary acknowledges a write."""
        if term < self.newest_term:
            raise _duties.Violation(
                f'a write of term {term} was acknowledged after one of'
                f' term {self.newest_term}'
            )
        if term > self.newest_term and self.newest_term:
            self.gaps.append(now - self.last_ack[self.newest_term])
        self.newest_term = term
        self.last_ack[term] = now


_ids = itertools.count(1)


class FakeCaller:
    """One session: it writes its own variable and reads it back."""

    def __init__(
        self,
        world: _world.World,
        name: str,
        account: Account,
        max_age: float | None = None,
        durable: bool = True,
    ) -> None:
        #: Whether a change of primary loses nothing unsaid, and positions
        #: of two terms can be compared.
        self._durable = durable
        self._world = world
        self._name = name
        self._account = account
        self._max_age = max_age
        self._rng = random.Random(world.rng.getrandbits(64))
        self._floor: core.Position | None = None
        self._turn = 0
        self._acknowledged = 0
        self._ambiguous: set[int] = set()
        self.stopped = False

    def begin(self) -> None:
        """Do the next thing, whatever the last one's end."""
        if self.stopped:
            return
        if self._rng.random() < 0.4:
            self._write()
        else:
            self._read()

    def _again(self) -> None:
        self._world.at(self._rng.uniform(0.001, 0.05), self.begin)

    def _send(self, req_of, answered, silent) -> None:
        """Send a request to any proxy and wait for at most one answer."""
        proxies = [p for p in self._world.proxies.values() if p.alive]
        proxy = self._rng.choice(proxies)
        over: list[bool] = []

        def once(answer: core.Answer) -> None:
            if not over:
                over.append(True)
                self._account.answers += 1
                answered(answer)

        def give_up() -> None:
            if not over:
                over.append(True)
                silent()

        def arrive() -> None:
            proxy.do(
                lambda: proxy.request(req_of(proxy.clock() + DEADLINE), once)
            )

        self._world.at(self._world.delay(), arrive)
        self._world.at(DEADLINE + GRACE, give_up)

    # Writes ---------------------------------------------------------------

    def _write(self) -> None:
        self._turn += 1
        keyed = self._rng.random() < 0.7
        name = f'{self._name}:{self._turn}'
        op = Op(name, self._name, self._turn)
        self._account.ops.append(op)
        self._try_write(op, name if keyed else None, 6 if keyed else 1)

    def _try_write(self, op: Op, key: str | None, tries: int) -> None:
        statements = (
            core.Statement('put', (self._name, op.value)),
            core.Statement('put', (f'op:{op.name}', op.value)),
        )

        def req_of(deadline: float) -> core.Request:
            return core.Request(
                id=next(_ids),
                tenant=self._name,
                kind=core.Kind.WRITE,
                deadline=deadline,
                statements=statements,
                key=key,
                fingerprint=op.name,
            )

        def answered(answer: core.Answer) -> None:
            op.outcomes.append(answer.outcome)
            if answer.outcome is core.Outcome.DONE:
                assert answer.position is not None
                self._account.acknowledged(
                    answer.position.term, self._world.now
                )
                self._see(answer.position)
                self._acknowledged = op.value
                self._again()
            else:
                self._retry(op, key, tries)

        def silent() -> None:
            op.outcomes.append(core.Outcome.UNKNOWN)
            self._retry(op, key, tries)

        self._send(req_of, answered, silent)

    def _retry(self, op: Op, key: str | None, tries: int) -> None:
        if op.outcome is core.Outcome.UNKNOWN:
            # It may still take effect, over a later write of this session.
            self._ambiguous.add(op.value)
        if tries > 1 and not self.stopped:
            self._world.at(
                self._rng.uniform(0.01, 0.2),
                lambda: self._try_write(op, key, tries - 1),
            )
        else:
            self._again()

    # Reads ----------------------------------------------------------------

    def _read(self) -> None:
        expected = self._acknowledged

        def req_of(deadline: float) -> core.Request:
            return core.Request(
                id=next(_ids),
                tenant=self._name,
                kind=core.Kind.READ,
                deadline=deadline,
                statements=(core.Statement('get', (self._name,)),),
                floor=self._floor,
                max_age=self._max_age,
            )

        def answered(answer: core.Answer) -> None:
            if answer.outcome is core.Outcome.DONE:
                self._check_read(answer, expected)
            elif answer.code is core.Code.HISTORY_LOST:
                # From here on the session starts afresh.
                self._account.history_lost += 1
                self._floor = None
                self._acknowledged = 0
            self._again()

        self._send(req_of, answered, self._again)

    def _check_read(self, answer: core.Answer, expected: int) -> None:
        self._account.reads += 1
        self._account.replica_reads += answer.from_replica
        seen = answer.results[0].rows[0][0]
        value = int(str(seen)) if seen is not None else 0
        late = value in self._ambiguous
        if answer.position is None:
            # Served from what is left of a former term.
            assert not self._durable
            return
        if not self._durable and self._lost_since(answer.position):
            return
        if self._floor is not None and value < expected and not late:
            raise _duties.Violation(
                f'{self._name} wrote {expected} and read {value} at'
                f' {answer.endpoint}'
            )
        if self._durable:
            self._see(answer.position)

    def _lost_since(self, position: core.Position) -> bool:
        """Tell whether the session's own writes may have been lost."""
        if self._floor is None or position.term == self._floor.term:
            return False
        self._floor = None
        self._acknowledged = 0
        return True

    def _see(self, position: core.Position) -> None:
        if self._floor is None or position > self._floor:
            self._floor = position
