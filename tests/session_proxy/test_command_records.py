"""Metrics and log lines of session commands."""

import io
import json

import attrs
import pytest

from tidegrade.adapters import _metrics
from tidegrade import core
from tidegrade.core.tracing import _basis
from tidegrade import logs
from tidegrade.session_proxy import _command_records
from tidegrade import sessions

READ = sessions.Run('r1', 'READ x', writes=False)


@pytest.fixture
def metrics() -> _metrics.Metrics:
    return _metrics.Metrics()


def record_of(
    tenant: str, code: core.Code | None = None
) -> sessions.CommandRecord:
    outcome = core.Outcome.DONE if code is None else core.Outcome.NOT_RUN
    reply = sessions.Reply(
        core.Answer(outcome, code=code), sessions.SessionState.IDLE
    )
    return sessions.CommandRecord('db', 'label', tenant, READ, reply, 0.01)


def page(metrics: _metrics.Metrics) -> str:
    content, _ = metrics.render('')
    return content.decode()


def test_refusals_of_a_tenant_are_counted_under_its_name(metrics):
    recorder = _command_records.CommandRecorder(metrics)
    recorder.record_command(record_of('acme', core.Code.TENANT_LIMIT))
    (line,) = [
        line
        for line in page(metrics).splitlines()
        if line.startswith('tidegrade_requests_total{')
    ]
    assert 'tenant="acme"' in line
    assert 'code="tenant_limit"' in line


def test_without_tenants_requests_are_counted_by_database(metrics):
    _command_records.CommandRecorder(metrics).record_command(record_of(''))
    assert 'tenant="db"' in page(metrics)


def test_number_of_tenant_labels_is_bounded(metrics):
    recorder = _command_records.CommandRecorder(metrics)
    for number in range(3 * _command_records.MAX_TENANT_LABELS):
        recorder.record_command(record_of(f't{number}'))
    shown = page(metrics)
    assert shown.count('tidegrade_requests_total{') <= (
        _command_records.MAX_TENANT_LABELS + 1
    )
    assert 'tenant="others"' in shown


def test_a_page_counts_each_command_once(metrics):
    """Counts that reach the collectors late must be neither lost nor doubled.

    The counts of a page are added to those of the page before.
    """
    recorder = _command_records.CommandRecorder(metrics)
    for count in (1, 2):
        recorder.record_command(record_of('acme'))
        recorder.record_command(record_of('acme', core.Code.TENANT_LIMIT))
        lines = page(metrics).splitlines()
        totals = [
            float(line.rsplit(' ', 1)[1])
            for line in lines
            if line.startswith('tidegrade_requests_total{')
        ]
        assert totals == [count, count]
        observed = [
            float(line.rsplit(' ', 1)[1])
            for line in lines
            if '_latency_seconds_count' in line
        ]
        assert observed == [2 * count, 2 * count]
    assert page(metrics).splitlines() == lines


def test_a_line_tells_what_the_answer_was_based_on(metrics):
    """Guards against a stale read or a lost commit that no line explains."""
    stream = io.StringIO()
    logs.configure('p', stream)
    record = record_of('acme')
    trace = core.Trace(
        3,
        1,
        0,
        'a',
        to_primary=True,
        basis=_basis.ReadBasis.PERMISSION,
        reported=core.Position(2, 7),
        commit=core.Position(3, 9),
        grants=(_basis.GrantRecord('b', 0.1, True, 3),),
    )
    answer = attrs.evolve(record.reply.answer, trace=trace)
    reply = attrs.evolve(record.reply, answer=answer)
    recorder = _command_records.CommandRecorder(metrics)
    recorder.record_command(attrs.evolve(record, reply=reply))
    line = json.loads(stream.getvalue().splitlines()[-1])
    assert (line['to_primary'], line['basis']) == (True, 'permission')
    assert (line['reported_term'], line['reported']) == (2, 7)
    assert (line['commit_term'], line['commit']) == (3, 9)
    assert line['grants'] == [
        {'member': 'b', 'age_ms': 100, 'own': True, 'promised': 3}
    ]
