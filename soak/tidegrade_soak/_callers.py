"""Callers that hold sessions, and go on whatever happens to them."""

import random
import time

import anyio
import tidegrade_edge as edge

from tidegrade_soak import _journal
from tidegrade_soak import _tenants

#: What ends a session from outside.
GONE = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)
#: Time that a caller waits for one answer, in seconds. Statements have 2 s
#: on the stand-in's databases.
PATIENCE = 6.0
#: Items that all callers read and write.
ITEMS = 12
DATABASES = ('db-primary', 'db-own', 'db-own', 'db-bounded')


class Caller:
    """One caller: opens sessions at any proxy and runs operations."""

    def __init__(
        self,
        name: str,
        site: edge.Site,
        journal: _journal.Journal,
        rng: random.Random,
        tenants: _tenants.Tenants | None = None,
    ) -> None:
        self._name = name
        self._site = site
        self._journal = journal
        self._rng = rng
        self._tenants = tenants
        self._count = 0
        self._sessions = 0
        self.served = 0
        self.moved = 0

    async def run(self) -> None:
        """Work until cancelled."""
        while True:
            try:
                with anyio.move_on_after(PATIENCE * 4):
                    await self._session()
            except (*GONE, TimeoutError):
                # Its proxy went, or stood still: another one serves on.
                self.moved += 1
            await anyio.sleep(self._rng.uniform(0.01, 0.1))

    # Sessions -------------------------------------------------------------

    async def _session(self) -> None:
        self._sessions += 1
        number = self._rng.randrange(len(self._site.proxies))
        proxy = self._site.proxies[number]
        self._at = int(proxy.name.rpartition('-')[2])
        self._database = self._rng.choice(DATABASES)
        self._caller = f'{self._name}.{self._sessions}'
        self._values: dict[str, str] = {}
        self._key, self._tenant = '', ''
        if self._tenants is not None:
            name = self._rng.choice(_tenants.NAMES)
            key = self._tenants.usable(name, self._rng)
            self._key, self._tenant = key.secret, name
        with anyio.fail_after(PATIENCE):
            client = await edge.Client.connect(
                proxy.front, self._database, self._name, self._key
            )
        if client is None:
            return
        try:
            for _ in range(self._rng.randrange(1, 30)):
                await self._operation(client)
                await anyio.sleep(self._rng.expovariate(20))
        finally:
            await client.close()

    async def _operation(self, client: edge.Client) -> None:
        kind = self._rng.random()
        if kind < 0.05:
            await self._set(client)
        elif kind < 0.25:
            await self._transaction(client)
        else:
            await self._ask(client, self._statement(), time.monotonic())

    async def _set(self, client: edge.Client) -> None:
        name = self._rng.choice(('zone', 'unit'))
        value = str(self._rng.randrange(5))
        reply = await client.ask(f'SET {name} {value}')
        if not reply.error:
            self._values = {**self._values, name: value}

    async def _transaction(self, client: edge.Client) -> None:
        """Run a transaction; some callers leave in the middle of it."""
        began_at = time.monotonic()
        self._count += 1
        txn = f'{self._name}-t{self._count}'
        read_only = self._rng.random() < 0.3
        begun = await client.ask('BEGIN READ' if read_only else 'BEGIN')
        if begun.error:
            return
        for _ in range(self._rng.randrange(1, 4)):
            if self._rng.random() < 0.03:
                raise anyio.EndOfStream
            text = f'READ {self._item()}' if read_only else self._statement()
            if not await self._ask(client, text, began_at, txn):
                await client.ask('ROLLBACK')
                return
            await anyio.sleep(self._rng.expovariate(50))
        ending = self._rng.random()
        if ending < 0.1:
            await client.ask('ROLLBACK')
        else:
            await self._ask(client, 'COMMIT', began_at, txn)

    # Statements -----------------------------------------------------------

    def _item(self) -> str:
        return f'i{self._rng.randrange(ITEMS)}'

    def _statement(self) -> str:
        if self._rng.random() < 0.4:
            return f'WRITE {self._item()} {self._name}-{self._count}'
        return f'READ {self._item()}'

    async def _ask(
        self,
        client: edge.Client,
        text: str,
        began_at: float,
        txn: str = '',
    ) -> bool:
        """Run one statement, note what came of it; tell if it succeeded."""
        self._count += 1
        asked = _journal.Asked(
            id=f'{self._name}-{self._count}',
            caller=self._caller,
            database=self._database,
            text=text,
            values=dict(self._values),
            began_at=began_at,
            proxy=self._at,
            txn=txn,
            sent_at=time.monotonic(),
            key=self._key,
            tenant=self._tenant,
        )
        self._journal.note(asked)
        try:
            with anyio.fail_after(PATIENCE):
                reply = await client.ask(text, asked.id)
        except GONE:
            asked.lost_at = time.monotonic()
            raise
        asked.answered_at = time.monotonic()
        asked.code = reply.code
        asked.receipt = reply.receipt
        asked.rows = reply.rows
        self.served += asked.done
        return asked.done
