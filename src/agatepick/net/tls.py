"""TLS contexts from settings, for callers and between our processes.

Between our processes both sides show a certificate of the same authority.
Peers dial IP numbers, so what counts is the authority, which signs
certificates of agatepick processes only, and not the name in them.
"""

import dataclasses
import os
import ssl
import typing

from agatepick.conf import settings
from agatepick import exceptions

Stamp = tuple[tuple[str, int, int], ...]
"""Path, time of change and size of each file."""


@dataclasses.dataclass(slots=True)
class Contexts:
    """The contexts of one process; all ``None`` when TLS is off.

    A context stays the same object when its files are read again, so
    whoever holds it uses the new certificate for the next connection.
    """

    cfg: settings.Tls = settings.Tls(enabled=False)
    http: ssl.SSLContext | None = None
    peer_server: ssl.SSLContext | None = None
    peer_client: ssl.SSLContext | None = None
    _stamp: Stamp = ()

    @classmethod
    def from_config(cls, cfg: settings.Tls) -> 'Contexts':
        """Contexts over the files that settings name.

        :raises agatepick.exceptions.BadSettings: if a file can't be used.
        """
        if not cfg.enabled:
            return cls(cfg)
        made = cls(
            cfg,
            peer_server=_context(ssl.PROTOCOL_TLS_SERVER),
            peer_client=_context(ssl.PROTOCOL_TLS_CLIENT),
        )
        if cfg.http_certificate:
            made.http = _context(ssl.PROTOCOL_TLS_SERVER)
        made._read()
        return made

    def reload(self) -> bool:
        """Read the files again if any has changed.

        A file that can't be used leaves the old certificate in use: a
        renewal caught half way would otherwise end all new connections.

        :returns: whether new files were read.
        :raises agatepick.exceptions.BadSettings: if a file can't be used.
        """
        if not self.cfg.enabled or _stamp(self.cfg) == self._stamp:
            return False
        # A bad file must not spoil a live context, so it is tried apart.
        Contexts.from_config(self.cfg)
        self._read()
        return True

    def _read(self) -> None:
        cfg = self.cfg
        self._stamp = _stamp(cfg)
        for context, certificate, key in (
            (self.http, cfg.http_certificate, cfg.http_key),
            (self.peer_server, cfg.peer_certificate, cfg.peer_key),
            (self.peer_client, cfg.peer_certificate, cfg.peer_key),
        ):
            if context is not None:
                _load(context, certificate, key)
        for context in (self.peer_server, self.peer_client):
            if context is not None:
                _trust(context, cfg.peer_authority)


def caller_context(authority: str = '') -> ssl.SSLContext:
    """Context of a client of the HTTP side.

    :param authority: PEM file of whom to trust; empty for the system's.
    """
    context = ssl.create_default_context()
    if authority:
        _trust(context, authority, required=False)
    return context


def _context(protocol: int) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.check_hostname = False
    return context


def _load(context: ssl.SSLContext, certificate: str, key: str) -> None:
    try:
        context.load_cert_chain(certificate, key, password=_no_password)
    except (OSError, ValueError) as exc:
        raise exceptions.BadSettings(
            f'{certificate} with {key}: no certificate and key: {exc}',
            step='tls',
        ) from exc


def _trust(
    context: ssl.SSLContext, authority: str, required: bool = True
) -> None:
    try:
        context.load_verify_locations(authority)
    except (OSError, ValueError) as exc:
        raise exceptions.BadSettings(
            f'{authority}: no certificate of an authority: {exc}', step='tls'
        ) from exc
    if required:
        context.verify_mode = ssl.CERT_REQUIRED


def _no_password() -> typing.NoReturn:
    # Without this a locked key makes OpenSSL ask at the terminal.
    raise ValueError('the key is locked by a password')


def _stamp(cfg: settings.Tls) -> Stamp:
    found = []
    for name in settings.TLS_FILES:
        path = getattr(cfg, name)
        if path and os.path.exists(path):
            info = os.stat(path)
            found.append((path, info.st_mtime_ns, info.st_size))
    return tuple(found)
