"""Metrics of session commands: tenant labels and their bound."""

import pytest

from tidegrade.adapters import _metrics
from tidegrade import core
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
