"""Structured logs: JSON lines with numbered events."""

from collections.abc import Callable
from collections.abc import Mapping
import enum
import logging
import sys
import typing

from tidegrade.logs import _format
from tidegrade.logs import _stream

_LOGGER = logging.getLogger('tidegrade')


class LogEvent(enum.Enum):
    """Every logged event: its number, level and message.

    A number never changes its meaning. docs/EVENTS.md describes each event.
    """

    STARTED = (1001, logging.INFO, 'the proxy serves')
    DRAINING = (1002, logging.INFO, 'the proxy takes no new work')
    STOPPED = (1003, logging.INFO, 'the proxy has stopped')
    DRAIN_LIMIT_REACHED = (
        1004,
        logging.WARNING,
        'the drain limit interrupted work',
    )
    INVARIANT_BROKEN = (1005, logging.CRITICAL, 'an invariant is broken')
    PROCESS_PAUSED = (1006, logging.WARNING, 'the process was suspended')
    RELOADED = (1007, logging.INFO, 'the settings were reloaded')
    RELOAD_REFUSED = (1008, logging.ERROR, 'new settings are unusable')
    SESSION_CLOSED = (1009, logging.INFO, 'an idle session was closed')
    LISTENER_CLOSED = (1010, logging.INFO, 'no new sessions are accepted')
    REQUEST_AT_CLOSE = (
        1011,
        logging.INFO,
        'a request arrived as its session was closed',
    )
    REQUEST_CUT = (1012, logging.WARNING, 'a request got no answer')
    REGISTERED = (
        1101,
        logging.INFO,
        'this proxy is registered with the supervisors',
    )
    PLATFORM_UNREACHABLE = (
        1102,
        logging.WARNING,
        'the platform does not answer',
    )
    PLATFORM_REACHABLE = (1103, logging.INFO, 'the platform answers again')
    STORE_RESTORED = (
        1104,
        logging.WARNING,
        'the store was restored from an older copy',
    )
    ROW_RESTORED = (1105, logging.WARNING, 'a lost row is written again')
    ROWS_RECHECKED = (
        1106,
        logging.WARNING,
        'entries of this proxy are read again after a restore of the store',
    )
    CONFIG_ADOPTED = (1201, logging.INFO, 'a configuration is in force')
    CONFIG_OLDER_IN_STORE = (
        1202,
        logging.ERROR,
        'the store holds an older configuration; the newer one stays in force',
    )
    CONFIG_REFUSED = (1203, logging.ERROR, 'a configuration is unusable')
    CONFIG_APPLIED = (1204, logging.INFO, 'an operator applied a file')
    CONFIG_CONFLICT = (1205, logging.INFO, 'another file was applied first')
    CONFIG_FROM_PEER = (
        1206,
        logging.WARNING,
        'a configuration arrived from another proxy first',
    )
    WATCH_STARTED = (1207, logging.INFO, 'this proxy watches the platform')
    WATCH_STOPPED = (
        1208,
        logging.INFO,
        'this proxy no longer watches the platform',
    )
    CONFIG_ANNOUNCED = (
        1209,
        logging.INFO,
        'another proxy has a newer configuration',
    )
    CONFIG_FETCH_FAILED = (
        1210,
        logging.WARNING,
        'a configuration could not be fetched from another proxy',
    )
    CONFIG_UNCONFIRMED = (
        1211,
        logging.WARNING,
        'the configuration is not confirmed as the newest; reading it again',
    )
    TERM_SEEN = (1301, logging.INFO, 'a group has a new term')
    TERM_ENDING = (1302, logging.WARNING, 'this proxy ends a term')
    TERM_BEGUN = (1303, logging.WARNING, 'this proxy began a term')
    ATTEMPT_ABANDONED = (1304, logging.WARNING, 'a change of term stopped')
    ROW_MALFORMED = (1305, logging.ERROR, 'a group row is unreadable')
    ORDER_ENDED = (1306, logging.INFO, 'an order to an endpoint ended')
    PRIMARY_DOWN = (
        1307,
        logging.WARNING,
        'this proxy considers a primary down',
    )
    PRIMARY_NOT_DOWN = (
        1308,
        logging.INFO,
        'this proxy no longer considers a primary down',
    )
    PROMOTION_ORDERED = (
        1309,
        logging.WARNING,
        'this proxy requests the promotion of an endpoint',
    )
    ATTEMPT_CLAIMED = (
        1310,
        logging.WARNING,
        'this proxy has claimed an attempt to begin a term',
    )
    PERMISSION_CHANGED = (
        1311,
        logging.INFO,
        'the permission of this proxy to acknowledge writes has changed',
    )
    PEER_REFUSED = (1401, logging.WARNING, 'input from a peer was rejected')
    PEER_SILENT = (
        1404,
        logging.WARNING,
        'a connection to a peer stopped answering',
    )
    DOMAIN_ISOLATED = (
        1402,
        logging.WARNING,
        'the failure domain is isolated from all others',
    )
    DOMAIN_CONNECTED = (
        1403,
        logging.INFO,
        'the failure domain is connected again',
    )
    DOMAIN_DIFFERS = (
        1405,
        logging.INFO,
        'a relay reports a different set of proxies for a failure domain',
    )
    SHARE_CHANGED = (
        1406,
        logging.INFO,
        "the share of a group's connections has changed",
    )
    HOMES_CHANGED = (
        1409,
        logging.INFO,
        "the number of a group's homes has changed",
    )
    RELAYS_SILENT = (
        1407,
        logging.INFO,
        'this proxy acts as a relay in place of silent ones',
    )
    ENDPOINT_LEAVING = (1501, logging.INFO, 'endpoints are leaving')
    CONNECT_FAILED = (
        1502,
        logging.WARNING,
        'a connection to an endpoint failed',
    )
    ENTRY_REFUSED = (
        1503,
        logging.WARNING,
        'an entry in the list of endpoints is invalid',
    )
    ENTRY_RECOVERED = (
        1504,
        logging.INFO,
        'an invalid entry was corrected or removed',
    )
    ENDPOINT_FAILS_WORK = (
        1505,
        logging.WARNING,
        'an endpoint fails statements; it gets single trials only',
    )
    ENDPOINT_WORKS = (1506, logging.INFO, 'an endpoint answers statements')
    ENDPOINT_REPORTED = (
        1507,
        logging.INFO,
        'an endpoint reports another role or term, or its first after 1508',
    )
    ENDPOINT_REACHED = (
        1508,
        logging.INFO,
        'an endpoint is reached again after its connections had ended',
    )
    REQUEST_FAILED = (
        1601,
        logging.ERROR,
        'a request failed with an internal error',
    )
    ANSWERED = (1603, logging.INFO, 'a request was answered')
    REFUSED = (1604, logging.WARNING, 'a request was refused')
    SESSION_REFUSED = (1605, logging.INFO, 'a session was refused')
    FORWARD_LOST = (
        1606,
        logging.WARNING,
        'another proxy did not answer for a request',
    )
    QUOTA_OWNER_LOST = (
        1607,
        logging.WARNING,
        "the owner of a tenant's quota did not answer",
    )
    QUOTA_GRANTED = (
        1608,
        logging.INFO,
        'operations granted from a quota by this proxy',
    )
    QUOTA_HANDED_OVER = (
        1609,
        logging.INFO,
        "this proxy handed a tenant's quota over to its next owner",
    )
    QUOTA_TAKEN_OVER = (
        1610,
        logging.INFO,
        "a handover of a tenant's quota was received",
    )
    QUOTA_OWNERSHIP_RESET = (
        1611,
        logging.INFO,
        'quota ownership times were reset after a pause of this process',
    )
    LINES_DROPPED = (1701, logging.WARNING, 'log lines were dropped')
    OUTCOME_UNKNOWN = (1602, logging.WARNING, 'an outcome is unknown')

    @property
    def number(self) -> int:
        """The number of the event in docs/EVENTS.md."""
        return self.value[0]

    @property
    def level(self) -> int:
        """The logging level of the event."""
        return self.value[1]

    @property
    def meaning(self) -> str:
        """The message that is logged."""
        return self.value[2]


