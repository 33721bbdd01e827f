"""The groups that this proxy serves, as the platform lists them."""

from collections.abc import Iterable
from collections.abc import Sequence

import attrs

from tidegrade import config
from tidegrade import ports
from tidegrade import sessions

#: The site under which the platform's groups are known: it has one only.
SITE = 'platform'


#: Lists must have lacked an endpoint for this long before it counts as
#: gone, in seconds: entries that lapse while the platform's store is away
#: are back about two seconds after its return.
GONE_AFTER = 6.0


@attrs.define
class GroupList:
    """Joins the configuration with the list of endpoints.

    An endpoint is named by its address, so that one which is replaced at
    its place stays the same member. What vanished from the list is kept:
    it may have lapsed while the platform's store was down, and whether it
    answers is found out by asking it.

    A group's first row says who votes, so its first primary is named only
    once the list has not grown for ``settle`` seconds: a member that was
    left out could not vote for a new primary later.
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
        """Take in a list; where two share an address, the one that stays."""
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
        """Take in the endpoints that a group's row names.

        One whose entry has lapsed is still a member, at the address that
        is its name; only its failure domain isn't known.
        """
        known = self._seen.setdefault(group, {})
        for name in members:
            host, _, port = name.rpartition(':')
            if name not in known:
                self._listed_at.setdefault(name, self._learned_at)
                known[name] = ports.EndpointEntry(
                    id='',
                    group=group,
                    host=host,
                    port=int(port),
                    domain='',
                    slots=1,
                    leaving=False,
                    leads=False,
                )

    def leaving(self, group: str) -> frozenset[str]:
        """Give the endpoints of a group that are to get no new work."""
        known = self._seen.get(group, {})
        return frozenset(name for name, e in known.items() if e.leaving)

    def gone(self, group: str) -> frozenset[str]:
        """Give the endpoints of a group that no list names any more."""
        oldest = self._learned_at - GONE_AFTER
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
        """Give a group's configuration; None until endpoints are listed.

        Where none leads, as after a failure, the group has its row; only
        a group without one needs to know the first primary.
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
