"""Reads the JSON log lines of one or more proxies."""

from collections.abc import Iterable
import datetime
import json
import typing

import attrs
import result

#: Start of a log line of a proxy. Text before it is skipped, such as the
#: name of a VM that a log collector adds.
LINE_START = '{"time"'


@attrs.frozen
class LogLine:
    """One log event of one run of a proxy.

    ``time`` is in seconds since the Unix epoch, by the clock of the VM.
    """

    time: float
    proxy: str
    event: int
    message: str
    fields: dict[str, object]

    def text(self, name: str) -> str:
        """Return a field as text; empty if the event lacks the field."""
        found = self.fields.get(name)
        return '' if found is None else str(found)


@attrs.define
class Reading:
    """The lines that were read, by time, and the count of malformed ones."""

    lines: list[LogLine] = attrs.field(factory=list)
    malformed: int = 0


def read_lines(texts: Iterable[str]) -> Reading:
    """Read lines in any order; lines that no proxy wrote are skipped.

    A line of a proxy that was cut off counts as malformed.
    """
    found = Reading()
    for text in texts:
        start = text.find(LINE_START)
        if start < 0:
            continue
        line = _read(text[start:])
        if line.is_ok():
            found.lines.append(line.unwrap())
        else:
            found.malformed += 1
    found.lines.sort(key=lambda line: line.time)
    return found


def _read(text: str) -> result.Result[LogLine, str]:
    try:
        fields: dict[str, typing.Any] = json.loads(text)
        return result.Ok(
            LogLine(
                time=_seconds(fields.pop('time')),
                proxy=fields.pop('proxy'),
                event=fields.pop('event'),
                message=fields.pop('message'),
                fields=fields,
            )
        )
    except (ValueError, KeyError, TypeError, AttributeError) as exc:
        return result.Err(str(exc))


def _seconds(text: str) -> float:
    """Return seconds since the Unix epoch.

    ``text`` is a time in UTC such as ``2026-01-21 00:32:08,522``.
    """
    parsed = datetime.datetime.strptime(text, '%Y-%m-%d %H:%M:%S,%f')
    return parsed.replace(tzinfo=datetime.UTC).timestamp()
