"""Reading the JSON lines that proxies wrote, of one or many of them."""

from collections.abc import Iterable
import datetime
import json
import typing

import attrs
import result

#: How a line of ours begins; what stands before it, such as the name of a
#: VM that a collector has added, is skipped.
BEGINNING = '{"time"'


@attrs.frozen
class LogLine:
    """One event: when, by which run of a proxy, and what it tells.

    ``time`` is in seconds since the epoch, by the clock of the VM.
    """

    time: float
    proxy: str
    event: int
    message: str
    fields: dict[str, object]

    def text(self, name: str) -> str:
        """Give a field as text; empty if the event has none."""
        found = self.fields.get(name)
        return '' if found is None else str(found)


@attrs.define
class Reading:
    """The lines that could be read, by time, and how many could not."""

    lines: list[LogLine] = attrs.field(factory=list)
    malformed: int = 0


def read_lines(texts: Iterable[str]) -> Reading:
    """Read lines in any order; what is not of ours is passed over.

    A line that was cut off counts as malformed.
    """
    found = Reading()
    for text in texts:
        begins = text.find(BEGINNING)
        if begins < 0:
            continue
        line = _read(text[begins:])
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
    """Give the seconds of a time such as ``2026-01-21 00:32:08,522``."""
    moment = datetime.datetime.strptime(text, '%Y-%m-%d %H:%M:%S,%f')
    return moment.replace(tzinfo=datetime.UTC).timestamp()
