"""The secret that proxies share, kept in the platform's table."""

import random
import secrets

import anyio

from tidegrade import logs
from tidegrade import ports

#: Key of the row that holds the secret.
ROW = 'peer_key'
#: Length of the secret in bytes.
KEY_SIZE = 32
#: Pause between attempts to read or create it, in seconds.
RETRY_PAUSE = 0.3
#: Longest pause before the secret is created, in seconds: of many that
#: start together for the first time one creates it and the others find it.
FIRST_PAUSE = 0.5


async def shared_key(table: ports.Table, rng: random.Random) -> str:
    """Give the secret as hex digits; the first proxy ever creates it."""
    lost = False
    waited = False
    while True:
        found = await table.read(ROW)
        if found.is_err():
            if not lost:
                lost = True
                reason = found.unwrap_err()
                logs.write(logs.LogEvent.PLATFORM_LOST, reason=reason)
            await anyio.sleep(RETRY_PAUSE)
            continue
        row = found.unwrap()
        if row is not None:
            return row.value.decode('ascii')
        if not waited:
            waited = True
            await anyio.sleep(rng.uniform(0, FIRST_PAUSE))
            continue
        made = secrets.token_hex(KEY_SIZE)
        # Whatever becomes of the write, the next read tells the secret.
        await table.write(ROW, made.encode('ascii'), None)
