"""Joining the configuration with the platform's list of endpoints."""

import attrs
import pytest

from tidegrade import ports
from tidegrade.session_proxy import _groups
from tidegrade import sessions

GROUP = sessions.GroupEntry('g', 20)
CATALOGUE = sessions.Catalogue(1, {}, {'g': GROUP}, 3.0)
LEADER = ports.EndpointEntry('i1', 'g', '10.0.0.1', 80, 'x', 3, False, True)
REPLICA = attrs.evolve(LEADER, id='i2', host='10.0.0.2', leads=False)


@pytest.fixture
def listed() -> _groups.GroupList:
    return _groups.GroupList(0.6, 0.3, settle=2.0)


def test_first_primary_is_not_named_while_the_list_grows(listed):
    """Guards against a first row that lacks a voting member.

    If only two of three members vote and one of the two crashes, no majority
    is left.
    """
    listed.learn([LEADER], 10.0)
    assert listed.config_of(GROUP, CATALOGUE, 11.9).initial_primary == ''
    listed.learn([LEADER, REPLICA], 11.9)
    assert listed.config_of(GROUP, CATALOGUE, 12.5).initial_primary == ''
    cfg = listed.config_of(GROUP, CATALOGUE, 14.0)
    assert cfg.initial_primary == '10.0.0.1:80'
    assert set(cfg.endpoints) == {'10.0.0.1:80', '10.0.0.2:80'}


def test_endpoint_missing_from_the_list_is_kept(listed):
    listed.learn([LEADER, REPLICA], 10.0)
    listed.learn([LEADER], 11.0)
    cfg = listed.config_of(GROUP, CATALOGUE, 20.0)
    assert len(cfg.endpoints) == 2


def test_members_of_the_row_are_endpoints_without_an_entry(listed):
    listed.learn_members('g', ['10.0.0.9:80'])
    cfg = listed.config_of(GROUP, CATALOGUE, 20.0)
    assert cfg.endpoints['10.0.0.9:80'].port == 80


def test_entry_that_is_not_leaving_wins_at_a_shared_address(listed):
    leaving = attrs.evolve(LEADER, id='i0', leaving=True)
    listed.learn([leaving, LEADER], 10.0)
    assert listed.leaving('g') == frozenset()
    listed.learn([leaving], 11.0)
    assert listed.leaving('g') == {'10.0.0.1:80'}


def test_endpoint_is_gone_after_a_long_absence_from_the_lists(listed):
    listed.learn([LEADER, REPLICA], 10.0)
    listed.learn([LEADER], 12.0)
    assert listed.gone('g') == frozenset()
    listed.learn([LEADER], 17.0)
    assert listed.gone('g') == {'10.0.0.2:80'}
    listed.learn([LEADER, REPLICA], 18.0)
    assert listed.gone('g') == frozenset()


def test_no_endpoint_is_gone_without_a_new_list(listed):
    listed.learn([LEADER, REPLICA], 10.0)
    listed.learn_members('g', ['10.0.0.9:80'])
    assert listed.gone('g') == frozenset()
    listed.learn([LEADER, REPLICA], 30.0)
    assert listed.gone('g') == {'10.0.0.9:80'}


@pytest.mark.parametrize(
    'name',
    [
        '',
        'x',
        '10.0.0.9:',
        '10.0.0.9:-1',
        '10.0.0.9:0',
        '10.0.0.9:70000',
        '10.0.0.999:80',
        ':1',
        '\xb2:1',
    ],
)
def test_a_member_without_an_address_is_left_out(listed, name):
    """A row of another client with such a member ended the process."""
    listed.learn([LEADER], 10.0)
    listed.learn_members('g', [name, '10.0.0.2:80'])
    cfg = listed.config_of(GROUP, CATALOGUE, 20.0)
    assert set(cfg.endpoints) == {'10.0.0.1:80', '10.0.0.2:80'}
