"""What the tasks of a proxy share; each owns its state nevertheless."""

import random

import attrs

from tidegrade.adapters import _metrics
from tidegrade.daemon import _settings
from tidegrade import ports


@attrs.frozen
class Deps:
    """The adapters and the identity that the tasks work with.

    ``proxy_id`` names this run of the proxy; a restart gets another.
    """

    cfg: _settings.ProxySettings
    proxy_id: str
    clock: ports.Clock
    endpoints: ports.Endpoints
    table: ports.Table
    objects: ports.ObjectStore
    vm_list: ports.VmList
    metrics: _metrics.Metrics
    rng: random.Random
