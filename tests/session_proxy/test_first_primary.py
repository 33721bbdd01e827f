"""When a group that has no row yet is told its first primary.

On 71 VMs that started together one of four groups got its first row 20 s
later, and another 12 s, so that a quarter of all requests were refused until
4 s into the traffic. A first primary is named once the list of endpoints has
not grown for a while; but a list that says the same is taken in once, and
nothing looked again when that while was over, save at the three proxies that
read the list themselves. Where none of them keeps connections to the group,
nobody made its row until the next configuration came.
"""

import random
import types

import anyio
import pytest
import result

from tidegrade.adapters import _clock
from tidegrade import core
from tidegrade.daemon import _evidence_task
from tidegrade.daemon import _peers_task
from tidegrade.daemon import _roster
from tidegrade import ports
from tidegrade.session_proxy import _homes
from tidegrade.session_proxy import _proxy
from tidegrade.session_proxy import _settings
from tidegrade import sessions

pytestmark = pytest.mark.anyio

#: How long the list must not grow, in seconds.
SETTLE = 0.3
CATALOGUE = sessions.Catalogue(1, {}, {'g': sessions.GroupEntry('g', 20)}, 3.0)
LEADER = ports.EndpointEntry('i1', 'g', '10.0.0.1', 80, 'a', 3, False, True)


@pytest.fixture
def anyio_backend() -> str:
    return 'asyncio'


class Table:
    """A table that holds nothing."""

    async def read(self, key):
        return result.Ok(None)

    async def read_all(self, keys):
        return result.Ok({})


class Endpoints:
    """Endpoints that nobody reaches."""

    async def connect(self, endpoint, group, tenant):
        return result.Err(ports.ConnectProblem('away', True))


@pytest.fixture
async def proxy():
    """Give a proxy that knows its configuration, and runs no task yet."""
    cfg = _settings.ProxySettings(
        'vm-1', 'a', '127.0.0.1', 1, 6.0, settle_s=SETTLE
    )
    outside = _settings.Outside(
        endpoints=Endpoints(),
        table=Table(),
        directory=None,
        door=None,
        pages=None,
        clock=_clock.MonotonicClock(),
        traits=core.Traits(),
        read_settings=lambda: result.Err([]),
    )
    made = _proxy.SessionProxy(cfg, outside)
    made._deps = made._make_deps('00' * 32)
    made._rng = random.Random(1)
    made._peers = _peers_task.PeersTask(made._deps, made._peer_says)
    made._peers.has_looked = True
    made._evidence = _evidence_task.EvidenceTask(
        made._deps, made._peers, lambda: {}
    )
    spot = _roster.Spot('vm-1.0', 'a')
    made._homes = _homes.HomeMap(spot, made._peers, made._deps.clock)
    made._watch = types.SimpleNamespace(adopted=lambda: None)
    made._catalogue = CATALOGUE
    async with anyio.create_task_group() as tasks:
        made._tasks = tasks
        yield made
        tasks.cancel_scope.cancel()


async def test_the_first_primary_is_named_once_the_list_has_settled(proxy):
    """The list comes once; nobody reads it here, and nothing else comes."""
    proxy._learn_endpoints((LEADER,))
    group = proxy._group_of('g')
    assert group.machine.cfg.initial_primary == ''
    proxy._tasks.start_soon(proxy._watch_homes)
    with anyio.fail_after(SETTLE + 3 * _proxy.HOMES_LOOK):
        while not group.machine.cfg.initial_primary:
            await anyio.sleep(0.05)
    assert group.machine.cfg.initial_primary == '10.0.0.1:80'
