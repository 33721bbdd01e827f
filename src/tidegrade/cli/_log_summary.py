"""What became of requests over time, and one request with its causes."""

import collections
from collections.abc import Iterable
import math

import attrs

from tidegrade.cli import _log_lines
from tidegrade import logs

#: Events that are the answer to a request.
ANSWERS = frozenset(
    {
        logs.LogEvent.ANSWERED.number,
        logs.LogEvent.REFUSED.number,
        logs.LogEvent.OUTCOME_UNKNOWN.number,
    }
)
#: Events that change what a proxy believes, or say why it can't serve.
BELIEFS = frozenset(
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
        logs.LogEvent.DOMAIN_ISOLATED,
        logs.LogEvent.DOMAIN_CONNECTED,
        logs.LogEvent.PEER_SILENT,
        logs.LogEvent.CONNECT_FAILED,
        logs.LogEvent.FORWARD_LOST,
    )
)
#: How far back beliefs are shown before a request's answer, in seconds:
#: twice what a permission lasts.
LOOK_BACK = 2.0


@attrs.frozen
class Interval:
    """What was answered in one interval, by kind and by what it was."""

    begins: float
    counts: dict[tuple[str, str], int]


def by_interval(
    lines: Iterable[_log_lines.LogLine], step: float, late_ms: float
) -> list[Interval]:
    """Count answers by interval; those above ``late_ms`` are ``late``.

    ``step`` is the length of an interval in seconds. A refusal counts
    under its code.
    """
    counts: dict[int, collections.Counter[tuple[str, str]]] = {}
    for line in lines:
        if line.event not in ANSWERS:
            continue
        number = math.floor(line.time / step)
        what = _what(line, late_ms)
        found = counts.setdefault(number, collections.Counter())
        found[line.text('kind').lower(), what] += 1
    return [
        Interval(number * step, dict(counts[number]))
        for number in sorted(counts)
    ]


def _what(line: _log_lines.LogLine, late_ms: float) -> str:
    code = line.text('code')
    if code:
        return code
    took = float(line.text('took_ms') or 0.0)
    return 'late' if took > late_ms else 'in time'


def about_request(
    lines: list[_log_lines.LogLine], request: str
) -> list[_log_lines.LogLine]:
    """Give a request's lines, and what its proxies believed before them.

    ``lines`` are in the order of time.
    """
    own = [line for line in lines if line.text('request') == request]
    proxies = {line.proxy for line in own}
    proxies |= {line.text('via') for line in own if line.text('via')}
    found = []
    for line in lines:
        believed = line.event in BELIEFS and line.proxy in proxies
        if line in own or (believed and _precedes(line, own)):
            found.append(line)
    return found


def _precedes(
    line: _log_lines.LogLine, answers: list[_log_lines.LogLine]
) -> bool:
    return any(0 <= a.time - line.time <= LOOK_BACK for a in answers)
