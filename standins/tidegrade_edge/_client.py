"""A caller of the line protocol."""

import anyio
import anyio.abc
import attrs


@attrs.frozen
class Reply:
    """An answer: rows, the receipt or the error, and the state after it."""

    rows: tuple[str, ...]
    receipt: str
    error: str
    state: str

    @property
    def code(self) -> str:
        """Give the error's code, empty after a success."""
        return self.error.partition(' ')[0]


class Client:
    """One session; ids count up so that runs can be told apart."""

    def __init__(self, stream: anyio.abc.SocketStream, name: str) -> None:
        self._stream = stream
        self._buffer = b''
        self._name = name
        self._count = 0

    @classmethod
    async def connect(
        cls, port: int, database: str, name: str = 'u', key: str = ''
    ) -> 'Client | None':
        """Open a session with a key; None if it is refused.

        Without a key it presents its name.
        """
        stream = await anyio.connect_tcp('127.0.0.1', port)
        client = cls(stream, name)
        await stream.send(f'CONNECT {database} {key or name}\r\n'.encode())
        line = await client.receive()
        if line.startswith('READY I'):
            return client
        await client.close()
        return None

    async def ask(self, text: str, request_id: str = '') -> Reply:
        """Run a statement and wait for its whole answer."""
        self._count += 1
        self.last_id = request_id or f'{self._name}{self._count}'
        await self.send(f'QUERY {self.last_id} {text}')
        rows: list[str] = []
        receipt, error = '', ''
        while True:
            kind, _, fields = (await self.receive()).partition(' ')
            if kind == 'ROW':
                rows.append(fields)
            elif kind == 'DONE':
                receipt = fields
            elif kind == 'ERROR':
                error = fields
            elif kind == 'READY':
                state = fields.partition(' ')[0]
                return Reply(tuple(rows), receipt, error, state)

    async def send(self, line: str) -> None:
        """Send one line as it is."""
        await self._stream.send(f'{line}\r\n'.encode())

    async def send_raw(self, raw: bytes) -> None:
        """Send bytes that need not be a message."""
        await self._stream.send(raw)

    async def receive(self) -> str:
        """Give the next line; raises anyio.EndOfStream at the end."""
        while b'\r\n' not in self._buffer:
            self._buffer += await self._stream.receive()
        line, _, self._buffer = self._buffer.partition(b'\r\n')
        return line.decode('utf-8', 'surrogateescape')

    async def close(self) -> None:
        """Close the connection."""
        await self._stream.aclose()
