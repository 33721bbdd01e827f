"""Operators' requests: apply a configuration, history, status, drain."""

from collections.abc import Callable
import datetime
import hashlib

import anyio

from tidegrade.adapters import _keys
from tidegrade.adapters import _pointer
from tidegrade.codec import _rows
from tidegrade.daemon import _peers_task
from tidegrade.http_proxy import _config_task
from tidegrade.http_proxy import _deps
from tidegrade.http_proxy import _service
from tidegrade import logs
from tidegrade import ports

#: Attempts at each step of an apply while the platform does not answer.
APPLY_TRIES = 10
#: Pause between two of these attempts, in seconds.
APPLY_PAUSE_S = 0.2


class Admin:
    """Implements the operators' interface, independent of HTTP."""

    def __init__(
        self,
        deps: _deps.HttpDeps,
        peers: _peers_task.PeersTask,
        configs: _config_task.ConfigTask,
        service: _service.Service,
        drain: Callable[[], None],
    ) -> None:
        self._deps = deps
        self._peers = peers
        self._configs = configs
        self._service = service
        self._drain = drain
        self.draining = False

    def operator_of(self, authorization: str) -> str | None:
        """Return the name of the operator who holds this key, or None."""
        hashes = {**self._deps.cfg.operators, **self._service.doc.operators}
        return _keys.holder_of(authorization, hashes)

    def current(self) -> tuple[int, bytes]:
        """Return the version in force (0 if none) and its document."""
        held = self._configs.in_force
        if held is None:
            return 0, b''
        return held.ref.version, held.raw

    async def history(self) -> list[ports.HistoryEntry] | None:
        """Return the accepted configurations.

        The result is None if the platform's pointer can't be read.
        """
        read = await self._read_pointer()
        if read is None:
            return None
        pointer, _ = read
        return pointer.history if pointer else []

    def drain(self) -> None:
        """Start a graceful shutdown."""
        self._drain()

    # Apply ----------------------------------------------------------------

    async def apply(
        self, order: ports.ApplyOrder, operator: str
    ) -> ports.Applied | ports.ApplyProblem:
        """Apply a configuration file as a whole, or not at all."""
        read = _config_task.read_document(order.document)
        if read.is_err():
            return ports.ApplyProblem('invalid', tuple(read.unwrap_err()))
        sha256 = hashlib.sha256(order.document).hexdigest()
        if not await self._store(sha256, order.document):
            return _unavailable(unknown=False)
        outcome = await self._write_pointer(order, operator, sha256)
        if isinstance(outcome, ports.HistoryEntry):
            return self._accepted(outcome, order)
        return outcome

    async def _store(self, sha256: str, document: bytes) -> bool:
        name = _config_task.object_name(sha256)
        for _ in range(APPLY_TRIES):
            stored = await self._deps.objects.put(name, document)
            if stored.is_ok():
                return True
            await anyio.sleep(APPLY_PAUSE_S)
        return False

    async def _write_pointer(
        self, order: ports.ApplyOrder, operator: str, sha256: str
    ) -> ports.HistoryEntry | ports.ApplyProblem:
        """Make the pointer name the new document.

        If the answer to a write is lost, the next attempt searches the
        history for the id of this apply to see whether it was written.
        """
        unknown = False
        for _ in range(APPLY_TRIES):
            read = await self._read_pointer()
            if read is None:
                await anyio.sleep(APPLY_PAUSE_S)
                continue
            pointer, tag = read
            earlier = pointer.find(order.apply_id) if pointer else None
            if earlier is not None:
                return earlier
            conflict = self._conflict_with(pointer, order)
            if conflict is not None:
                return conflict
            entry = _entry(pointer, order, operator, sha256)
            changed = _pointer.Pointer([entry])
            if pointer is not None:
                changed = pointer.extended(entry)
            written = await self._deps.table.write(
                _rows.CONFIG, changed.encode(), tag
            )
            if written.is_ok():
                return entry
            # Whatever the problem was, the next attempt reads the row again.
            problem = written.unwrap_err()
            unknown = problem is ports.WriteProblem.UNKNOWN
            await anyio.sleep(APPLY_PAUSE_S / 10)
        return _unavailable(unknown)

    def _conflict_with(
        self, pointer: _pointer.Pointer | None, order: ports.ApplyOrder
    ) -> ports.ApplyProblem | None:
        """Return the problem if the file is based on another version."""
        shown = pointer.newest.version if pointer else 0
        if shown < self._configs_version():
            return ports.ApplyProblem(
                'unavailable',
                ("the platform's store shows an older configuration",),
            )
        if order.base is None or order.base == shown:
            return None
        winner = pointer.newest if pointer else None
        logs.write(logs.LogEvent.CONFIG_CONFLICT, version=shown)
        return ports.ApplyProblem(
            'conflict',
            (
                f'the file is based on version {order.base}, but version'
                f' {shown} is in force',
            ),
            winner,
        )

    def _configs_version(self) -> int:
        held = self._configs.in_force
        return held.ref.version if held else 0

    def _accepted(
        self, entry: ports.HistoryEntry, order: ports.ApplyOrder
    ) -> ports.Applied:
        logs.write(
            logs.LogEvent.CONFIG_APPLIED,
            version=entry.version,
            operator=entry.by,
        )
        ref = _pointer.Pointer([entry]).ref
        self._configs.offer(ref, order.document)
        return ports.Applied(entry.version)

    async def _read_pointer(
        self,
    ) -> tuple[_pointer.Pointer | None, str | None] | None:
        """Return the pointer and its tag; None if it can't be read."""
        answer = await self._deps.table.read(_rows.CONFIG)
        if answer.is_err():
            return None
        found = answer.unwrap()
        if found is None:
            return None, None
        read = _pointer.decode_pointer(found.value)
        if read.is_err():
            return None
        return read.unwrap(), found.tag

    # Status ---------------------------------------------------------------

    def status(self) -> dict[str, object]:
        """Return what this proxy knows, as values that JSON can hold."""
        peers = [
            {
                'proxy': peer.beat.proxy,
                'domain': peer.beat.domain,
                'config_version': peer.beat.config_version,
                'draining': peer.beat.draining,
            }
            for peer in self._peers.alive()
        ]
        return {
            'proxy': self._deps.proxy_id,
            'domain': self._deps.shared.domain,
            'config_version': self._configs_version(),
            'platform_reachable': self._configs.platform_reachable,
            'draining': self.draining,
            'in_flight': self._service.in_flight,
            'peers': peers,
            'unheard': self._peers.silent_addresses(),
            'groups': [
                self._group_status(group)
                for group in self._service.groups.values()
            ],
        }

    def _group_status(self, group) -> dict[str, object]:
        machine = group.machine
        row = machine.row
        now = self._deps.clock.now()
        endpoints = {}
        for name, view in machine.views.items():
            report = view.report
            endpoints[name] = {
                'applied_lsn': report.lsn if report else None,
                'term': report.marker if report else None,
                'failures': view.failures,
                'connections': machine.conn_count(name),
                'leaving': machine.leaving(name),
            }
        return {
            'site': group.key.site,
            'group': group.key.group,
            'term': row.term if row else None,
            'primary': row.primary if row else None,
            'changing': bool(row and row.attempt),
            'may_acknowledge': machine.may_acknowledge(now),
            'waiting': machine.waiting,
            'transactions': machine.transactions,
            'endpoints': endpoints,
        }


def _entry(
    pointer: _pointer.Pointer | None,
    order: ports.ApplyOrder,
    operator: str,
    sha256: str,
) -> ports.HistoryEntry:
    now = datetime.datetime.now(datetime.UTC)
    return ports.HistoryEntry(
        version=pointer.newest.version + 1 if pointer else 1,
        sha256=sha256,
        apply_id=order.apply_id,
        by=operator,
        at=now.isoformat(timespec='seconds'),
    )


def _unavailable(unknown: bool) -> ports.ApplyProblem:
    return ports.ApplyProblem(
        'unavailable', ('the platform does not answer',), unknown=unknown
    )
