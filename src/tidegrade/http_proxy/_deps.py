"""Dependencies that the parts of the HTTP program share."""

import attrs

from tidegrade.adapters import _metrics
from tidegrade.daemon import _deps
from tidegrade.http_proxy import _settings
from tidegrade import ports


@attrs.frozen
class HttpDeps:
    """Dependencies of the shared tasks, and those of this program only."""

    shared: _deps.Deps
    cfg: _settings.ProxySettings
    objects: ports.ObjectStore
    vm_list: ports.VmList
    metrics: _metrics.Metrics

    @property
    def proxy_id(self) -> str:
        """The id of this run of the proxy."""
        return self.shared.proxy_id

    @property
    def clock(self) -> ports.Clock:
        """The clock that deadlines are measured with."""
        return self.shared.clock

    @property
    def table(self) -> ports.Table:
        """The platform's table."""
        return self.shared.table
