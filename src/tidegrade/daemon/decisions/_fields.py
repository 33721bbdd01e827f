"""Fields of log lines about requests and permissions."""

from collections.abc import Iterable

from tidegrade import core
from tidegrade.core.tracing import _basis


def trace_fields(trace: core.Trace) -> dict[str, object]:
    """Return the fields that tell what an answer was based on."""
    fields: dict[str, object] = {}
    if trace.to_primary is not None:
        fields['to_primary'] = trace.to_primary
    if trace.basis is not _basis.ReadBasis.NONE:
        fields['basis'] = trace.basis.value
    if trace.reported is not None:
        fields['reported_term'] = trace.reported.term
        fields['reported'] = trace.reported.lsn
    if trace.repeated:
        fields['reported_earlier'] = True
    if trace.commit is not None:
        fields['commit_term'] = trace.commit.term
        fields['commit'] = trace.commit.lsn
    if trace.grants:
        fields['grants'] = grant_fields(trace.grants)
    return fields


def grant_fields(
    grants: Iterable[_basis.GrantRecord],
) -> list[dict[str, object]]:
    """Return grants as a log line shows them."""
    return [
        {
            'member': grant.member,
            'age_ms': round(grant.age * 1000),
            'own': grant.own,
            'promised': grant.promised,
        }
        for grant in grants
    ]


def report_fields(
    report: core.EndpointReport, prefix: str = ''
) -> dict[str, object]:
    """Return the role, the terms and the positions in a report.

    A position is shown with its own term where the endpoint states that.
    """
    fields: dict[str, object] = {
        'follows': report.in_recovery,
        'data_term': report.marker,
        'promised': report.promised,
        'received': report.received_lsn,
    }
    received, applied = report.stated_received, report.stated_applied
    if received is not None:
        fields['stated_received'] = received.lsn
        fields['stated_received_term'] = received.term
    if applied is not None:
        fields['stated_applied'] = applied.lsn
        fields['stated_applied_term'] = applied.term
    return {prefix + name: value for name, value in fields.items()}
