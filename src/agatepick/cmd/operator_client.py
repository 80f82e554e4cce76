"""Client of the operators' API of an entry, for the commands."""

import dataclasses
import ssl
import typing
import urllib.parse

import msgspec
import tornado.httpclient

from agatepick import exceptions
from agatepick.net import decoding

CONNECT_TIMEOUT_SECONDS = 2.0
REQUEST_TIMEOUT_SECONDS = 20.0
"""The entry answers a proposed change only after the table service has
answered the entry.  During an outage of the table service this takes several
of the entry's timeouts for that service."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """JSON of a response, with the configuration version in its ``ETag``."""

    status: int
    data: typing.Any
    version: int | None = None


class OperatorClient:
    """HTTP client of one entry.

    :param url: URL of the entry, such as ``http://127.0.0.1:8080``.
    :param token: bearer token of the operators.
    :param tls: trusted certificates for ``https``.
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
        """Return the answer to a GET request."""
        if query:
            path = f'{path}?{urllib.parse.urlencode(query)}'
        return self._parse_response(await self._fetch('GET', path, None, None))

    async def get_lines(self, path: str, **query: str) -> bytes:
        """Return the body of a GET request, one JSON object per line."""
        path = f'{path}?{urllib.parse.urlencode(query)}'
        response = await self._fetch('GET', path, None, None)
        if response.code != 200:
            self._parse_response(response)
        return response.body

    async def change(
        self, method: str, path: str, body: object, based_on: int | None
    ) -> Answer:
        """Propose a change of the configuration.

        :param based_on: version that the configuration must still have for
            the change to be accepted; ``None`` for any.
        """
        data = msgspec.json.encode(body)
        response = await self._fetch(method, path, data, based_on)
        return self._parse_response(response)

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
            connect_timeout=CONNECT_TIMEOUT_SECONDS,
            request_timeout=REQUEST_TIMEOUT_SECONDS,
            ssl_options=self._tls,
        )
        try:
            return await self._http.fetch(req, raise_error=False)
        # The HTTP client raises socket errors as well as HTTP errors.
        except (OSError, tornado.httpclient.HTTPError) as exc:
            raise exceptions.Unreachable(
                f'no answer: {exc}', step='request', peer=self.url
            ) from exc

    def _parse_response(
        self, response: tornado.httpclient.HTTPResponse
    ) -> Answer:
        try:
            data = msgspec.json.decode(response.body)
        except decoding.ERRORS as exc:
            raise exceptions.Unreachable(
                f'HTTP {response.code}: the response is not from agatepick',
                step='request',
                peer=self.url,
            ) from exc
        if response.code != 200:
            raise self._make_error(response.code, data)
        tag = response.headers.get('ETag', '').strip('"')
        version = int(tag) if tag.isdigit() else None
        return Answer(response.code, data, version)

    def _make_error(
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
