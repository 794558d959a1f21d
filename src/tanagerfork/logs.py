"""Structured logs: one line for each change of state, written to standard error only."""

import datetime
import logging as standard_logging

import msgspec
from absl import logging

from tanagerfork.generated import events
from tanagerfork.generated import settings as settings_records

EVENT_FIELD = "timeline_event"
STATE_SUBJECTS = frozenset(
    (
        "daemon",
        "bundle",
        "group",
        "lease",
        "fingerprint",
        "vm",
        "peer",
        "rollout",
        "platform",
        "certificate",
    )
)
QUIET_LIBRARIES = ("transitions", "aiohttp", "asyncio")  # They log more than changes of state.


class LogLine(msgspec.Struct, omit_defaults=True):
    """One line of the log."""

    timestamp: str
    level: str
    logger: str
    message: str
    event: events.Event | None = None
    error: str = ""


class JsonFormatter(standard_logging.Formatter):
    """Formats log records as JSON."""

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return the JSON line of a record.

        :param record: record of the logging library.
        """
        line = LogLine(
            timestamp=_format_timestamp(record.created),
            level=record.levelname.lower(),
            logger=record.name,
            message=record.getMessage(),
            event=getattr(record, EVENT_FIELD, None),
            error=self.formatException(record.exc_info) if record.exc_info else "",
        )
        return msgspec.json.encode(line).decode()


class TextFormatter(standard_logging.Formatter):
    """Formats log records as plain text."""

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return the text line of a record.

        :param record: record of the logging library.
        """
        timestamp = _format_timestamp(record.created)
        text = f"{timestamp} {record.levelname.lower()} {record.name} {record.getMessage()}"
        return text + (f"\n{self.formatException(record.exc_info)}" if record.exc_info else "")


def configure_logs(settings: settings_records.LogSettings) -> None:
    """Set level and format of the log.

    :param settings: log settings.
    """
    logging.use_absl_handler()
    logging.set_verbosity(settings.level)
    logging.set_stderrthreshold(settings.level)
    for library in QUIET_LIBRARIES:
        standard_logging.getLogger(library).setLevel(standard_logging.WARNING)
    formatter = JsonFormatter() if settings.format == "json" else TextFormatter()
    logging.get_absl_handler().setFormatter(formatter)


def log_event(event: events.Event) -> None:
    """Log an event of the timeline if it is a change of state.

    :param event: event.
    """
    if event.kind.partition(".")[0] not in STATE_SUBJECTS:
        return
    subject = event.group or event.vm or event.request
    message = " ".join(part for part in (event.kind, subject, event.detail) if part)
    logging.get_absl_logger().info("%s", message, extra={EVENT_FIELD: event})


def _format_timestamp(created_s: float) -> str:
    timestamp = datetime.datetime.fromtimestamp(created_s, datetime.UTC)
    return timestamp.isoformat(timespec="milliseconds")
