"""Starts a proxy whose connections run through relays.

Proxies tell each other the port at which they listen, so a relay between two
of them can't be put into their settings. A file names the relay of each port
instead. It is read for each connection, since ports are added meanwhile.
"""

import json
import os
import pathlib
import runpy
import signal
import typing

import anyio
import anyio.abc

#: Environment variable that holds the path of the file.
ROUTES_VARIABLE = 'TIDEGRADE_EDGE_ROUTES'
PROGRAM = pathlib.Path(__file__).parents[2] / 'deploy' / 'tidegrade.py'

_connect = anyio.connect_tcp


async def _connect_routed(
    host: str, port: int, **options: typing.Any
) -> anyio.abc.SocketStream:
    """Connect to the relay of a port, or to the port if it has none."""
    routes = json.loads(pathlib.Path(os.environ[ROUTES_VARIABLE]).read_text())
    return await _connect(host, routes.get(str(port), port), **options)


if __name__ == '__main__':
    # A reload may be asked for before the program can handle it.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    anyio.connect_tcp = typing.cast(typing.Any, _connect_routed)
    runpy.run_path(str(PROGRAM), run_name='__main__')
