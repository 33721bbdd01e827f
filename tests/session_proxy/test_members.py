"""Registrations of other proxies that a scan of the table finds."""

import json

import anyio
import pytest
import result

from tidegrade.codec import _rows
from tidegrade.session_proxy import _members

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return 'asyncio'


class Table:
    """A table with a row of this version and one of an older proxy."""

    async def scan(self, prefix):
        row = _rows.Registered('a', 'h', 1, 'vm-1.r', 361)
        older = {'domain': 'b', 'host': 'h', 'port': 2, 'proxy': 'vm-2.r'}
        return result.Ok(
            {
                f'{prefix}vm-1': _rows.encode_registered(row),
                f'{prefix}vm-2': json.dumps(older).encode(),
            }
        )


class Peers:
    """Keeps the VMs that it learns."""

    def learn_vms(self, vms):
        self.vms = vms


async def test_scan_finds_capacities_and_rows_of_older_proxies():
    """A proxy whose row is rejected would not be known until it is heard."""
    peers = Peers()
    task = _members.MembersTask(Table(), peers, 60.0, lambda: None)
    await task._scan()
    found = {(vm.id, vm.domain, vm.port, vm.capacity) for vm in peers.vms}
    assert found == {('vm-1.r', 'a', 1, 361), ('vm-2.r', 'b', 2, 0)}


class CutOffTable:
    """A table that can't be reached at first."""

    def __init__(self, failures: int) -> None:
        self._failures = failures

    async def scan(self, prefix):
        self._failures -= 1
        return result.Err('cut') if self._failures >= 0 else result.Ok({})


class UnheardPeers:
    """Peers of which none has been heard."""

    has_vm_list = False

    def alive(self):
        return []

    def learn_vms(self, vms):
        self.has_vm_list = True


async def test_scans_that_failed_are_repeated_soon(monkeypatch):
    """A proxy that started while cut off knew no other one for a minute."""
    monkeypatch.setattr(_members, 'FIRST_SCAN_PAUSES_S', (0.01, 0.01))
    monkeypatch.setattr(_members, 'RETRY_PAUSE_S', 0.01)
    peers = UnheardPeers()
    task = _members.MembersTask(CutOffTable(4), peers, 60.0, lambda: None)
    task.registered()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(task.run)
        with anyio.move_on_after(2.0):
            while not peers.has_vm_list:
                await anyio.sleep(0.01)
        tasks.cancel_scope.cancel()
    assert peers.has_vm_list
