"""Log lines and metrics of the commands of sessions."""

from tidegrade.adapters import _metrics
from tidegrade import core
from tidegrade.daemon.decisions import _fields
from tidegrade import logs
from tidegrade import sessions

_EVENTS = {
    core.Outcome.DONE: logs.LogEvent.ANSWERED,
    core.Outcome.NOT_RUN: logs.LogEvent.REFUSED,
    core.Outcome.UNKNOWN: logs.LogEvent.OUTCOME_UNKNOWN,
}

#: Commands that only change the session and reach no endpoint. They are not
#: recorded if they succeed.
_SESSION_ONLY = (
    sessions.SetValue,
    sessions.Prepare,
    sessions.Deallocate,
    sessions.Begin,
    sessions.Rollback,
)


#: Number of tenants with metric labels of their own. All others share one
#: label, so that the size of the metrics page is bounded.
MAX_TENANT_LABELS = 100
OTHERS_LABEL = 'others'


class CommandRecorder:
    """Counts and logs the commands of sessions."""

    def __init__(self, metrics: _metrics.Metrics) -> None:
        self._metrics = metrics
        self._named: set[str] = set()

    def record_command(self, record: sessions.CommandRecord) -> None:
        """Record one command and its answer."""
        answer = record.reply.answer
        done = answer.outcome is core.Outcome.DONE
        if done and isinstance(record.command, _SESSION_ONLY):
            return
        self._count(record, answer)
        self._log(record, answer)

    def _label_of(self, record: sessions.CommandRecord) -> str:
        """Return the tenant's label, or the database's if it has no tenant."""
        name = record.tenant or record.database
        if name in self._named:
            return name
        if len(self._named) >= MAX_TENANT_LABELS:
            return OTHERS_LABEL
        self._named.add(name)
        return name

    def _count(
        self, record: sessions.CommandRecord, answer: core.Answer
    ) -> None:
        kind = type(record.command).__name__.lower()
        tenant = self._label_of(record)
        self._metrics.request_tally.inc(
            'platform',
            tenant,
            kind,
            answer.outcome.value,
            answer.code.value if answer.code else '',
        )
        self._metrics.class_series.observe(record.took, kind)
        self._metrics.tenant_series.observe(record.took, 'platform', tenant)
        if answer.endpoint:
            role = 'replica' if answer.from_replica else 'primary'
            self._metrics.read_tally.inc('platform', role)

    def _log(
        self, record: sessions.CommandRecord, answer: core.Answer
    ) -> None:
        logs.write_bounded_lazily(
            _EVENTS[answer.outcome],
            lambda: self._fields_of(record, answer),
        )

    @staticmethod
    def _fields_of(
        record: sessions.CommandRecord, answer: core.Answer
    ) -> dict[str, object]:
        trace = answer.trace
        fields: dict[str, object] = {
            'request': record.command.id,
            'database': record.database,
            'caller': record.caller,
            'tenant': record.tenant,
            'kind': type(record.command).__name__,
            'outcome': answer.outcome.value,
            'state': record.reply.state.value,
            'took_ms': round(record.took * 1000, 1),
        }
        if answer.code is not None:
            fields['code'] = answer.code.value
            fields['detail'] = answer.detail
        if answer.age is not None:
            fields['age_ms'] = round(answer.age * 1000, 1)
        if trace is not None:
            fields['term'] = trace.term
            fields['tries'] = trace.tries
            fields['misses'] = trace.misses
            fields['endpoint'] = trace.sent_to
            fields['after'] = trace.after
            if trace.after_term is not None:
                fields['after_term'] = trace.after_term
            if trace.after_age is not None:
                fields['after_age_ms'] = round(trace.after_age * 1000, 1)
            if trace.via:
                fields['via'] = trace.via
            fields.update(_fields.trace_fields(trace))
        if trace is not None and trace.permission_left is not None:
            left = round(trace.permission_left * 1000, 1)
            fields['permission_left_ms'] = left
        return fields
