"""Structured logs: JSON lines with numbered events."""

import enum
import logging
import sys
import typing

from pythonjsonlogger import json as jsonlogger

from tidegrade.logs import _stream

_LOGGER = logging.getLogger('tidegrade')


class LogEvent(enum.Enum):
    """Every event that is logged: its number, level and meaning.

    A number never changes its meaning. docs/EVENTS.md explains each.
    """

    STARTED = (1001, logging.INFO, 'the proxy serves')
    DRAINING = (1002, logging.INFO, 'the proxy takes no new work')
    STOPPED = (1003, logging.INFO, 'the proxy has stopped')
    DRAIN_CUT = (1004, logging.WARNING, 'the drain limit cut work')
    INVARIANT_BROKEN = (1005, logging.CRITICAL, 'an invariant is broken')
    PAUSED = (1006, logging.WARNING, 'the process stood still')
    RELOADED = (1007, logging.INFO, 'the settings were read again')
    RELOAD_REFUSED = (1008, logging.ERROR, 'new settings are unusable')
    SESSION_CLOSED = (1009, logging.INFO, 'a session at rest was closed')
    DOOR_CLOSED = (1010, logging.INFO, 'new callers are turned away')
    REGISTERED = (1101, logging.INFO, 'supervisors know this proxy')
    PLATFORM_LOST = (1102, logging.WARNING, 'the platform does not answer')
    PLATFORM_BACK = (1103, logging.INFO, 'the platform answers again')
    STORE_RETURNED = (
        1104,
        logging.WARNING,
        'the store has come back from an older copy',
    )
    ROW_RESTORED = (1105, logging.WARNING, 'a lost row is written again')
    GENERATION_SEEN = (
        1106,
        logging.WARNING,
        'what this proxy had written to the store is looked at again',
    )
    CONFIG_ADOPTED = (1201, logging.INFO, 'a configuration is in force')
    CONFIG_WENT_BACK = (
        1202,
        logging.ERROR,
        'the store shows an older configuration; the newer one stays',
    )
    CONFIG_REFUSED = (1203, logging.ERROR, 'a configuration is unusable')
    CONFIG_APPLIED = (1204, logging.INFO, 'an operator applied a file')
    CONFIG_CONFLICT = (1205, logging.INFO, 'another file was applied first')
    CONFIG_FROM_PEER = (
        1206,
        logging.WARNING,
        'a configuration came from another proxy first',
    )
    WATCH_TAKEN = (1207, logging.INFO, 'this proxy watches the platform')
    WATCH_LEFT = (1208, logging.INFO, 'others watch the platform')
    CONFIG_HEARD_OF = (
        1209,
        logging.INFO,
        'another proxy has a newer configuration',
    )
    CONFIG_NOT_GOT = (
        1210,
        logging.WARNING,
        'another proxy did not give its configuration',
    )
    CONFIG_UNPROVEN = (
        1211,
        logging.WARNING,
        'nobody shows that the configuration is the newest; it is read',
    )
    TERM_SEEN = (1301, logging.INFO, 'a group has a new term')
    TERM_ENDING = (1302, logging.WARNING, 'this proxy ends a term')
    TERM_BEGUN = (1303, logging.WARNING, 'this proxy began a term')
    ATTEMPT_ABANDONED = (1304, logging.WARNING, 'a change of term stopped')
    ROW_MALFORMED = (1305, logging.ERROR, 'a group row is unreadable')
    ORDER_ENDED = (1306, logging.INFO, 'an order to an endpoint ended')
    PRIMARY_DOWN = (1307, logging.WARNING, 'a primary counts as down here')
    PRIMARY_ANSWERS = (
        1308,
        logging.INFO,
        'a primary no longer counts as down here',
    )
    PROMOTION_ORDERED = (
        1309,
        logging.WARNING,
        'this proxy has an endpoint promoted',
    )
    PEER_REFUSED = (1401, logging.WARNING, 'a peer is not genuine')
    PEER_SILENT = (1404, logging.WARNING, 'a link to a peer went silent')
    CUT_OFF = (
        1402,
        logging.WARNING,
        'nobody outside the failure domain is heard',
    )
    IN_TOUCH = (1403, logging.INFO, 'the failure domain is in touch again')
    DOMAIN_DIFFERS = (
        1405,
        logging.INFO,
        'a relay counts the proxies of a failure domain otherwise',
    )
    SHARE_CHANGED = (
        1406,
        logging.INFO,
        "the share of a group's connections has changed",
    )
    ENDPOINT_LEAVING = (1501, logging.INFO, 'endpoints are leaving')
    CONNECT_FAILED = (1502, logging.WARNING, 'an endpoint was not reached')
    ENTRY_REFUSED = (
        1503,
        logging.WARNING,
        'an entry in the list of endpoints names none',
    )
    ENTRY_TAKEN_AGAIN = (
        1504,
        logging.INFO,
        'an entry is refused no longer, or has gone',
    )
    REQUEST_FAILED = (1601, logging.ERROR, 'a request met a fault of ours')
    ANSWERED = (1603, logging.INFO, 'a request was answered')
    REFUSED = (1604, logging.WARNING, 'a request was refused')
    SESSION_REFUSED = (1605, logging.INFO, 'a session was refused')
    FORWARD_LOST = (
        1606,
        logging.WARNING,
        'another proxy did not answer for a request',
    )
    KEEPER_LOST = (
        1607,
        logging.WARNING,
        "the keeper of a tenant's quota did not answer",
    )
    QUOTA_KEPT = (
        1608,
        logging.INFO,
        'what this proxy granted of a quota',
    )
    LINES_LEFT_OUT = (1701, logging.WARNING, 'log lines were left out')
    OUTCOME_UNKNOWN = (1602, logging.WARNING, 'an outcome is unknown')

    @property
    def number(self) -> int:
        """Give the event's number."""
        return self.value[0]

    @property
    def level(self) -> int:
        """Give the level it is logged at."""
        return self.value[1]

    @property
    def meaning(self) -> str:
        """Say what has happened."""
        return self.value[2]


def configure_unblocked(proxy_id: str, fd: int) -> None:
    """Send the logs to a descriptor, without ever waiting for its reader."""
    configure(
        proxy_id, typing.cast(typing.TextIO, _stream.UnblockedStream(fd))
    )


def configure(proxy_id: str, stream: typing.TextIO = sys.stderr) -> None:
    """Send the logs of this process to a stream as JSON lines."""
    handler = logging.StreamHandler(stream)
    handler.setFormatter(
        jsonlogger.JsonFormatter(
            ['asctime', 'levelname', 'message'],
            rename_fields={
                'asctime': 'time',
                'levelname': 'level',
            },
            static_fields={'proxy': proxy_id},
        )
    )
    _LOGGER.handlers[:] = [handler]
    _LOGGER.setLevel(logging.INFO)
    _LOGGER.propagate = False


_budget = _stream.LineBudget()


def write_bounded(event: LogEvent, **fields: object) -> None:
    """Log an event of a request, unless too many come at once."""
    if not _budget.take():
        return
    left_out = _budget.take_left_out()
    if left_out:
        write(LogEvent.LINES_LEFT_OUT, count=left_out)
    write(event, **fields)


def write(event: LogEvent, **fields: object) -> None:
    """Log an event; the fields must not hold secrets."""
    _LOGGER.log(
        event.level, event.meaning, extra={'event': event.number, **fields}
    )
