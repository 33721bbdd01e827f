"""The task that keeps the newest accepted configuration in force."""

from collections.abc import Callable
import hashlib

import anyio
import attrs
import result

from tidegrade.adapters import _pointer
from tidegrade.codec import _rows
from tidegrade.codec import _structure
from tidegrade import config
from tidegrade import core
from tidegrade.daemon import _peers_task
from tidegrade.http_proxy import _deps
from tidegrade import logs
from tidegrade.peers import _messages as messages

#: Pause after a failed attempt to fetch a document, in seconds.
FETCH_PAUSE_S = 0.2


@attrs.frozen
class InForce:
    """A configuration in force.

    ``raw`` is its document as JSON, ``doc`` the same document, checked.
    """

    ref: core.ConfigRef
    raw: bytes
    doc: config.Document


#: Called with each configuration that comes into force.
AdoptionCallback = Callable[[InForce], None]


def object_name(sha256: str) -> str:
    """Return the name under which the platform stores a document."""
    return f'config-{sha256}'


def read_document(
    raw: bytes,
) -> result.Result[config.Document, list[str]]:
    """Read and check a document; each error names the path at fault."""
    read = _structure.structure(raw, config.Document)
    if read.is_err():
        return read
    found = config.problems_of(read.unwrap())
    return result.Err(found) if found else read


class ConfigTask:
    """Keeps the newest accepted configuration in force.

    The task polls the platform's pointer, records the versions that peers
    report, and fetches the document of a newer version from the platform
    or from a peer.
    """

    def __init__(
        self,
        deps: _deps.HttpDeps,
        peers: _peers_task.PeersTask,
        on_adopted: AdoptionCallback,
    ) -> None:
        self._deps = deps
        self._peers = peers
        self._on_adopted = on_adopted
        self._adoption = core.Adoption()
        self._in_force: InForce | None = None
        self._wanted_changed = anyio.Event()
        self._reachable: bool | None = None

    @property
    def in_force(self) -> InForce | None:
        """The configuration in force; None before the first one."""
        return self._in_force

    @property
    def platform_reachable(self) -> bool:
        """Whether the platform answered the last read of the pointer."""
        return bool(self._reachable)

    async def run(self) -> None:
        """Poll the pointer and fetch documents until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._poll)
            tasks.start_soon(self._fetch_wanted)

    def record_peer_version(self, version: int) -> None:
        """Record the version that a peer reports as in force."""
        ref = core.ConfigRef(version, '')
        if self._adoption.record_ref(ref):
            self._wanted_changed.set()

    def offer(self, ref: core.ConfigRef, raw: bytes) -> bool:
        """Adopt a document if it is newer than the one in force.

        Return False if its hash differs from the reference or if the
        document is invalid; an older valid document gives True.
        """
        if hashlib.sha256(raw).hexdigest() != ref.sha256:
            return False
        read = read_document(raw)
        if read.is_err():
            logs.write(
                logs.LogEvent.CONFIG_REFUSED,
                version=ref.version,
                errors=read.unwrap_err(),
            )
            return False
        if self._adoption.adopt(ref):
            self._in_force = InForce(ref, raw, read.unwrap())
            logs.write(logs.LogEvent.CONFIG_ADOPTED, version=ref.version)
            self._deps.metrics.config_version.set({}, ref.version)
            self._on_adopted(self._in_force)
        return True

    def answer(self, ask: messages.AskConfig) -> messages.ConfigContent:
        """Answer a peer that asks for a document.

        The answer is empty if this proxy holds no version or an older one.
        """
        held = self._in_force
        if held is None or held.ref.version < ask.ref.version:
            return messages.ConfigContent(ask.ref, b'')
        return messages.ConfigContent(held.ref, held.raw)

    # Reading the pointer --------------------------------------------------

    async def _poll(self) -> None:
        while True:
            await self._read_pointer()
            await anyio.sleep(self._deps.cfg.config_poll_s)

    async def _read_pointer(self) -> None:
        answer = await self._deps.table.read(_rows.CONFIG)
        self._set_reachable(answer.is_ok())
        if answer.is_err():
            return
        found = answer.unwrap()
        if found is None:
            self._check_stored(None)
            return
        read = _pointer.decode_pointer(found.value)
        if read.is_err():
            logs.write(
                logs.LogEvent.CONFIG_REFUSED, errors=[read.unwrap_err()]
            )
            return
        pointer = read.unwrap()
        self._check_stored(pointer.ref)
        if self._adoption.record_ref(pointer.ref):
            self._wanted_changed.set()

    def _check_stored(self, ref: core.ConfigRef | None) -> None:
        before = self._adoption.store_regressions
        self._adoption.check_stored(ref)
        if self._adoption.store_regressions == before + 1 and before == 0:
            logs.write(
                logs.LogEvent.CONFIG_OLDER_IN_STORE,
                shown=ref.version if ref else 0,
                in_force=self._adoption.version,
            )

    def _set_reachable(self, reachable: bool) -> None:
        if reachable == self._reachable:
            return
        if self._reachable is not None or not reachable:
            event = logs.LogEvent.PLATFORM_UNREACHABLE
            if reachable:
                event = logs.LogEvent.PLATFORM_REACHABLE
            logs.write(event)
        self._reachable = reachable

    # Fetching documents ---------------------------------------------------

    async def _fetch_wanted(self) -> None:
        while True:
            wanted = self._adoption.wanted
            if wanted is None:
                await self._wanted_changed.wait()
                self._wanted_changed = anyio.Event()
                continue
            if not await self._fetch(wanted):
                await anyio.sleep(FETCH_PAUSE_S)

    async def _fetch(self, wanted: core.ConfigRef) -> bool:
        if wanted.sha256 and await self._fetch_stored(wanted):
            return True
        return await self._fetch_from_peer(wanted)

    async def _fetch_stored(self, wanted: core.ConfigRef) -> bool:
        name = object_name(wanted.sha256)
        answer = await self._deps.objects.get(name)
        content = answer.unwrap_or(None)
        return content is not None and self.offer(wanted, content)

    async def _fetch_from_peer(self, wanted: core.ConfigRef) -> bool:
        answer = await self._peers.ask_any(messages.AskConfig(wanted))
        if not isinstance(answer, messages.ConfigContent):
            return False
        if answer.ref.version < wanted.version or not answer.document:
            return False
        return self.offer(answer.ref, answer.document)
