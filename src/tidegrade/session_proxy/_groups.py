"""The groups of the platform's endpoint list and their endpoints."""

from collections.abc import Iterable
from collections.abc import Sequence
import ipaddress

import attrs

from tidegrade.codec import _rows
from tidegrade import config
from tidegrade import ports
from tidegrade import sessions

#: Name of the only site that the platform's groups belong to.
SITE = 'platform'


#: How long an endpoint must be missing from the lists before it counts as
#: gone, in seconds. Entries that expire while the platform's store is down are
#: written again about two seconds after its return.
GONE_AFTER_S = 6.0


@attrs.define
class GroupList:
    """Joins the configuration with the endpoint list.

    An endpoint's name is its address, so that a replacement at the same
    address stays the same member. An endpoint that is missing from the list
    is kept: its entry may have expired while the platform's store was down,
    and probes show whether it answers.

    A group's first row lists the voting members, so its first primary is
    named only once the list has not grown for ``settle`` seconds: a member
    that the row lacks could not vote for a new primary later.
    """

    suspect_after: float
    report_interval: float
    settle: float
    _grown_at: dict[str, float] = attrs.field(factory=dict)
    _listed_at: dict[str, float] = attrs.field(factory=dict)
    _learned_at: float = float('-inf')
    _seen: dict[str, dict[str, ports.EndpointEntry]] = attrs.field(
        factory=dict
    )

    def learn(
        self, entries: Sequence[ports.EndpointEntry], now: float
    ) -> None:
        """Process a list; of two at one address, prefer one not leaving."""
        listed: dict[str, dict[str, ports.EndpointEntry]] = {}
        for entry in entries:
            group = listed.setdefault(entry.group, {})
            name = f'{entry.host}:{entry.port}'
            if name not in group or group[name].leaving:
                group[name] = entry
        self._learned_at = now
        for group in listed.values():
            self._listed_at.update(dict.fromkeys(group, now))
        for group_name, group in listed.items():
            known = self._seen.setdefault(group_name, {})
            if group.keys() - known.keys():
                self._grown_at[group_name] = now
            known.update(group)

    def learn_members(self, group: str, members: Iterable[str]) -> None:
        """Add the members of a group's row to its endpoints.

        An endpoint whose entry has expired is still a member. Its name is
        its address; only its failure domain is unknown. A name that is no
        address, which only another client can have written, is left out.
        """
        known = self._seen.setdefault(group, {})
        for name in members:
            address = _address_of(name)
            if name not in known and address is not None:
                self._listed_at.setdefault(name, self._learned_at)
                known[name] = ports.EndpointEntry(
                    id='',
                    group=group,
                    host=address[0],
                    port=address[1],
                    domain='',
                    slots=1,
                    leaving=False,
                    leads=False,
                )

    def leaving(self, group: str) -> frozenset[str]:
        """Return the endpoints of a group that must get no new requests."""
        known = self._seen.get(group, {})
        return frozenset(name for name, e in known.items() if e.leaving)

    def gone(self, group: str) -> frozenset[str]:
        """Return the endpoints of a group that are gone from the lists."""
        oldest = self._learned_at - GONE_AFTER_S
        return frozenset(
            name
            for name in self._seen.get(group, {})
            if self._listed_at.get(name, self._learned_at) < oldest
        )

    def config_of(
        self,
        entry: sessions.GroupEntry,
        catalogue: sessions.Catalogue,
        now: float,
    ) -> config.Group | None:
        """Return a group's configuration; None until endpoints are listed.

        The first primary is empty if no endpoint leads, as after a failure.
        Only a group without a row needs it, and after a failure the group
        has its row.
        """
        known = self._seen.get(entry.name, {})
        if not known:
            return None
        leaders = [name for name, e in known.items() if e.leads]
        if now - self._grown_at.get(entry.name, now) < self.settle:
            leaders = []
        return config.Group(
            endpoints={
                name: config.Endpoint(
                    host=e.host,
                    port=e.port,
                    domain=e.domain,
                    max_connections=entry.max_connections,
                    slots=e.slots,
                )
                for name, e in sorted(known.items())
            },
            initial_primary=min(leaders, default=''),
            database=entry.name,
            acknowledge=config.Acknowledge.PRIMARY,
            suspect_after_s=self.suspect_after,
            poll_interval_s=self.report_interval,
            txn_idle_s=catalogue.txn_idle,
        )


def _address_of(name: str) -> tuple[str, int] | None:
    """Return the IPv4 address and the port that name an endpoint, if any.

    An attempt to connect to a port out of range raises an error that is no
    error of a connection.
    """
    host, _, text = name.rpartition(':')
    try:
        address, port = ipaddress.IPv4Address(host), int(text)
    except ValueError:
        return None
    if name != f'{address}:{port}' or not 0 < port <= _rows.MAX_PORT:
        return None
    return host, port
