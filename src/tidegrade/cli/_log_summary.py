"""Counts answers by interval, and finds the log lines of one request."""

import collections
from collections.abc import Iterable
import math

import attrs

from tidegrade.cli import _log_lines
from tidegrade import logs

#: Numbers of the events that record the answer to a request.
ANSWER_EVENTS = frozenset(
    {
        logs.LogEvent.ANSWERED.number,
        logs.LogEvent.REFUSED.number,
        logs.LogEvent.OUTCOME_UNKNOWN.number,
    }
)
#: Numbers of the events that record a change in a proxy's state or the
#: reason why it can't serve.
STATE_EVENTS = frozenset(
    event.number
    for event in (
        logs.LogEvent.STARTED,
        logs.LogEvent.DRAINING,
        logs.LogEvent.PROCESS_PAUSED,
        logs.LogEvent.PLATFORM_UNREACHABLE,
        logs.LogEvent.PLATFORM_REACHABLE,
        logs.LogEvent.CONFIG_ADOPTED,
        logs.LogEvent.TERM_SEEN,
        logs.LogEvent.TERM_ENDING,
        logs.LogEvent.TERM_BEGUN,
        logs.LogEvent.ATTEMPT_ABANDONED,
        logs.LogEvent.PERMISSION_CHANGED,
        logs.LogEvent.ENDPOINT_REPORTED,
        logs.LogEvent.ENDPOINT_REACHED,
        logs.LogEvent.DOMAIN_ISOLATED,
        logs.LogEvent.DOMAIN_CONNECTED,
        logs.LogEvent.PEER_SILENT,
        logs.LogEvent.CONNECT_FAILED,
        logs.LogEvent.FORWARD_LOST,
    )
)
#: State events up to this long before a request's answer are shown, in
#: seconds; twice the duration of a permission.
STATE_WINDOW_S = 2.0


@attrs.frozen
class Interval:
    """Counts of the answers in one interval, by kind and by result.

    ``start_s`` is in seconds since the Unix epoch.
    """

    start_s: float
    counts: dict[tuple[str, str], int]


def count_by_interval(
    lines: Iterable[_log_lines.LogLine], step: float, late_ms: float
) -> list[Interval]:
    """Count answers by interval.

    ``step`` is the length of an interval in seconds. A refusal counts
    under its code, an answer that took longer than ``late_ms`` as ``late``
    and any other as ``in time``.
    """
    counts: dict[int, collections.Counter[tuple[str, str]]] = {}
    for line in lines:
        if line.event not in ANSWER_EVENTS:
            continue
        number = math.floor(line.time / step)
        result = _result_of(line, late_ms)
        found = counts.setdefault(number, collections.Counter())
        found[line.text('kind').lower(), result] += 1
    return [
        Interval(number * step, dict(counts[number]))
        for number in sorted(counts)
    ]


def _result_of(line: _log_lines.LogLine, late_ms: float) -> str:
    code = line.text('code')
    if code:
        return code
    took = float(line.text('took_ms') or 0.0)
    return 'late' if took > late_ms else 'in time'


def lines_of_request(
    lines: list[_log_lines.LogLine], request: str
) -> list[_log_lines.LogLine]:
    """Return a request's lines and the state events before its answers.

    The state events are those of the proxies that served or forwarded the
    request. ``lines`` must be sorted by time.
    """
    own = [line for line in lines if line.text('request') == request]
    proxies = {line.proxy for line in own}
    proxies |= {line.text('via') for line in own if line.text('via')}
    found = []
    for line in lines:
        is_state_event = line.event in STATE_EVENTS and line.proxy in proxies
        if line in own or (is_state_event and _precedes(line, own)):
            found.append(line)
    return found


def _precedes(
    line: _log_lines.LogLine, answers: list[_log_lines.LogLine]
) -> bool:
    return any(0 <= a.time - line.time <= STATE_WINDOW_S for a in answers)
