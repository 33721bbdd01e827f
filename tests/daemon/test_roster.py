"""The peers that count as alive."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from tidegrade.daemon import _roster
from tidegrade.peers import _links
from tidegrade.peers import _messages as messages
from tidegrade import ports

ALIVE_S, RELAYED_S = 1.6, 2.6

_PROXIES = st.integers(0, 3)
_STEPS = st.one_of(
    # A heartbeat: its proxy and run, its age, whether it was relayed, and
    # whether the proxy is draining.
    st.tuples(
        st.just('beat'),
        _PROXIES,
        st.integers(0, 1),
        st.floats(0, 3),
        st.booleans(),
        st.booleans(),
    ),
    st.tuples(st.just('forget'), st.floats(0, 3)),
    st.tuples(st.just('same'), _PROXIES, st.floats(0, 3)),
    st.tuples(st.just('list'), _PROXIES, st.integers(0, 1)),
    st.tuples(st.just('unlist'), _PROXIES),
    st.tuples(st.just('wait'), st.floats(0, 2)),
    st.just(('ask',)),
)


def _beat(number: int, run: int, draining: bool = False) -> messages.Heartbeat:
    return messages.Heartbeat(
        f'p{number}.{run}', 'x', '10.0.0.1', number, 1, draining, ()
    )


@settings(max_examples=500)
@given(st.lists(_STEPS, max_size=30))
def test_peers_and_candidates_do_not_depend_on_earlier_queries(steps):
    """A remembered answer must not outlive a change or an expiry.

    A proxy that is taken for alive too long keeps getting requests, and one
    that is missed too long gets no work.
    """
    asked = _roster.Roster('own', ALIVE_S, RELAYED_S)
    unasked = _roster.Roster('own', ALIVE_S, RELAYED_S)
    now = 100.0
    for step in steps:
        for roster in (asked, unasked):
            if step[0] == 'beat':
                _, number, run, age, relayed, draining = step
                beat = _beat(number, run, draining)
                roster.record_heartbeat(beat, now - age, now, relayed)
            elif step[0] == 'forget':
                roster.forget(now - step[1])
            elif step[0] == 'same':
                beat = _beat(step[1], 0)
                roster.refresh_unchanged(
                    beat.proxy, beat.revision(), now - step[2]
                )
            elif step[0] == 'list':
                number, domain = step[1], f'd{step[2]}'
                vm = ports.Vm(
                    f'p{number}', 'front', domain, '10.0.0.1', number
                )
                roster.list_vm(vm, now)
            elif step[0] == 'unlist':
                roster.unlist(_links.Address('10.0.0.1', step[1]))
        if step[0] == 'wait':
            now += step[1]
        asked.alive(now)
        asked.candidates(now)
    expected = [
        peer.beat.proxy
        for peer in unasked.known()
        if peer.sent_at >= now - (RELAYED_S if peer.relayed else ALIVE_S)
    ]
    assert [peer.beat.proxy for peer in asked.alive(now)] == expected
    assert asked.candidates(now) == unasked.candidates(now)
