"""The tenants of a run: keys that come and go, and a quota that binds."""

from collections.abc import Iterable
import random
import time

import anyio
import attrs
import tidegrade_edge as edge

from tidegrade_soak import _journal

#: Operations a second of the tenant whose quota binds, and its burst.
RATE = 25.0
#: Span in which a quota is counted, in seconds, and what may be above it: a
#: part, and so many operations.
WINDOW = 5.0
EXCESS = 0.1
SLACK = 20
#: Pause between changes of keys, in seconds.
PAUSE = (1.5, 4.0)
#: How long a key may be used after it was withdrawn, or refused after it was
#: added, in seconds; on a machine that runs many processes at once.
IN_FORCE = 5.0
#: How long all must have been calm before such a case counts, in seconds.
CALM = 4.0
#: A tenant that is never refused, for the stand-in's own sessions.
OPERATOR = 'operator'
LIMITED = 'limited'
NAMES = (OPERATOR, LIMITED, 'ample')


@attrs.define
class Key:
    """A key of a tenant, and when it was given and taken away."""

    tenant: str
    secret: str
    added_at: float
    withdrawn_at: float = float('inf')


class Tenants:
    """Gives callers keys, and changes them while a run goes on."""

    def __init__(self, site: edge.Site, rng: random.Random) -> None:
        self._site = site
        self._rng = rng
        self.keys: list[Key] = []
        for name in NAMES:
            self._add(name)
            self._add(name)
        site.key = self.newest(OPERATOR).secret
        site.tenants = self._listed()

    def newest(self, name: str) -> Key:
        """Give the key of a tenant that was added last."""
        return self._of(name)[-1]

    def usable(self, name: str, rng: random.Random) -> Key:
        """Give a key of a tenant that holds, an old one as a rule."""
        return rng.choice(self._of(name)[:-1] or self._of(name))

    async def change_keys(self) -> None:
        """Take the oldest key away and add one, until cancelled."""
        while True:
            await anyio.sleep(self._rng.uniform(*PAUSE))
            name = self._rng.choice(NAMES[1:])
            self._add(name)
            if len(self._of(name)) > 2:
                self._of(name)[0].withdrawn_at = time.monotonic()
            self._site.tenants = self._listed()
            self._site.configure()

    def _of(self, name: str) -> list[Key]:
        now = time.monotonic()
        return [
            key
            for key in self.keys
            if key.tenant == name and key.withdrawn_at > now
        ]

    def _add(self, name: str) -> None:
        secret = f'{self._rng.getrandbits(96):024x}'
        self.keys.append(Key(name, secret, time.monotonic()))

    def _listed(self) -> list[dict[str, object]]:
        return [
            {
                'name': name,
                'api_keys': [key.secret for key in self._of(name)],
                'priority': 1,
                'rate_per_s': RATE if name == LIMITED else 10_000,
                'burst': RATE if name == LIMITED else 10_000,
            }
            for name in NAMES
        ]

    # Checks ---------------------------------------------------------------

    def violations(self, journal: _journal.Journal) -> Iterable[str]:
        """Give each broken promise about tenants in words."""
        yield from self._foreign(journal)
        yield from self._keys_out_of_force(journal)
        yield from self._over_quota(journal)
        yield from self._told_keys()

    def _foreign(self, journal: _journal.Journal) -> Iterable[str]:
        for instance in self._site.instances:
            for run in instance.runs:
                asked = journal.asked.get(run.request_id)
                if asked is not None and run.tenant != asked.tenant:
                    yield (
                        f'UNASKED: {run.request_id} of {asked.tenant} ran '
                        f'for {run.tenant}'
                    )

    def _keys_out_of_force(self, journal: _journal.Journal) -> Iterable[str]:
        by_secret = {key.secret: key for key in self.keys}
        ran = {r.request_id for i in self._site.instances for r in i.runs}
        for asked in journal.asked.values():
            key = by_secret[asked.key]
            since = asked.sent_at - IN_FORCE
            if journal.disturbed(since - CALM, asked.sent_at + CALM):
                continue
            if key.withdrawn_at < since and asked.id in ran:
                yield f'CONFIG: {asked.id} ran with a key that was withdrawn'
            holds = key.added_at < since and key.withdrawn_at > asked.sent_at
            if holds and asked.code == 'NOAUTH':
                yield f'CONFIG: {asked.id} was refused with a key that holds'

    def _over_quota(self, journal: _journal.Journal) -> Iterable[str]:
        operations: dict[str, float] = {}
        for instance in self._site.instances:
            for run in instance.runs:
                asked = journal.asked.get(run.request_id)
                if asked is not None and asked.tenant == LIMITED:
                    name = asked.txn or asked.id
                    at = operations.get(name, run.at)
                    operations[name] = min(at, run.at)
        times = sorted(operations.values())
        most = (RATE * WINDOW + RATE) * (1 + EXCESS) + SLACK
        for number, at in enumerate(times):
            count = sum(t < at + WINDOW for t in times[number:])
            if count > most:
                yield f'QUOTA: {count} operations in {WINDOW} s'
                return

    def _told_keys(self) -> Iterable[str]:
        for number in range(len(self._site.proxies)):
            log = self._site.log_of(number)
            for key in self.keys:
                if key.secret in log:
                    yield f'SECRET: a key stands in the log of {number}'
