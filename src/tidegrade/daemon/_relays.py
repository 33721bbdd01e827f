"""The relays of the failure domains.

A relay that is silent is replaced by the next proxy in order, also while the
silent one still counts as alive.
"""

from tidegrade import core
from tidegrade.daemon import _roster
from tidegrade import logs
from tidegrade import ports

#: With fewer other proxies than this, the proxies form a full mesh. The
#: messages of a mesh grow with the square of the number of proxies.
MESH_SIZE = 12
#: Number of relays per failure domain; the second covers the loss of the
#: first.
RELAYS = 2
#: Time for which a proxy acts as a relay after it received a heartbeat to
#: pass on, in seconds. While proxies start, their views of the relays differ,
#: and a heartbeat sent to a proxy that does not relay would be lost.
RELAY_DUTY_S = 2.0
#: Silence of a relay of the own domain after which the next proxies in order
#: act as relays too, in seconds: two intervals, since one digest may be lost,
#: and a margin for a late one. The relay counts as alive for longer.
RELAY_SILENCE_S = 1.1
#: Number of proxies in order of which one may act as a relay, so that the
#: domain keeps two when several of the first fail at once.
RELAY_CANDIDATES = 4 * RELAYS


class Relays:
    """Chooses the relays, and those that act in place of silent ones."""

    def __init__(
        self,
        identity: _roster.ProxyIdentity,
        roster: _roster.Roster,
        clock: ports.Clock,
    ) -> None:
        self._identity = identity
        self._roster = roster
        self._clock = clock
        self._requested_at = float('-inf')
        #: As of the last heartbeat of this proxy: whether it used a full
        #: mesh, the relays of its domain, and those that act as such, which
        #: may stand in for silent ones.
        self.was_mesh = True
        self.own: tuple[str, ...] = ()
        self.acting: tuple[str, ...] = ()
        #: When relays of the own domain last sent a digest, and since when
        #: they are expected to.
        self._heard_at: dict[str, float] = {}
        self._expected_at: dict[str, float] = {}
        #: Since when this proxy acts as a relay; None if it does not.
        self._acting_since: float | None = None

    # Updates --------------------------------------------------------------

    def update(self) -> None:
        """Choose the relays of this domain for a heartbeat of this proxy."""
        self.was_mesh = self.uses_mesh()
        if not self.was_mesh:
            self._choose_acting()
        if not self.is_relay():
            self._acting_since = None
        elif self._acting_since is None:
            self._acting_since = self._clock.now()

    def record_request(self, now: float) -> None:
        """Record that another proxy sent a heartbeat to pass on."""
        self._requested_at = now

    def record_digest(self, proxy: str, now: float) -> None:
        """Record that a relay of this domain sent a digest."""
        self._heard_at[proxy] = now

    def _choose_acting(self) -> None:
        """Choose the proxies that act as relays of this domain.

        They are the first in order that are not silent.
        """
        now = self._clock.now()
        acting: list[str] = []
        expected_at: dict[str, float] = {}
        heard_at: dict[str, float] = {}
        ranked = self._ranked(self._identity.domain, RELAY_CANDIDATES)
        for proxy in ranked:
            if len(acting) == RELAYS:
                break
            if proxy == self._identity.proxy:
                acting.append(proxy)
                continue
            expected_at[proxy] = self._expected_at.get(proxy, now)
            heard_at[proxy] = self._heard_at.get(proxy, float('-inf'))
            silent_since = max(expected_at[proxy], heard_at[proxy])
            if now - silent_since < RELAY_SILENCE_S:
                acting.append(proxy)
        self.own = ranked[:RELAYS]
        was_standing_in = self._is_standing_in()
        self.acting = tuple(acting)
        if self._is_standing_in() and not was_standing_in:
            logs.write(
                logs.LogEvent.RELAYS_SILENT,
                silent=[p for p in self.own if p not in acting],
            )
        self._expected_at = expected_at
        self._heard_at = heard_at

    def _is_standing_in(self) -> bool:
        own = self._identity.proxy
        return own in self.acting and own not in self.own

    # Queries --------------------------------------------------------------

    def uses_mesh(self) -> bool:
        """Return whether the proxies form a full mesh, without relays."""
        candidates = self._roster.candidates(self._clock.now())
        return sum(map(len, candidates.values())) < MESH_SIZE

    def is_relay(self) -> bool:
        """Return whether this proxy acts as a relay."""
        if self.uses_mesh():
            return False
        if self._clock.now() - self._requested_at < RELAY_DUTY_S:
            return True
        if self._identity.proxy in self.acting:
            return True
        return self._identity.proxy in self.of(self._identity.domain)

    def of(self, domain: str) -> tuple[str, ...]:
        """Return the relays of a failure domain.

        They are the proxies with the largest VMs, since relays send the most;
        rendezvous hashing decides between VMs of equal capacity.
        This proxy may be one of them. Proxies that were listed recently but
        have sent no heartbeat yet count too, since they may be restarted
        relays.
        """
        return self._ranked(domain, RELAYS)

    def _ranked(self, domain: str, count: int) -> tuple[str, ...]:
        candidates = self._roster.candidates(self._clock.now())
        proxies = candidates.get(domain, set())
        if domain == self._identity.domain:
            proxies = proxies | {self._identity.proxy}
        return core.largest_first(
            f'relay {domain}', proxies, self._roster.capacities(), count
        )

    def acting_s(self) -> float:
        """Return the time for which this proxy has acted as a relay."""
        if self._acting_since is None:
            return 0.0
        return self._clock.now() - self._acting_since

    def is_known_relay(self, proxy: str) -> bool:
        """Return whether a proxy is a relay of its own domain."""
        return proxy in self.of(self._roster.domain_of(proxy))

    def own_index(self) -> int:
        """Return this proxy's index among the relays of its domain.

        It is 0 for a proxy that relays only because others chose it.
        """
        if self._identity.proxy not in self.acting:
            return 0
        return self.acting.index(self._identity.proxy)

    def heard_at(self) -> float | None:
        """Return the time by which each relay of this domain was heard.

        Contacts before that time are known. None in a full mesh, where this
        proxy is itself in contact with other domains.
        """
        if self.was_mesh:
            return None
        if self._identity.proxy in self.own:
            return self._clock.now()
        never = float('-inf')
        return min(
            (self._heard_at.get(p, never) for p in self.acting),
            default=never,
        )
