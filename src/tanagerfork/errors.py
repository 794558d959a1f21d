"""Typed errors of the package; every message names the remedy."""

from typing import ClassVar, Literal

Ran = Literal["no", "unknown", "yes"]

NOT_RUN: Ran = "no"
RAN: Ran = "yes"
MAY_HAVE_RUN: Ran = "unknown"


class TanagerforkError(Exception):
    """Base class of all errors of the package.

    :param message: what happened and what to do about it.
    :param retry_after_ms: delay before a retry, in milliseconds; 0 if not to be retried unchanged.
    """

    kind: ClassVar[str] = "internal"
    status: ClassVar[int] = 500
    ran: ClassVar[Ran] = MAY_HAVE_RUN

    def __init__(self, message: str, retry_after_ms: int = 0) -> None:
        super().__init__(message)
        self.message = message
        self.retry_after_ms = retry_after_ms


class CallerError(TanagerforkError):
    """An error that is returned to a caller."""


class InternalFailure(CallerError):
    """The daemon failed while it was handling the request."""


class BadRequest(CallerError):
    """The request is malformed."""

    kind = "bad_request"
    status = 400
    ran = NOT_RUN


class Unauthorized(CallerError):
    """The bearer token is missing or belongs to no team."""

    kind = "unauthorized"
    status = 401
    ran = NOT_RUN


class Forbidden(CallerError):
    """The team may not use what it asked for."""

    kind = "forbidden"
    status = 403
    ran = NOT_RUN


class NotFound(CallerError):
    """No such model or service."""

    kind = "not_found"
    status = 404
    ran = NOT_RUN


class RequestTooSlow(CallerError):
    """The caller did not send its request in time."""

    kind = "request_too_slow"
    status = 408
    ran = NOT_RUN


class HeadTooLarge(CallerError):
    """The request line and the headers exceed the limit."""

    kind = "head_too_large"
    status = 431
    ran = NOT_RUN


class ExpectationFailed(CallerError):
    """The request expects something that is not known."""

    kind = "expectation_failed"
    status = 417
    ran = NOT_RUN


class BodyTooLarge(CallerError):
    """The body exceeds the limit."""

    kind = "body_too_large"
    status = 413
    ran = NOT_RUN


class KeyReused(CallerError):
    """The Idempotency-Key was used with another request."""

    kind = "key_reused"
    status = 422
    ran = NOT_RUN


class KeyExpired(CallerError):
    """The request was not run, as its key is too old; an earlier one under the key may have run."""

    kind = "key_expired"
    status = 409
    ran = MAY_HAVE_RUN


class AnswerNotKept(CallerError):
    """The request ran under this key before; its answer was too large to be stored."""

    kind = "answer_not_kept"
    status = 409
    ran = RAN


class NotRun(CallerError):
    """The request was refused before it ran."""

    kind = "not_run"
    status = 503
    ran = NOT_RUN


class NotTakenOver(NotRun):
    """Another daemon's request was not served, but a third daemon may serve it."""


class RateLimited(NotRun):
    """The team is over its limits."""

    status = 429


class Quarantined(CallerError):
    """The request crashed upstreams and is not run again for a while."""

    kind = "quarantined"
    status = 422
    ran = NOT_RUN


class CrashedUpstreams(Quarantined):
    """The request ran, and the upstreams that ran it crashed."""

    ran = MAY_HAVE_RUN


class AnswerTooLarge(CallerError):
    """The answer exceeds what the daemon buffers for a caller that does not stream."""

    kind = "answer_too_large"
    status = 413
    ran = RAN


class OutcomeUnknown(CallerError):
    """The request may have run; its outcome is unknown."""

    kind = "outcome_unknown"
    status = 502
    ran = MAY_HAVE_RUN


class DeadlineExceeded(CallerError):
    """The request did not finish before its deadline."""

    kind = "deadline_exceeded"
    status = 504
    ran = MAY_HAVE_RUN


class AnswerCut(CallerError):
    """The answer was started but cannot be completed."""

    kind = "answer_cut"
    status = 502
    ran = RAN


class PlatformError(TanagerforkError):
    """A call to a service of the platform failed."""

    kind = "platform"
    status = 503


class PlatformUnavailable(PlatformError):
    """The call certainly took no effect."""

    kind = "platform_unavailable"
    ran = NOT_RUN


class ValueTooLarge(PlatformUnavailable):
    """A value exceeds the size limit of the key-value service."""

    kind = "value_too_large"
    status = 413


class AnswerLost(PlatformError):
    """The call may have taken effect; its answer was lost."""

    kind = "answer_lost"


class ChangesTooLarge(PlatformUnavailable):
    """The changes since a revision are longer than the caller wants to read."""

    kind = "changes_too_large"


