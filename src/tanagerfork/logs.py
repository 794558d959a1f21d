"""Structured logs: one line for each change of state."""

import logging as standard_logging

import msgspec
from absl import logging

from tanagerfork.generated import events
from tanagerfork.generated import settings as settings_records


class LogLine(msgspec.Struct):
    """One line of the log."""

    level: str
    logger: str
    message: str


class JsonFormatter(standard_logging.Formatter):
    """Formats a line as JSON."""

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return the line of a record.

        :param record: record of the logging library.
        """
        line = LogLine(record.levelname.lower(), record.name, record.getMessage())
        return msgspec.json.encode(line).decode()


def configure_logs(settings: settings_records.LogSettings) -> None:
    """Set level and form of the log.

    :param settings: log settings.
    """
    logging.use_absl_handler()
    logging.set_verbosity(settings.level)
    logging.set_stderrthreshold(settings.level)
    if settings.format == "json":
        logging.get_absl_handler().setFormatter(JsonFormatter())


def log_event(event: events.Event) -> None:
    """Write an event of the time line to the log.

    :param event: event that is a change of state.
    """
    logging.info("%s", msgspec.json.encode(event).decode())
