"""What callers were told, and the reads that lack what they were told.

The check of the reads asks only what a read's log held. Unlike that of the
soak it doesn't depend on which instance is the primary, or on positions, and
a commit made at a superseded primary counts as any other.
"""

from collections.abc import Iterator
import contextlib
import time

import anyio
import attrs

from tidegrade_edge import _client
from tidegrade_edge import _instance
from tidegrade_edge import _site

#: Databases whose reads must see every acknowledged commit, and those whose
#: reads must also see the commits of their own session.
STRICT, OWN = 'db-primary', 'db-own'
DATABASES = (STRICT, 'db-bounded', OWN)
#: Age that reads may have where the route allows one, in seconds.
MAX_AGE_S = 1.5
#: Time after which a caller gives a statement up, in seconds.
PATIENCE_S = 2.5
#: Pause between two statements of a session, and before a new session.
PAUSE_S = 0.02

_LOST = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    TimeoutError,
)


@attrs.define(eq=False)
class Statement:
    """A statement of a caller; ``answered_at`` is None without a success."""

    id: str
    session: str
    database: str
    text: str
    proxy: int
    sent_at: float
    answered_at: float | None = None


class History:
    """Callers that write and read, and what they were told."""

    def __init__(self, site: '_site.Site') -> None:
        self._site = site
        self._sessions = 0
        self.statements: dict[str, Statement] = {}

    # Callers --------------------------------------------------------------

    async def call(self, number: int, database: str) -> None:
        """Write and read at a proxy, in one session after another."""
        while True:
            with contextlib.suppress(*_LOST):
                await self._run_session(number, database)
            await anyio.sleep(PAUSE_S)

    async def _run_session(self, number: int, database: str) -> None:
        self._sessions += 1
        session = f's{self._sessions}-'
        front = self._site.proxies[number].front
        with anyio.fail_after(PATIENCE_S):
            client = await _client.Client.connect(front, database, session)
        if client is None:
            return
        try:
            for count in range(20):
                item = f'{session}{count % 3}'
                for text in (f'WRITE {item} {count}', f'READ {item}'):
                    await self._ask(client, number, database, session, text)
                    await anyio.sleep(PAUSE_S)
        finally:
            with anyio.CancelScope(shield=True):
                await client.close()

    async def _ask(
        self,
        client: _client.Client,
        number: int,
        database: str,
        session: str,
        text: str,
    ) -> None:
        asked = Statement(
            f'{session}{len(self.statements)}',
            session,
            database,
            text,
            number,
            time.monotonic(),
        )
        self.statements[asked.id] = asked
        with anyio.fail_after(PATIENCE_S):
            reply = await client.ask(text, asked.id)
        if not reply.error:
            asked.answered_at = time.monotonic()

    # Checks ---------------------------------------------------------------

    def acknowledged(self) -> list[tuple[float, _instance.Commit]]:
        """Give the commits that callers were told of, and when.

        Those that a promotion has rolled back are left out: they were made
        before it took effect, and its log lacks them.
        """
        found = []
        for instance in self._site.instances:
            for commit in instance.commits:
                asked = self.statements.get(commit.entry.request_id)
                if asked is None or asked.answered_at is None:
                    continue
                if not self._is_rolled_back(commit):
                    found.append((asked.answered_at, commit))
        return sorted(found, key=lambda pair: pair[0])

    def _is_rolled_back(self, commit: _instance.Commit) -> bool:
        """Tell whether a promotion has rolled a commit back.

        A commit that was made at a superseded primary is on no log that a
        promotion could have rolled back.
        """
        for term, since in self._later_terms(commit):
            if commit.at >= since:
                return False
            if commit.entry.request_id not in self._site.led_with[term]:
                return True
        return False

    def _later_terms(
        self, commit: _instance.Commit
    ) -> list[tuple[int, float]]:
        """Give the terms after that of a commit, and when each began."""
        terms = sorted(self._site.led_since.items())
        return [pair for pair in terms if pair[0] > commit.entry.term]

    def superseded(self) -> list[_instance.Commit]:
        """Give the acknowledged commits of a term after the next began."""
        return [
            commit
            for _, commit in self.acknowledged()
            if any(commit.at >= at for _, at in self._later_terms(commit)[:1])
        ]

    def stale_reads(self) -> list[str]:
        """Give the reads that lack a commit that they must see."""
        acknowledged = self.acknowledged()
        return [
            f'{asked.id} on {asked.database} by proxy {asked.proxy} ran at '
            f'{instance.id} at {run.shown}, {missing}'
            for instance in self._site.instances
            for run in instance.runs
            if run.text.startswith('READ ')
            and (asked := self.statements.get(run.request_id)) is not None
            for missing in self._missing(asked, run, acknowledged)
        ]

    def _missing(
        self,
        asked: Statement,
        run: _instance.Run,
        acknowledged: list[tuple[float, _instance.Commit]],
    ) -> Iterator[str]:
        """Tell what a read lacks; it gives one text at most."""
        allowed = 0.0 if asked.database == STRICT else MAX_AGE_S
        saw = set(run.saw)
        lacking = []
        for at, commit in acknowledged:
            if at > asked.sent_at:
                break
            by = self.statements[commit.entry.request_id].session
            own = asked.database == OWN and by == asked.session
            if commit.entry.request_id not in saw and (
                own or at <= asked.sent_at - allowed
            ):
                lacking.append((at, commit))
        if lacking:
            at, commit = lacking[0]
            entry = commit.entry
            yield (
                f'without {len(lacking)} commits, first {entry.request_id} '
                f'of {commit.instance} {entry.term}.{entry.number}, '
                f'acknowledged {asked.sent_at - at:.3f} s before'
            )
