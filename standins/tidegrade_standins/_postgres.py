"""A server that clients of PostgreSQL can use, on one instance."""

import contextlib
import ssl

import anyio
import anyio.abc
import anyio.streams.buffered
from anyio.streams import tls
import attrs

from tidegrade_standins import _instance
from tidegrade_standins import _pgwire
from tidegrade_standins import _replication
from tidegrade_standins import _settings

#: Largest message taken from a client.
MAX_MESSAGE = 16_000_000
#: Pause between looks whether a client is still cut off.
HANG_PAUSE = 0.02
#: Parameters told to each client when it connects.
SERVER_PARAMETERS = {
    'server_version': '17.0',
    'server_encoding': 'UTF8',
    'client_encoding': 'UTF8',
    'DateStyle': 'ISO, MDY',
    'integer_datetimes': 'on',
    'standard_conforming_strings': 'on',
    'TimeZone': 'UTC',
}

_Buffered = anyio.streams.buffered.BufferedByteReceiveStream

_CLIENT_GONE = (
    ssl.SSLError,
    OSError,
    anyio.EndOfStream,
    anyio.IncompleteRead,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


@attrs.define
class Counters:
    """What an instance has seen, to be compared with what proxies say."""

    connections: int = 0
    peak_connections: int = 0
    refused_connections: int = 0
    statements: int = 0


class Server:
    """Accepts clients and replicas of one instance."""

    def __init__(self, instance: _instance.Instance) -> None:
        self.instance = instance
        self.counters = Counters()
        self._tls = _tls_context(instance.cfg)

    async def serve(self) -> None:
        """Serve until cancelled."""
        cfg = self.instance.cfg
        listener = await anyio.create_tcp_listener(
            local_host=cfg.host, local_port=cfg.port, reuse_port=False
        )
        await listener.serve(self._client)

    async def _client(self, stream: anyio.abc.SocketStream) -> None:
        with contextlib.suppress(*_CLIENT_GONE):
            async with stream:
                await self._converse(stream)

    async def _converse(self, plain: anyio.abc.ByteStream) -> None:
        started = await _start(plain, self._tls)
        if started is None:
            return
        stream, reader, options = started
        name = options.get('application_name', '')
        await self._while_cut_off(name)
        if 'replication' in options:
            line = await reader.receive_until(b'\n', MAX_MESSAGE)
            await _replication.serve_replica(self.instance, stream, name, line)
            return
        if not await self._admit(stream):
            return
        try:
            await _Conversation(self, stream, reader, name).run()
        finally:
            self.counters.connections -= 1

    async def _admit(self, stream: anyio.abc.ByteStream) -> bool:
        counters = self.counters
        if counters.connections >= self.instance.cfg.max_connections:
            counters.refused_connections += 1
            full = _pgwire.SqlError(
                '53300', 'too many connections', fatal=True
            )
            await stream.send(_pgwire.error(full))
            return False
        counters.connections += 1
        counters.peak_connections = max(
            counters.peak_connections, counters.connections
        )
        return True

    async def _while_cut_off(self, name: str) -> None:
        while self.instance.faults.hangs(name):
            await anyio.sleep(HANG_PAUSE)


def _tls_context(
    cfg: _settings.InstanceSettings,
) -> ssl.SSLContext | None:
    if not cfg.cert_file:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(cfg.cert_file, cfg.key_file)
    return context


async def _start(
    stream: anyio.abc.ByteStream, context: ssl.SSLContext | None
) -> tuple[anyio.abc.ByteStream, _Buffered, dict[str, str]] | None:
    """Read what comes before the conversation; None if nothing follows."""
    reader = _Buffered(stream)
    while True:
        size = int.from_bytes(await reader.receive_exactly(4), 'big')
        body = await reader.receive_exactly(size - 4)
        code = int.from_bytes(body[:4], 'big')
        if code == _pgwire.SSL_REQUEST and context is not None:
            await stream.send(b'S')
            stream = await tls.TLSStream.wrap(
                stream, server_side=True, ssl_context=context
            )
            reader = _Buffered(stream)
        elif code in (_pgwire.SSL_REQUEST, _pgwire.GSS_REQUEST):
            await stream.send(b'N')
        elif code == _pgwire.CANCEL_REQUEST:
            return None
        else:
            return stream, reader, _options(body[4:])


def _options(raw: bytes) -> dict[str, str]:
    fields = raw.rstrip(b'\0').split(b'\0')
    names = [field.decode('utf-8') for field in fields]
    return dict(zip(names[::2], names[1::2], strict=False))


@attrs.define
class _Portal:
    """A bound statement, run when it is described or executed."""

    sql: str
    params: dict[str, object]
    result: _instance.Result | None = None


class _Conversation:
    """One client's messages, from its start to its end."""

    def __init__(
        self,
        server: Server,
        stream: anyio.abc.ByteStream,
        reader: _Buffered,
        client: str,
    ) -> None:
        self._server = server
        self._stream = stream
        self._reader = reader
        self._client = client
        self._session = _instance.Session(server.instance)
        self._statements: dict[str, tuple[str, list[int]]] = {}
        self._portal: _Portal | None = None
        self._skipping = False
        self._out = bytearray()
        self._handlers = {
            b'Q': self._simple_query,
            b'P': self._parse,
            b'B': self._bind,
            b'D': self._describe,
            b'E': self._execute,
            b'C': self._close_statement,
            b'S': self._sync,
            b'H': self._flush,
        }

    async def run(self) -> None:
        """Converse until the client goes."""
        try:
            await self._greet()
            while True:
                kind = await self._reader.receive_exactly(1)
                raw = await self._reader.receive_exactly(4)
                size = int.from_bytes(raw, 'big') - 4
                if size > MAX_MESSAGE:
                    return
                body = await self._reader.receive_exactly(size)
                if kind == b'X':
                    return
                await self._message(kind, body)
        finally:
            self._session.close()

    async def _greet(self) -> None:
        cost = self._server.instance.faults.connect_cost_s
        if cost:
            await anyio.sleep(cost)
        self._out += _pgwire.message(b'R', bytes(4))
        for name, value in SERVER_PARAMETERS.items():
            self._out += _pgwire.parameter_status(name, value)
        self._out += _pgwire.message(b'K', bytes(8))
        self._out += _pgwire.ready(b'I')
        await self._flush(b'')

    async def _message(self, kind: bytes, body: bytes) -> None:
        while self._server.instance.faults.hangs(self._client):
            await anyio.sleep(HANG_PAUSE)
        if self._skipping and kind != b'S':
            return
        try:
            await self._handlers[kind](body)
        except _pgwire.SqlError as exc:
            self._session.failed()
            self._out += _pgwire.error(exc)
            if kind == b'Q':
                await self._sync(b'')
            else:
                self._skipping = True

    async def _simple_query(self, body: bytes) -> None:
        sql = _pgwire.Reader(body).text()
        done = await self._run(sql, {})
        if done.columns is not None:
            self._describe_rows(done)
        self._send_rows(done)
        await self._sync(b'')

    async def _parse(self, body: bytes) -> None:
        reader = _pgwire.Reader(body)
        name = reader.text()
        sql = reader.text()
        oids = [reader.int32() for _ in range(reader.int16())]
        self._statements[name] = (sql, oids)
        self._out += _pgwire.message(b'1')

    async def _bind(self, body: bytes) -> None:
        reader = _pgwire.Reader(body)
        reader.text()
        sql, oids = self._statements[reader.text()]
        formats = [reader.int16() for _ in range(reader.int16())]
        params: dict[str, object] = {}
        for index in range(reader.int16()):
            size = reader.int32()
            raw = None if size < 0 else reader.take(size)
            binary = bool(formats[index % len(formats)]) if formats else False
            oid = oids[index] if index < len(oids) else 0
            params[str(index + 1)] = _pgwire.parameter(raw, binary, oid)
        self._portal = _Portal(sql, params)
        self._out += _pgwire.message(b'2')

    async def _describe(self, body: bytes) -> None:
        if body[:1] == b'S':
            self._out += _pgwire.message(b't', bytes(2))
            self._out += _pgwire.message(b'n')
            return
        done = await self._run_portal()
        if done.columns is None:
            self._out += _pgwire.message(b'n')
        else:
            self._describe_rows(done)

    async def _execute(self, body: bytes) -> None:
        self._send_rows(await self._run_portal())

    async def _close_statement(self, body: bytes) -> None:
        self._statements.pop(_pgwire.Reader(body[1:]).text(), None)
        self._out += _pgwire.message(b'3')

    async def _sync(self, body: bytes) -> None:
        self._skipping = False
        self._out += _pgwire.ready(self._session.status)
        await self._flush(body)

    async def _flush(self, body: bytes) -> None:
        out, self._out = self._out, bytearray()
        while self._server.instance.faults.hangs(self._client):
            await anyio.sleep(HANG_PAUSE)
        await self._stream.send(bytes(out))

    async def _run_portal(self) -> _instance.Result:
        portal = self._portal
        if portal is None:
            raise _pgwire.SqlError('34000', 'there is no portal')
        if portal.result is None:
            portal.result = await self._run(portal.sql, portal.params)
        return portal.result

    async def _run(
        self, sql: str, params: dict[str, object]
    ) -> _instance.Result:
        instance = self._server.instance
        self._server.counters.statements += 1
        if instance.faults.statement_cost_s:
            async with instance.slots:
                await anyio.sleep(instance.faults.statement_cost_s)
        return await self._session.execute(sql, params)

    def _describe_rows(self, done: _instance.Result) -> None:
        assert done.columns is not None
        first = done.rows[0] if done.rows else ('',) * len(done.columns)
        oids = [_pgwire.oid_of(value) for value in first]
        self._out += _pgwire.row_description(done.columns, oids)

    def _send_rows(self, done: _instance.Result) -> None:
        for row in done.rows:
            self._out += _pgwire.data_row(row)
        self._out += _pgwire.message(b'C', _pgwire.text(done.tag))
