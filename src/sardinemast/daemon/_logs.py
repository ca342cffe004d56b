"""Log handlers that write text or JSON lines."""

import atexit
import sys
from typing import Any

import msgspec
from logbook import (
    LogRecord,
    RotatingFileHandler,
    StderrHandler,
    StreamHandler,
)
from logbook.handlers import Handler

from sardinemast.conf import LogSettings
from sardinemast.daemon._queued_output import QueuedOutput

_TEXT_FORMAT = (
    '{record.time:%Y-%m-%d %H:%M:%S.%f} {record.level_name:<7} '
    '[{record.channel}] {record.message}'
)


def create_log_handler(logs: LogSettings) -> Handler:
    """Create the log handler for the settings."""
    level = logs.level.upper()
    if logs.file:
        handler: Handler = RotatingFileHandler(
            logs.file,
            level=level,
            max_size=logs.max_bytes,
            backup_count=logs.backups,
        )
    elif logs.format == 'json':
        output = QueuedOutput(sys.stdout.fileno())
        atexit.register(output.close)
        handler = StreamHandler(output, level=level)
    else:
        handler = StderrHandler(level=level)
    if logs.format == 'json':
        handler.formatter = format_json_line
    else:
        handler.format_string = _TEXT_FORMAT
    return handler


def format_json_line(record: LogRecord, handler: Any) -> str:
    """Return a log record as one line of JSON."""
    line = msgspec.json.encode(
        {
            'time': record.time.isoformat(),
            'level': record.level_name.lower(),
            'part': record.channel,
            'text': record.message,
            **record.extra,
        },
    )
    return line.decode()
