import asyncio
import datetime
import ssl

from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography import x509
from cryptography.x509 import oid
import pytest

from agatepick import exceptions
from agatepick import settings
from agatepick import tls

START = datetime.datetime(2020, 1, 1)
END = datetime.datetime(2100, 1, 1)


class Authority:
    """Signs certificates into a directory."""

    def __init__(self, path, name):
        self.path = path
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.name = _name(name)
        self.file = path / f'{name}.pem'
        cert = self._sign(self.name, self.key, True)
        self.file.write_bytes(cert)

    def settings(self, name, **changes):
        """Settings of a process whose certificate is of this authority."""
        key = ec.generate_private_key(ec.SECP256R1())
        cert_file = self.path / 'peer.pem'
        key_file = self.path / 'peer.key'
        cert_file.write_bytes(self._sign(_name(name), key, False))
        key_file.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return settings.Tls(
            peer_certificate=str(cert_file),
            peer_key=str(key_file),
            peer_authority=str(self.file),
        )

    def _sign(self, name, key, is_authority):
        cert = (
            x509.CertificateBuilder()
            .subject_name(name)
            .issuer_name(self.name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(START)
            .not_valid_after(END)
            .add_extension(
                x509.BasicConstraints(ca=is_authority, path_length=None), True
            )
            .sign(self.key, hashes.SHA256())
        )
        return cert.public_bytes(serialization.Encoding.PEM)


def _name(text):
    return x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, text)])


async def name_shown(server, client):
    """Common name that a server with one context shows to a client."""

    async def serve(reader, writer):
        writer.write(await reader.read(1))
        writer.close()

    listener = await asyncio.start_server(serve, '127.0.0.1', 0, ssl=server)
    port = listener.sockets[0].getsockname()[1]
    try:
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', port, ssl=client
        )
        shown = writer.get_extra_info('ssl_object').getpeercert()
        writer.write(b'x')
        assert await reader.read(1) == b'x'
        writer.close()
        return shown['subject'][0][0][1]
    finally:
        listener.close()


@pytest.fixture
def ours(tmp_path):
    (tmp_path / 'ours').mkdir()
    return Authority(tmp_path / 'ours', 'ours')


def test_a_renewed_certificate_is_shown_without_a_restart(ours):
    contexts = tls.Contexts.from_config(ours.settings('first'))
    server, client = contexts.peer_server, contexts.peer_client
    assert asyncio.run(name_shown(server, client)) == 'first'
    assert not contexts.reload()
    ours.settings('second')
    assert contexts.reload()
    assert asyncio.run(name_shown(server, client)) == 'second'


def test_a_peer_of_another_authority_is_turned_away(ours, tmp_path):
    """Someone who can reach a peers' port has a certificate of their own.

    The connection ends in the handshake, before any message is read.
    """
    (tmp_path / 'theirs').mkdir()
    theirs = Authority(tmp_path / 'theirs', 'theirs')
    good = tls.Contexts.from_config(ours.settings('good'))
    bad = tls.Contexts.from_config(theirs.settings('bad'))
    bad.peer_client.load_verify_locations(str(ours.file))
    with pytest.raises((ssl.SSLError, ConnectionError, AssertionError)):
        asyncio.run(name_shown(good.peer_server, bad.peer_client))


def test_a_half_written_renewal_leaves_the_old_certificate_in_use(ours):
    """A renewal is caught when the new file is only partly written.

    Peers go on connecting with the old certificate; an error is logged.
    """
    cfg = ours.settings('first')
    contexts = tls.Contexts.from_config(cfg)
    with open(cfg.peer_certificate, 'r+') as file:
        file.truncate(40)
    with pytest.raises(exceptions.BadSettings, match='peer.pem'):
        contexts.reload()
    shown = name_shown(contexts.peer_server, contexts.peer_client)
    assert asyncio.run(shown) == 'first'
