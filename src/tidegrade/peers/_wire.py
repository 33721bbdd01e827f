"""Cap'n Proto encoding of peer messages and session tokens."""

import base64
import binascii
import pathlib
import typing

import capnp  # type: ignore[import-untyped]
import result

from tidegrade import core

#: Longest session token accepted from a caller, in characters.
MAX_TOKEN = 4096
#: Words that reading one message may traverse, which bounds the work that
#: malicious input can cause.
TRAVERSAL_LIMIT = 4_000_000

_SCHEMA = capnp.load(
    str(pathlib.Path(__file__).with_name('wire.capnp')), imports=[]
)

PeerMessage = _SCHEMA.PeerMessage


def encode_token(token: core.SessionToken) -> str:
    """Return the token as URL-safe base64 text for a header."""
    message = _SCHEMA.SessionToken.new_message(
        site=token.site, configVersion=token.config_version
    )
    positions = message.init('positions', len(token.positions))
    for slot, (group, seen) in zip(
        positions, sorted(token.positions.items()), strict=True
    ):
        slot.group = group
        slot.term = seen.term
        slot.lsn = seen.lsn
    return base64.urlsafe_b64encode(message.to_bytes_packed()).decode()


def decode_token(text: str) -> result.Result[core.SessionToken, str]:
    """Return the token that a text holds, or an error if it is malformed."""
    if len(text) > MAX_TOKEN:
        return result.Err(f'a session token has up to {MAX_TOKEN} characters')
    try:
        raw = base64.b64decode(text, altchars=b'-_', validate=True)
        message = _SCHEMA.SessionToken.from_bytes_packed(
            raw, traversal_limit_in_words=TRAVERSAL_LIMIT
        )
        return result.Ok(_token_of(message))
    except (binascii.Error, ValueError, capnp.KjException):
        return result.Err('the session token is malformed')


def _token_of(message: typing.Any) -> core.SessionToken:
    return core.SessionToken(
        site=message.site,
        config_version=message.configVersion,
        positions={
            seen.group: core.Position(seen.term, seen.lsn)
            for seen in message.positions
        },
    )


def read_peer_message(raw: bytes) -> typing.Any:
    """Return a message; raises ``capnp.KjException`` if it is malformed."""
    return PeerMessage.from_bytes_packed(
        raw, traversal_limit_in_words=TRAVERSAL_LIMIT
    )
