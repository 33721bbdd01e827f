"""When other failure domains were last heard from directly.

Only messages that a proxy of another domain sent to this proxy, or to a relay
of this proxy's own domain, count as contact. Other information on a domain
may be circular: two proxies that forward each other's information on a domain
would keep it connected after it was cut off.

Times are those of the proxy's own clock, in seconds.
"""

import attrs


@attrs.define
class Contacts:
    """The last contact with each other failure domain."""

    #: Contacts of this proxy itself. Only these may be reported to others.
    _direct: dict[str, float] = attrs.field(factory=dict)
    #: Contacts that relays of this proxy's own domain reported.
    _reported: dict[str, float] = attrs.field(factory=dict)

    def record_direct(self, domain: str, at: float) -> None:
        """Record a message that a proxy of ``domain`` sent to this one."""
        _advance(self._direct, domain, at)

    def record_report(self, domain: str, at: float) -> None:
        """Record a contact that a relay of the own domain reported."""
        _advance(self._reported, domain, at)

    def direct_ages(self, now: float) -> dict[str, float]:
        """Return the age of this proxy's own contact with each domain."""
        return {name: max(0.0, now - at) for name, at in self._direct.items()}

    def last(self, domain: str) -> float | None:
        """Return the time of the last contact, None if there was none."""
        found = (known.get(domain) for known in (self._direct, self._reported))
        return max((at for at in found if at is not None), default=None)

    def last_of_any(self) -> float | None:
        """Return the time of the last contact with any other domain."""
        both = (*self._direct.values(), *self._reported.values())
        return max(both, default=None)

    def silent(self, oldest: float) -> frozenset[str]:
        """Return the domains whose last contact was before ``oldest``.

        A domain without any contact so far is not silent: at the start of
        this proxy none has been in contact.
        """
        return frozenset(
            name
            for name in self._direct.keys() | self._reported.keys()
            if (at := self.last(name)) is not None and at < oldest
        )


def _advance(known: dict[str, float], domain: str, at: float) -> None:
    known[domain] = max(at, known.get(domain, at))
