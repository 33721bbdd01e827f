"""Options that several commands share."""

import pathlib
from typing import Annotated

import typer

from tidegrade.cli import _client

Url = Annotated[
    str,
    typer.Option(
        envvar='TIDEGRADE_URL',
        help='Address of any proxy, such as http://10.0.0.7:8080.',
    ),
]
Key = Annotated[
    str, typer.Option(envvar='TIDEGRADE_KEY', help="The operator's key.")
]
CaFile = Annotated[
    str,
    typer.Option(
        envvar='TIDEGRADE_CA',
        help="File of CA certificates for the proxies' TLS.",
    ),
]
AsJson = Annotated[
    bool, typer.Option('--json', help='Print JSON for programs.')
]
File = Annotated[
    pathlib.Path,
    typer.Argument(
        exists=True,
        dir_okay=False,
        readable=True,
        help='The configuration file.',
    ),
]


def client(url: str, key: str, ca_file: str) -> _client.Client:
    """Return a client for the proxy that the options name."""
    return _client.Client(_client.ClientSettings(url, key, ca_file))
