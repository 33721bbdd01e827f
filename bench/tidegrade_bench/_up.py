"""A deployment to try things on, until it is interrupted."""

import pathlib
import tempfile

import anyio

from tidegrade_bench import _deployment
from tidegrade_bench import _plan


async def run() -> None:
    """Start the demonstration's deployment and say how to reach it."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = _deployment.Deployment(_plan.DEMO, pathlib.Path(folder))
        try:
            await deployment.start()
            await deployment.apply_config()
            await deployment.until_writable()
            _tell(deployment)
            await anyio.sleep_forever()
        finally:
            deployment.stop()


def _tell(deployment: _deployment.Deployment) -> None:
    for proxy in deployment.proxies:
        print(f'# {proxy.name} in {proxy.domain}: {proxy.url}')
    key = _deployment.tenant_key('kanwa', 'tenant-a')
    print(f'export URL={deployment.proxies[0].url}')
    print(f'export OTHER={deployment.proxies[1].url}')
    print(f'export KEY={key}')
    print(f'export TIDEGRADE_URL={deployment.proxies[0].url}')
    print(f'export TIDEGRADE_KEY={_deployment.OPERATOR_KEY}')
    print('# running until interrupted', flush=True)
