"""The secret that all proxies share, stored in the platform's table."""

import random
import secrets

import anyio

from tidegrade import logs
from tidegrade import ports

#: Key of the row that holds the secret.
ROW_KEY = 'peer_key'
#: Length of the secret in bytes.
KEY_BYTES = 32
#: Pause between attempts to read the secret, in seconds.
RETRY_PAUSE_S = 0.3
#: Longest random delay before the secret is created, in seconds. Of many
#: proxies that start together for the first time, one creates the secret and
#: the others find it.
MAX_CREATE_DELAY_S = 0.5


async def shared_key(table: ports.Table, rng: random.Random) -> str:
    """Return the secret as hex digits; the first proxy ever creates it."""
    lost = False
    waited = False
    while True:
        found = await table.read(ROW_KEY)
        if found.is_err():
            if not lost:
                lost = True
                reason = found.unwrap_err()
                logs.write(logs.LogEvent.PLATFORM_UNREACHABLE, reason=reason)
            await anyio.sleep(RETRY_PAUSE_S)
            continue
        row = found.unwrap()
        if row is not None:
            return row.value.decode('ascii')
        if not waited:
            waited = True
            await anyio.sleep(rng.uniform(0, MAX_CREATE_DELAY_S))
            continue
        created = secrets.token_hex(KEY_BYTES)
        # The result is ignored: the next read returns the stored secret, and
        # if none is stored the write is repeated.
        await table.write(ROW_KEY, created.encode('ascii'), None)
