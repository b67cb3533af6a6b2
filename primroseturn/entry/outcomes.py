"""Counts and logs how requests of callers end."""

from typing import Any

from anyio import current_time

from primroseturn.clock import time_since_boot
from primroseturn.entry.attempt import AttemptResult
from primroseturn.entry.events import (
    CALLER_LEFT,
    REQUEST_FAILED,
    REQUEST_REFUSED,
    REQUEST_SERVED,
)
from primroseturn.entry.metrics import OUTCOMES, REQUEST_SECONDS
from primroseturn.entry.request import EntryRequest
from primroseturn.entry.view import VmView
from primroseturn.failures import Refusal
from primroseturn.observation.events import EventLog
from primroseturn.platform.headers import read_caller_headers
from primroseturn.requestpath.headers import HeaderList


class OutcomeLog:
    """Counts and logs the ends of requests."""

    def __init__(self, view: VmView, events: EventLog) -> None:
        self.view = view
        self.events = events

    def note_refusal(
        self, request: EntryRequest | None, headers: HeaderList, refusal: Refusal
    ) -> None:
        """Count and log a refusal."""
        service = request.service if request else ""
        OUTCOMES.labels(refusal.kind, service).inc()
        fields = request.log_fields() if request else unrouted_log_fields(headers)
        if refusal.reason:
            fields["reason"] = refusal.reason
        basis = self.view.basis(time_since_boot())
        fields.setdefault("version", basis.version)
        event = REQUEST_REFUSED if refusal.ran == "no" else REQUEST_FAILED
        self.events.emit(
            event,
            kind=refusal.kind,
            status=refusal.status,
            detail=refusal.detail,
            ran=refusal.ran,
            retry_after_s=refusal.retry_after_s,
            view_age_s=basis.age_s,
            **fields,
        )

    def record_broken(self, request: EntryRequest | None, detail: str) -> None:
        """Count and log a response that was not delivered whole."""
        service = request.service if request else ""
        OUTCOMES.labels("answer-broken", service).inc()
        fields = request.log_fields() if request else {}
        self.events.emit(
            REQUEST_FAILED, kind="answer-broken", ran="unknown", detail=detail, **fields
        )

    def record_caller_left(self, request: EntryRequest | None) -> None:
        """Count and log a caller that left before the end of its response."""
        OUTCOMES.labels("caller-left", request.service if request else "").inc()
        fields = request.log_fields() if request else {}
        self.events.emit(CALLER_LEFT, **fields)

    def record_served(self, request: EntryRequest, result: AttemptResult) -> None:
        """Count and log a response that was delivered whole."""
        assert result.head is not None
        duration_s = current_time() - request.started_at
        OUTCOMES.labels("served", request.service).inc()
        REQUEST_SECONDS.labels(request.service).observe(duration_s)
        self.events.emit(
            REQUEST_SERVED,
            target=result.target.id,
            status=result.head.status,
            targets=len(request.tried_targets),
            **request.log_fields(),
        )


def unrouted_log_fields(headers: HeaderList) -> dict[str, Any]:
    """Return the event fields of a request whose route and workspace are not known."""
    caller = read_caller_headers(headers)
    return {"request": caller.attempt_id.decode("latin-1")}
