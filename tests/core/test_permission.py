"""Write permissions: majorities, fences and expiry."""

from hypothesis import given
from hypothesis import strategies as st

from tidegrade.core.permission import _permission
from tidegrade.core.permission import _promises

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


# Members that lose a promise ------------------------------------------------


def forgetful(registered_at: float = 0.0) -> _permission.Permission:
    """Return a permission of term 1 for members that can lose a promise."""
    made = _permission.Permission(_promises.ForgetfulPromises())
    made.registered(registered_at)
    made.start_term(1, _permission.PermissionRules(frozenset(MEMBERS)))
    return made


def test_a_promise_lost_by_a_promotion_renews_no_permission():
    """Guards against a write that is acknowledged at a former primary.

    The other replica loses its promise as another member is promoted, and
    grants the former term until it follows the new primary.
    """
    held = forgetful()
    held.row_read(10.0)
    held.answered('a', 1, 10.1)
    held.answered('c', 0, 10.1)
    assert held.held(10.2)
    held.answered('c', 2, 10.9)
    held.answered('a', 1, 11.0)
    held.answered('a', 1, 12.0)
    held.answered('c', 0, 12.0)
    assert not held.held(12.1)
    assert held.exclusive_until() <= 11.1
    assert held.needs_row(12.1)


def test_a_promise_lost_by_a_restart_renews_no_permission():
    """A member that restarted may have promised a later term before."""
    held = forgetful()
    held.row_read(10.0)
    held.answered('a', 1, 10.1, life_since=5.0)
    held.answered('c', 0, 10.1, life_since=5.0)
    held.answered('a', 1, 10.8, life_since=5.0)
    held.answered('c', 0, 10.8, life_since=10.7)
    assert held.expires_at() == 11.1
    held.row_read(10.9)
    assert held.expires_at() == 11.8


def test_a_permission_that_is_renewed_in_time_needs_no_row():
    """Writes go on while the platform does not answer."""
    held = forgetful()
    held.row_read(10.0)
    for step in range(100):
        held.answered('a', 1, 10.5 + step / 2)
        held.answered('b', 0, 10.5 + step / 2)
        assert not held.needs_row(10.6 + step / 2)
    assert held.held(60.5)


def test_a_lapsed_permission_is_held_again_once_the_row_was_read():
    held = forgetful()
    held.row_read(10.0)
    held.answered('a', 1, 10.1)
    held.answered('b', 0, 10.1)
    held.answered('a', 1, 14.0)
    held.answered('b', 0, 14.0)
    assert not held.held(14.1)
    held.row_read(14.05)
    assert held.expires_at() == 15.0


def test_a_lapsed_permission_is_held_again_beside_a_peer_that_holds_it():
    """Writes go on after a pause although the platform does not answer."""
    held = forgetful()
    held.row_read(10.0)
    held.answered('a', 1, 14.0)
    held.answered('b', 0, 14.0)
    assert not held.held(14.1)
    held.peer_held(14.8)
    assert held.expires_at() == 15.0


def test_a_row_from_before_the_registration_covers_no_grant():
    """A supervisor does not wait for a proxy that it could not list."""
    held = forgetful(registered_at=10.2)
    held.row_read(10.0)
    held.peer_held(12.0)
    held.answered('a', 1, 10.3)
    held.answered('b', 0, 10.3)
    assert not held.held(10.4)
    held.row_read(10.35)
    assert held.held(10.4)


#: Polls of each member in the histories below, and the pause between them.
POLLS = 16
POLL_PAUSE_S = 0.25


@given(
    dropped=st.sets(
        st.tuples(st.sampled_from(MEMBERS), st.integers(0, POLLS - 1)),
        max_size=12,
    ),
    fence=st.lists(
        st.sampled_from(MEMBERS), min_size=2, max_size=3, unique=True
    ),
    rows=st.sets(st.integers(0, POLLS - 1), max_size=4),
    fenced_at=st.floats(0.5, 2),
    restart=st.none() | st.floats(0.5, 3),
)
def test_no_permission_outlives_a_fence_that_members_forget(
    dropped, fence, rows, fenced_at, restart
):
    """The supervisor's wait suffices although promises are lost later.

    The row shows an attempt before the first member promises; a member may
    restart at any time, and the promotion ends the promises that are left.
    """
    promoted_at = fenced_at + _permission.PERMISSION_WAIT
    held = forgetful()
    for step in range(POLLS):
        now = step * POLL_PAUSE_S
        if step in rows and now < fenced_at - 0.1:
            held.row_read(now)
        for name in MEMBERS:
            if (name, step) in dropped:
                continue
            forgets = name == fence[0] and restart is not None
            restarted = forgets and now >= restart
            fenced = name in fence and fenced_at <= now < promoted_at
            promised = 2 if fenced and not restarted else 0
            held.answered(name, promised, now, restart if restarted else 0.0)
        assert held.expires_at() <= promoted_at
        assert held.exclusive_until() <= promoted_at
