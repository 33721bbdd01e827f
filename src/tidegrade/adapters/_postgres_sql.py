"""SQL statements that the proxy sends to endpoints for its own use."""

#: Names of the tables that the proxy maintains in the database of each group.
TERM_TABLE = 'tidegrade_term'
KEY_TABLE = 'tidegrade_key'

#: Name of the server setting that stores the promised term of an endpoint.
PROMISE_SETTING = 'tidegrade.promised_term'

#: Advisory lock held while the promised term is raised or the endpoint is
#: promoted.
CONTROL_LOCK = 7_495_031

#: The status report of an endpoint. The newest term and the promised term are
#: read together with the WAL positions, before the other statements of the
#: same transaction.
STATUS = f"""
SELECT pg_is_in_recovery(),
  CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn()
       ELSE pg_current_wal_lsn() END,
  CASE WHEN pg_is_in_recovery() THEN pg_last_wal_receive_lsn()
       ELSE pg_current_wal_lsn() END,
  (SELECT max(term) FROM {TERM_TABLE}),
  (SELECT max(CAST(setting AS bigint)) FROM pg_file_settings
   WHERE name = '{PROMISE_SETTING}')
"""

LSN = """
SELECT CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn()
            ELSE pg_current_wal_lsn() END
"""

RECEIVED_AND_REPLAYED = (
    'SELECT pg_last_wal_receive_lsn(), pg_last_wal_replay_lsn()'
)

SETUP = (
    f'CREATE TABLE IF NOT EXISTS {TERM_TABLE}'
    ' (term bigint PRIMARY KEY, fork_lsn bigint NOT NULL)',
    f'CREATE TABLE IF NOT EXISTS {KEY_TABLE}'
    ' (key text PRIMARY KEY, fingerprint text NOT NULL, result text)',
)

INSERT_TERM = (
    f'INSERT INTO {TERM_TABLE} (term, fork_lsn) VALUES ($1, $2)'
    ' ON CONFLICT (term) DO NOTHING'
)
FORK_AFTER = f'SELECT min(fork_lsn) FROM {TERM_TABLE} WHERE term > $1'

INSERT_KEY = f'INSERT INTO {KEY_TABLE} (key, fingerprint) VALUES ($1, $2)'
STORE_RESULT = f'UPDATE {KEY_TABLE} SET result = $1 WHERE key = $2'
FIND_KEY = f'SELECT fingerprint, result FROM {KEY_TABLE} WHERE key = $1'

LOCK = f'SELECT pg_advisory_lock({CONTROL_LOCK})'
UNLOCK = f'SELECT pg_advisory_unlock({CONTROL_LOCK})'
RELOAD = 'SELECT pg_reload_conf()'
PROMOTE = 'SELECT pg_promote(true, 30)'


def set_promised_term(term: int) -> str:
    """Return the statement that sets the promised term of an endpoint."""
    return f"ALTER SYSTEM SET {PROMISE_SETTING} = '{term:d}'"


def set_upstream(conninfo: str) -> str:
    """Return the statement that sets the upstream of a replica.

    An empty ``conninfo`` detaches the replica.
    """
    quoted = conninfo.replace("'", "''")
    return f"ALTER SYSTEM SET primary_conninfo = '{quoted}'"


def parse_lsn(text: str | None) -> int:
    """Return the number of a WAL position such as ``16/B374D848``.

    No position is 0.
    """
    if not text:
        return 0
    high, _, low = str(text).partition('/')
    return (int(high, 16) << 32) + int(low, 16)
