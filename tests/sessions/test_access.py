"""What a caller is told who has no way to a database."""

import pytest

from tidegrade import core
from tidegrade import sessions

WITHIN = 3.0


@pytest.mark.parametrize('code', [core.Code.NOT_FOUND, core.Code.UNAUTHORIZED])
@pytest.mark.parametrize('age', [None, WITHIN + 0.1])
def test_by_an_old_configuration_nothing_is_said_not_to_exist(code, age):
    """A newer one may have brought the route or the key long ago."""
    assert sessions.refusal(code, age, WITHIN) is core.Code.NO_CONFIG


@pytest.mark.parametrize('code', [core.Code.NOT_FOUND, core.Code.UNAUTHORIZED])
def test_by_the_newest_configuration_it_is(code):
    assert sessions.refusal(code, WITHIN, WITHIN) is code


def test_other_refusals_stay_as_they_are():
    code = core.Code.NO_CONFIG
    assert sessions.refusal(code, 0.0, WITHIN) is code
