"""The SQL that the proxy itself sends to endpoints."""

#: Names of the tables that the proxy keeps in each group's database.
TERM_TABLE = 'tidegrade_term'
KEY_TABLE = 'tidegrade_key'

#: Name of the server setting that holds the endpoint's promise.
PROMISE_SETTING = 'tidegrade.promised_term'

#: Advisory lock held while a promise is raised or a promotion is made.
CONTROL_LOCK = 7_495_031

#: The endpoint's report. The marker and the promise come with positions,
#: read before the statements of the same transaction.
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

MARK_TERM = (
    f'INSERT INTO {TERM_TABLE} (term, fork_lsn) VALUES ($1, $2)'
    ' ON CONFLICT (term) DO NOTHING'
)
FORK_AFTER = f'SELECT min(fork_lsn) FROM {TERM_TABLE} WHERE term > $1'

INSERT_KEY = f'INSERT INTO {KEY_TABLE} (key, fingerprint) VALUES ($1, $2)'
KEEP_RESULT = f'UPDATE {KEY_TABLE} SET result = $1 WHERE key = $2'
FIND_KEY = f'SELECT fingerprint, result FROM {KEY_TABLE} WHERE key = $1'

LOCK = f'SELECT pg_advisory_lock({CONTROL_LOCK})'
UNLOCK = f'SELECT pg_advisory_unlock({CONTROL_LOCK})'
RELOAD = 'SELECT pg_reload_conf()'
PROMOTE = 'SELECT pg_promote(true, 30)'


def set_promise(term: int) -> str:
    """Give the statement that raises the endpoint's promise."""
    return f"ALTER SYSTEM SET {PROMISE_SETTING} = '{term:d}'"


def set_upstream(conninfo: str) -> str:
    """Give the statement that makes a replica follow an address."""
    quoted = conninfo.replace("'", "''")
    return f"ALTER SYSTEM SET primary_conninfo = '{quoted}'"


def parse_lsn(text: str | None) -> int:
    """Give the number behind a position such as ``16/B374D848``."""
    if not text:
        return 0
    high, _, low = str(text).partition('/')
    return (int(high, 16) << 32) + int(low, 16)
