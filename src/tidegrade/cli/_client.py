"""The command line's connection to a proxy's operators' interface."""

import ssl

import attrs
import httpx
import result

#: Time that one request may take, in seconds.
REQUEST_LIMIT = 20.0


@attrs.frozen
class ClientSettings:
    """Which proxy to talk to, and as whom."""

    url: str
    key: str
    ca_file: str = ''


@attrs.frozen
class Failure:
    """A request that gave no success; ``status`` is 0 without an answer."""

    status: int
    code: str
    detail: str
    body: dict[str, object] = attrs.field(factory=dict)


class Client:
    """Asks one proxy."""

    def __init__(self, cfg: ClientSettings) -> None:
        verify: ssl.SSLContext | bool = True
        if cfg.ca_file:
            verify = ssl.create_default_context(cafile=cfg.ca_file)
        self._client = httpx.Client(
            base_url=cfg.url,
            headers={'Authorization': f'Bearer {cfg.key}'},
            timeout=REQUEST_LIMIT,
            verify=verify,
            trust_env=False,
        )

    def get(self, path: str) -> result.Result[dict[str, object], Failure]:
        """Read something."""
        return self._ask('GET', path, None)

    def post(
        self, path: str, body: dict[str, object] | None = None
    ) -> result.Result[dict[str, object], Failure]:
        """Have something done."""
        return self._ask('POST', path, body)

    def _ask(
        self, method: str, path: str, body: dict[str, object] | None
    ) -> result.Result[dict[str, object], Failure]:
        try:
            res = self._client.request(method, path, json=body)
            answer = res.json()
        except httpx.HTTPError as exc:
            return result.Err(Failure(0, 'unreachable', str(exc)))
        except ValueError:
            return result.Err(
                Failure(res.status_code, 'no_proxy', "not a proxy's answer")
            )
        if res.is_success:
            return result.Ok(answer)
        return result.Err(
            Failure(
                res.status_code,
                str(answer.get('code', '')),
                str(answer.get('detail', '')),
                answer,
            )
        )
