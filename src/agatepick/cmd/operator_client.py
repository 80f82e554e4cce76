"""A client of an entry's operators' side; what the commands use."""

import dataclasses
import ssl
import typing
import urllib.parse

import msgspec
import tornado.httpclient

from agatepick import exceptions

CONNECT_TIMEOUT = 2.0
REQUEST_TIMEOUT = 20.0
"""A change is answered once the table service has answered, which under an
outage takes several of its timeouts."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """One answer: its JSON, and the configuration's version if it has one."""

    status: int
    data: typing.Any
    version: int | None = None


class OperatorClient:
    """Talks to one entry.

    :param url: such as ``http://127.0.0.1:8080``.
    :param token: the operators' bearer token.
    :param tls: for ``https``, whom to trust.
    """

    def __init__(
        self, url: str, token: str, tls: ssl.SSLContext | None = None
    ):
        self.url = url.rstrip('/')
        self._token = token
        self._tls = tls
        self._http = tornado.httpclient.AsyncHTTPClient(force_instance=True)

    def close(self) -> None:
        """Close the connections."""
        self._http.close()

    async def get(self, path: str, **query: str) -> Answer:
        """Read one resource."""
        if query:
            path = f'{path}?{urllib.parse.urlencode(query)}'
        return self._read(await self._fetch('GET', path, None, None))

    async def lines(self, path: str, **query: str) -> bytes:
        """Read a resource that is lines of JSON."""
        path = f'{path}?{urllib.parse.urlencode(query)}'
        response = await self._fetch('GET', path, None, None)
        if response.code != 200:
            self._read(response)
        return response.body

    async def change(
        self, method: str, path: str, body: object, based_on: int | None
    ) -> Answer:
        """Propose a change.

        :param based_on: version that was seen; ``None`` for any.
        """
        data = msgspec.json.encode(body)
        response = await self._fetch(method, path, data, based_on)
        return self._read(response)

    async def _fetch(
        self, method: str, path: str, body: bytes | None, based_on: int | None
    ) -> tornado.httpclient.HTTPResponse:
        headers = {'Authorization': f'Bearer {self._token}'}
        if based_on is not None:
            headers['If-Match'] = f'"{based_on}"'
        req = tornado.httpclient.HTTPRequest(
            self.url + path,
            method=method,
            headers=headers,
            body=body,
            connect_timeout=CONNECT_TIMEOUT,
            request_timeout=REQUEST_TIMEOUT,
            ssl_options=self._tls,
        )
        try:
            return await self._http.fetch(req, raise_error=False)
        # The client raises the socket's own errors beside HTTP ones.
        except (OSError, tornado.httpclient.HTTPError) as exc:
            raise exceptions.Unreachable(
                f'no answer: {exc}', step='request', peer=self.url
            ) from exc

    def _read(self, response: tornado.httpclient.HTTPResponse) -> Answer:
        try:
            data = msgspec.json.decode(response.body)
        except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
            raise exceptions.Unreachable(
                f'HTTP {response.code} without an answer of agatepick',
                step='request',
                peer=self.url,
            ) from exc
        if response.code != 200:
            raise self._error(response.code, data)
        tag = response.headers.get('ETag', '').strip('"')
        version = int(tag) if tag.isdigit() else None
        return Answer(response.code, data, version)

    def _error(
        self, status: int, data: dict[str, typing.Any]
    ) -> exceptions.AgatepickError:
        kind: type[exceptions.AgatepickError] = exceptions.Rejected
        if status in (401, 403):
            kind = exceptions.Unauthorised
        elif status in (409, 412):
            kind = exceptions.Conflict
        elif status == 504:
            kind = exceptions.OutcomeUnknown
        detail = str(data.get('detail', f'HTTP {status}'))
        if data.get('version') is not None:
            detail += f'; the configuration is at version {data["version"]}'
        return kind(
            detail,
            step=str(data.get('step', '')),
            peer=str(data.get('peer') or self.url),
        )
