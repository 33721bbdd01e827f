"""HTTP client for the operators' interface of a proxy."""

import ssl

import attrs
import httpx
import result

#: Time-out of one request, in seconds.
REQUEST_TIMEOUT_S = 20.0


@attrs.frozen
class ClientSettings:
    """The URL of a proxy, the operator's key and the CA file for TLS."""

    url: str
    key: str
    ca_file: str = ''


@attrs.frozen
class Failure:
    """A request that failed; ``status`` is 0 if no answer came."""

    status: int
    code: str
    detail: str
    body: dict[str, object] = attrs.field(factory=dict)


class Client:
    """Sends requests to one proxy."""

    def __init__(self, cfg: ClientSettings) -> None:
        verify: ssl.SSLContext | bool = True
        if cfg.ca_file:
            verify = ssl.create_default_context(cafile=cfg.ca_file)
        self._client = httpx.Client(
            base_url=cfg.url,
            headers={'Authorization': f'Bearer {cfg.key}'},
            timeout=REQUEST_TIMEOUT_S,
            verify=verify,
            trust_env=False,
        )

    def get(self, path: str) -> result.Result[dict[str, object], Failure]:
        """Send a GET request."""
        return self._request('GET', path, None)

    def post(
        self, path: str, body: dict[str, object] | None = None
    ) -> result.Result[dict[str, object], Failure]:
        """Send a POST request with a JSON body."""
        return self._request('POST', path, body)

    def _request(
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
