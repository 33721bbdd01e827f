"""Write permissions: majorities, fences and expiry."""

from hypothesis import given
from hypothesis import strategies as st

from tidegrade.core.permission import _permission

MEMBERS = ('a', 'b', 'c')
LENGTH = _permission.PERMISSION_LENGTH


def permission(term: int = 1) -> _permission.Permission:
    made = _permission.Permission()
    rules = _permission.PermissionRules(frozenset(MEMBERS))
    made.start_term(term, rules)
    return made


def test_one_member_of_three_grants_nothing():
    held = permission()
    held.answered('a', 0, 10.0)
    assert not held.held(10.0)


def test_a_permission_runs_from_the_oldest_poll_of_its_majority():
    held = permission()
    held.answered('a', 0, 10.0)
    held.answered('b', 0, 10.5)
    assert held.held(10.0 + LENGTH - 0.01)
    assert not held.held(10.0 + LENGTH)


def test_a_fenced_member_grants_nothing():
    held = permission()
    held.answered('a', 0, 10.0)
    held.answered('b', 2, 10.0)
    assert not held.held(10.0)


def test_a_member_fenced_later_withdraws_its_grant():
    held = permission()
    held.answered('a', 0, 10.0)
    held.answered('b', 0, 10.0)
    held.answered('b', 2, 10.1)
    assert not held.held(10.2)


def test_a_late_answer_is_ignored():
    held = permission()
    held.answered('a', 0, 10.0)
    held.answered('b', 2, 10.2)
    held.answered('b', 0, 10.1)
    assert not held.held(10.2)


def test_a_released_permission_is_never_held_again():
    held = permission()
    held.give_up(2, 10.2)
    held.answered('a', 0, 10.0)
    held.answered('b', 0, 10.0)
    assert not held.held(10.0)


def test_grants_do_not_carry_over_to_the_next_term():
    held = permission()
    held.answered('a', 0, 10.0)
    held.answered('b', 0, 10.0)
    rules = _permission.PermissionRules(frozenset(MEMBERS))
    held.start_term(2, rules)
    assert not held.held(10.0)


polls = st.lists(
    st.tuples(st.sampled_from(MEMBERS), st.floats(0, 3)), max_size=12
)


@given(
    polls=polls,
    fence=st.lists(
        st.sampled_from(MEMBERS), min_size=2, max_size=3, unique=True
    ),
    fenced_at=st.floats(0, 3),
)
def test_no_permission_outlives_a_fenced_majority(polls, fence, fenced_at):
    """The supervisor's wait is sufficient for any sequence of polls."""
    held = permission()
    for member, sent_at in polls:
        fenced = member in fence and sent_at >= fenced_at
        held.answered(member, 2 if fenced else 1, sent_at)
    assert not held.held(fenced_at + _permission.PERMISSION_WAIT)


def test_exclusivity_ends_when_the_permission_is_released():
    """Later reads on the former primary may lack acknowledged writes."""
    held = permission()
    held.answered('a', 0, 10.0)
    held.answered('b', 0, 10.0)
    assert held.exclusive_until() == 11.0
    held.give_up(2, 10.3)
    assert held.exclusive_until() == 10.3
    held.give_up(2, 10.6)
    assert held.exclusive_until() == 10.3
    held.start_term(2, _permission.PermissionRules(frozenset(MEMBERS)))
    held.answered('a', 2, 10.5)
    held.answered('b', 2, 10.5)
    assert held.exclusive_until() == 11.5


@given(
    st.lists(
        st.tuples(st.sampled_from(MEMBERS), st.integers(0, 3), st.floats(0, 5))
        | st.integers(1, 3)
    )
)
def test_an_expiry_that_was_read_before_holds_no_longer(events):
    """A remembered expiry must follow every answer and every new term.

    Otherwise a proxy would acknowledge writes after a member was fenced.
    """
    asked, unasked = permission(), permission()
    for event in events:
        for held in (asked, unasked):
            if isinstance(event, tuple):
                held.answered(*event)
            elif event > held.term:
                rules = _permission.PermissionRules(frozenset(MEMBERS))
                held.start_term(event, rules)
        asked.expires_at()
    assert asked.expires_at() == unasked.expires_at()
    assert asked.exclusive_until() == unasked.exclusive_until()