class Conflict(PlatformError):
    """A compare-and-swap found another revision."""

    kind = "conflict"
    status = 409
    ran = NOT_RUN


class UpstreamError(TanagerforkError):
    """An upstream did not send a complete answer."""

    kind = "upstream"
    status = 502


class UpstreamUnreachable(UpstreamError):
    """No byte of the request was sent."""

    kind = "upstream_unreachable"
    ran = NOT_RUN


class ConnectTimedOut(UpstreamUnreachable):
    """The upstream neither accepted nor refused a connection in time."""


class UpstreamRefused(UpstreamError):
    """The upstream reports that it refused the request before running it."""

    kind = "upstream_refused"
    ran = NOT_RUN


class GroupClosed(UpstreamRefused):
    """The head of a group refused because the group is closed or one of its members is at fault."""

    kind = "group_closed"


class UpstreamLost(UpstreamError):
    """The connection broke after the first byte of the request was sent."""

    kind = "upstream_lost"


class UpstreamUnread(UpstreamLost):
    """The upstream ended a response that this daemon had left unread for a slow caller."""

    kind = "upstream_unread"


class UpstreamFailed(UpstreamLost):
    """The upstream answered that it failed."""

    kind = "upstream_failed"


class UpstreamSilent(UpstreamLost):
    """The upstream sent nothing for longer than its token gap allows."""

    kind = "upstream_silent"


class UpstreamConfused(UpstreamLost):
    """The upstream sent an invalid answer or the answer to another attempt."""

    kind = "upstream_confused"


class SettingsError(TanagerforkError):
    """A settings or bundle file is missing or invalid."""

    kind = "settings"
    status = 400
    ran = NOT_RUN


class BundleError(TanagerforkError):
    """A bundle cannot be accepted."""

    kind = "bundle"
    status = 400
    ran = NOT_RUN


class BundleInvalid(BundleError):
    """The bundle is inconsistent or violates its schema or a limit."""

    kind = "bundle_invalid"


class SignatureInvalid(BundleError):
    """The sign-off is missing, wrong, or by an unknown key."""

    kind = "signature_invalid"
    status = 403


class StaleParent(BundleError):
    """Another bundle was rolled since this one was drafted."""

    kind = "stale_parent"
    status = 409


class VersionNotNewer(BundleError):
    """The bundle is no newer than the one in force."""

    kind = "version_not_newer"
    status = 409


class VersionForked(VersionNotNewer):
    """Two different bundles have the same version."""

    kind = "version_forked"


class PeerMessageInvalid(TanagerforkError):
    """A peer's message was dropped."""

    kind = "peer_message_invalid"
    status = 400
    ran = NOT_RUN


class PeerError(TanagerforkError):
    """Another daemon did not answer."""

    kind = "peer"
    status = 503


class PeerUnreachable(PeerError):
    """The request to the peer was certainly not handled."""

    kind = "peer_unreachable"
    ran = NOT_RUN


class PeerRefused(PeerError):
    """The peer reports that it cannot answer."""

    kind = "peer_refused"
    ran = NOT_RUN


class AnswerWithheld(PeerError):
    """A handler does not know the outcome of a peer's request, so it sends no answer."""

    kind = "answer_withheld"


class PeerSilent(PeerError):
    """No answer came in time; the request to the peer may have been handled."""

    kind = "peer_silent"


class OperatorError(TanagerforkError):
    """A command or call of an operator failed."""

    kind = "operator"
    status = 400


class UsageInvalid(OperatorError):
    """An option or argument of a command is wrong."""

    kind = "usage_invalid"
    ran = NOT_RUN


class DaemonUnreachable(OperatorError):
    """A daemon's operators' listener did not answer."""

    kind = "daemon_unreachable"
    status = 503
    ran = NOT_RUN


class DaemonAnswerLost(DaemonUnreachable):
    """The connection to a daemon broke after the call was sent."""

    kind = "daemon_answer_lost"
    ran = MAY_HAVE_RUN


class DaemonRefused(OperatorError):
    """A daemon refused an operator's call.

    :param message: what happened and what to do about it.
    :param refused_kind: kind of the daemon's own error.
    :param retry_after_ms: delay before a retry, in milliseconds; 0 if not to be retried unchanged.
    """

    kind = "daemon_refused"
    ran = NOT_RUN

    def __init__(self, message: str, refused_kind: str, retry_after_ms: int = 0) -> None:
        super().__init__(message, retry_after_ms)
        self.refused_kind = refused_kind


class KeyFileInvalid(OperatorError):
    """A file with a key or token is missing, open to others, or unreadable."""

    kind = "key_file_invalid"
    ran = NOT_RUN


class DraftInvalid(OperatorError):
    """A draft cannot be signed off or rolled as it is."""

    kind = "draft_invalid"
    ran = NOT_RUN