def configure_unblocked(proxy_id: str, fd: int) -> None:
    """Send the logs to a file descriptor without blocking on its reader."""
    configure(
        proxy_id, typing.cast(typing.TextIO, _stream.UnblockedStream(fd))
    )


def configure(proxy_id: str, stream: typing.TextIO = sys.stderr) -> None:
    """Send the logs of this process to a stream as JSON lines."""
    handler = logging.StreamHandler(stream)
    handler.setFormatter(_format.EventFormatter(proxy_id))
    _LOGGER.handlers[:] = [handler]
    _LOGGER.setLevel(logging.INFO)
    _LOGGER.propagate = False


_rate_limit = _stream.LineRateLimit()


def write_bounded(event: LogEvent, **fields: object) -> None:
    """Log an event of a request, within the rate limit for such lines.

    The number of dropped lines is logged with the next line that passes.
    """
    write_bounded_lazily(event, lambda: fields)


def write_bounded_lazily(
    event: LogEvent, make_fields: Callable[[], Mapping[str, object]]
) -> None:
    """Log an event as `write_bounded` does; make fields only if it is."""
    if not _rate_limit.take():
        return
    dropped = _rate_limit.take_dropped()
    if dropped:
        write(LogEvent.LINES_DROPPED, count=dropped)
    write(event, **make_fields())


def write(event: LogEvent, **fields: object) -> None:
    """Log an event; the fields must not hold secrets."""
    if not _LOGGER.isEnabledFor(event.level):
        return
    # A record made here has no place in the source, which `Logger.log` would
    # search the stack for and no line shows.
    record = logging.LogRecord(
        _LOGGER.name, event.level, '', 0, event.meaning, None, None
    )
    record.__dict__[_format.FIELDS] = {'event': event.number, **fields}
    _LOGGER.handle(record)
