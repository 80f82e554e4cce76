"""TLS contexts from settings, for callers and between agatepick processes.

Between agatepick processes both sides present a certificate of the same
authority.  Peers dial IP addresses, so the name in a certificate isn't
checked, only its authority, which must sign certificates of agatepick
processes only.
"""

import dataclasses
import os
import ssl
import typing

from agatepick.conf import settings
from agatepick import exceptions

FileStamps = tuple[tuple[str, int, int], ...]
"""Path, modification time in nanoseconds and size of each file."""


@dataclasses.dataclass(slots=True)
class Contexts:
    """The TLS contexts of one process; all are ``None`` when TLS is off.

    A reload updates the contexts in place, so that servers and clients that
    hold them use the new certificate for the next connection.
    """

    cfg: settings.Tls = settings.Tls(enabled=False)
    http: ssl.SSLContext | None = None
    peer_server: ssl.SSLContext | None = None
    peer_client: ssl.SSLContext | None = None
    _file_stamps: FileStamps = ()

    @classmethod
    def from_config(cls, cfg: settings.Tls) -> 'Contexts':
        """Return contexts that use the files named by the settings.

        :raises agatepick.exceptions.BadSettings: if a file is invalid.
        """
        if not cfg.enabled:
            return cls(cfg)
        contexts = cls(
            cfg,
            peer_server=_make_context(ssl.PROTOCOL_TLS_SERVER),
            peer_client=_make_context(ssl.PROTOCOL_TLS_CLIENT),
        )
        if cfg.http_certificate:
            contexts.http = _make_context(ssl.PROTOCOL_TLS_SERVER)
        contexts._load_files()
        return contexts

    def reload(self) -> bool:
        """Read the files again if any has changed.

        If a file is invalid, the old certificate stays in use.  Otherwise new
        connections would fail while a certificate is being renewed and its
        files are partly written.

        :returns: whether new files were read.
        :raises agatepick.exceptions.BadSettings: if a file is invalid.
        """
        if (
            not self.cfg.enabled
            or _read_file_stamps(self.cfg) == self._file_stamps
        ):
            return False
        # The files are first loaded into new contexts, so that an invalid
        # one raises an error before the contexts in use are changed.
        Contexts.from_config(self.cfg)
        self._load_files()
        return True

    def _load_files(self) -> None:
        cfg = self.cfg
        self._file_stamps = _read_file_stamps(cfg)
        for context, certificate, key in (
            (self.http, cfg.http_certificate, cfg.http_key),
            (self.peer_server, cfg.peer_certificate, cfg.peer_key),
            (self.peer_client, cfg.peer_certificate, cfg.peer_key),
        ):
            if context is not None:
                _load_certificate(context, certificate, key)
        for context in (self.peer_server, self.peer_client):
            if context is not None:
                _load_authority(context, cfg.peer_authority)


def make_caller_context(authority: str = '') -> ssl.SSLContext:
    """Return the context of a client of the HTTP API.

    :param authority: PEM file of the trusted authority; empty for the
        system's authorities.
    """
    context = ssl.create_default_context()
    if authority:
        _load_authority(context, authority, required=False)
    return context


def _make_context(protocol: int) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.check_hostname = False
    return context


def _load_certificate(
    context: ssl.SSLContext, certificate: str, key: str
) -> None:
    try:
        context.load_cert_chain(certificate, key, password=_refuse_password)
    except (OSError, ValueError) as exc:
        raise exceptions.BadSettings(
            f'{certificate} with {key}: invalid certificate or key: {exc}',
            step='tls',
        ) from exc


def _load_authority(
    context: ssl.SSLContext, authority: str, required: bool = True
) -> None:
    try:
        context.load_verify_locations(authority)
    except (OSError, ValueError) as exc:
        raise exceptions.BadSettings(
            f'{authority}: invalid authority certificate: {exc}', step='tls'
        ) from exc
    if required:
        context.verify_mode = ssl.CERT_REQUIRED


def _refuse_password() -> typing.NoReturn:
    # Without this callback OpenSSL prompts for the password of a key.
    raise ValueError('the key is encrypted with a password')


def _read_file_stamps(cfg: settings.Tls) -> FileStamps:
    stamps = []
    for name in settings.TLS_FILES:
        path = getattr(cfg, name)
        if path and os.path.exists(path):
            info = os.stat(path)
            stamps.append((path, info.st_mtime_ns, info.st_size))
    return tuple(stamps)
