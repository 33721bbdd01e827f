"""Formats log lines as JSON."""

import logging
import time
import typing

from pythonjsonlogger import json as jsonlogger

#: Attribute of a log record that holds the fields of an event.
FIELDS = 'event_fields'


class EventFormatter(jsonlogger.JsonFormatter):
    """Formats records of events; any other record as its base class does.

    The base class creates an encoder and formats the local time for each
    line, and compares each attribute of a record with a list of reserved
    names. Here the encoder is created once, the time once a second, and the
    fields of an event are apart from the other attributes.
    """

    def __init__(self, proxy_id: str) -> None:
        super().__init__(
            ['asctime', 'levelname', 'message'],
            rename_fields={'asctime': 'time', 'levelname': 'level'},
            static_fields={'proxy': proxy_id},
        )
        self._encode = jsonlogger.JsonEncoder().encode
        self._second = -1
        self._second_text = ''

    def formatTime(
        self, record: logging.LogRecord, datefmt: str | None = None
    ) -> str:
        second = int(record.created)
        if second != self._second:
            self._second = second
            self._second_text = time.strftime(
                self.default_time_format, time.localtime(second)
            )
        return f'{self._second_text},{int(record.msecs):03d}'

    def add_fields(
        self,
        log_data: dict[str, typing.Any],
        record: logging.LogRecord,
        message_dict: dict[str, typing.Any],
    ) -> None:
        fields = record.__dict__.get(FIELDS)
        if fields is None:
            super().add_fields(log_data, record, message_dict)
            return
        log_data['time'] = record.asctime
        log_data['level'] = record.levelname
        log_data['message'] = record.message
        log_data.update(self.static_fields)
        log_data.update(fields)

    def jsonify_log_record(self, log_data: dict[str, typing.Any]) -> str:
        return self._encode(log_data)
