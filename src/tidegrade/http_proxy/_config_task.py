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

#: Pause after a content could not be had, in seconds.
FETCH_PAUSE = 0.2


@attrs.frozen
class InForce:
    """A configuration with its content, as JSON and as checked."""

    ref: core.ConfigRef
    raw: bytes
    doc: config.Document


#: Called with each configuration that comes into force.
Adopted = Callable[[InForce], None]


def object_name(sha256: str) -> str:
    """Give the name under which a document is stored."""
    return f'config-{sha256}'


def read_document(
    raw: bytes,
) -> result.Result[config.Document, list[str]]:
    """Read and check a document; the errors name paths."""
    read = _structure.structure(raw, config.Document)
    if read.is_err():
        return read
    found = config.problems_of(read.unwrap())
    return result.Err(found) if found else read


class ConfigTask:
    """Reads the pointer, hears of versions from peers, fetches content."""

    def __init__(
        self,
        deps: _deps.HttpDeps,
        peers: _peers_task.PeersTask,
        adopted: Adopted,
    ) -> None:
        self._deps = deps
        self._peers = peers
        self._adopted = adopted
        self._adoption = core.Adoption()
        self._in_force: InForce | None = None
        self._heard = anyio.Event()
        self._reachable: bool | None = None

    @property
    def in_force(self) -> InForce | None:
        """Give the configuration in force."""
        return self._in_force

    @property
    def platform_reachable(self) -> bool:
        """Tell whether the last read of the platform was answered."""
        return bool(self._reachable)

    async def run(self) -> None:
        """Run until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._poll)
            tasks.start_soon(self._fetch_wanted)

    def heard(self, version: int) -> None:
        """Take in the version that a peer has in force."""
        ref = core.ConfigRef(version, '')
        if self._adoption.record_ref(ref):
            self._heard.set()

    def offer(self, ref: core.ConfigRef, raw: bytes) -> bool:
        """Take in a content; tell whether it is genuine and usable."""
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
            self._adopted(self._in_force)
        return True

    def answer(self, ask: messages.AskConfig) -> messages.ConfigContent:
        """Answer a peer that asks for content."""
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
        self._note_reachable(answer.is_ok())
        if answer.is_err():
            return
        found = answer.unwrap()
        if found is None:
            self._note_stored(None)
            return
        read = _pointer.decode_pointer(found.value)
        if read.is_err():
            logs.write(
                logs.LogEvent.CONFIG_REFUSED, errors=[read.unwrap_err()]
            )
            return
        pointer = read.unwrap()
        self._note_stored(pointer.ref)
        if self._adoption.record_ref(pointer.ref):
            self._heard.set()

    def _note_stored(self, ref: core.ConfigRef | None) -> None:
        before = self._adoption.store_regressions
        self._adoption.check_stored(ref)
        if self._adoption.store_regressions == before + 1 and before == 0:
            logs.write(
                logs.LogEvent.CONFIG_OLDER_IN_STORE,
                shown=ref.version if ref else 0,
                in_force=self._adoption.version,
            )

    def _note_reachable(self, reachable: bool) -> None:
        if reachable == self._reachable:
            return
        if self._reachable is not None or not reachable:
            event = logs.LogEvent.PLATFORM_UNREACHABLE
            if reachable:
                event = logs.LogEvent.PLATFORM_REACHABLE
            logs.write(event)
        self._reachable = reachable

    # Fetching content -----------------------------------------------------

    async def _fetch_wanted(self) -> None:
        while True:
            wanted = self._adoption.wanted
            if wanted is None:
                await self._heard.wait()
                self._heard = anyio.Event()
                continue
            if not await self._fetch(wanted):
                await anyio.sleep(FETCH_PAUSE)

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
