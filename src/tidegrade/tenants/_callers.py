"""The identity of a caller, without the key that it presented."""

import hashlib
import secrets

import attrs

from tidegrade.tenants import _keys

#: Random key of the label hash: without it, labels from the logs can't be used
#: to test guesses of keys.
_LABEL_SALT = secrets.token_bytes(16)
#: Bytes of a label: collisions are rare among the callers of one process.
LABEL_BYTES = 6


@attrs.frozen
class Caller:
    """A caller, identified by a key or by an unverified name.

    ``label`` identifies the caller in logs and queues; a key has the same
    label as long as the process runs. The key itself is not kept.
    """

    key_hash: str = attrs.field(repr=False)
    label: str

    @classmethod
    def presenting(cls, key: str) -> 'Caller':
        """Return the caller that presented ``key``."""
        digest = _keys.key_hash(key)
        label = hashlib.blake2b(
            digest.encode(), key=_LABEL_SALT, digest_size=LABEL_BYTES
        )
        return cls(digest, label.hexdigest())
