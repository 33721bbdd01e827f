"""Refusals of callers that have no access to a database."""

import pytest

from tidegrade import core
from tidegrade import sessions

WITHIN = 3.0


@pytest.mark.parametrize('code', [core.Code.NOT_FOUND, core.Code.UNAUTHORIZED])
@pytest.mark.parametrize('age', [None, WITHIN + 0.1])
def test_stale_configuration_does_not_report_anything_as_missing(code, age):
    """A newer configuration may contain the route or the key."""
    assert sessions.refusal_code(code, age, WITHIN) is core.Code.NO_CONFIG


@pytest.mark.parametrize('code', [core.Code.NOT_FOUND, core.Code.UNAUTHORIZED])
def test_newest_configuration_reports_missing_routes_and_keys(code):
    assert sessions.refusal_code(code, WITHIN, WITHIN) is code


def test_other_refusals_are_unchanged():
    code = core.Code.NO_CONFIG
    assert sessions.refusal_code(code, 0.0, WITHIN) is code
