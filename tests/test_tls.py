import asyncio
import dataclasses
import datetime
import ipaddress
import random
import ssl

from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography import x509
from cryptography.x509 import oid
import pytest

from agatepick.agentside import upstream
from agatepick.cmd import client
from agatepick.conf import settings
from agatepick import exceptions
from agatepick.net import clocks
from agatepick.net import tls
from agatepick.runtime import processes
from agatepick.standins import standin_table
from agatepick.standins import standin_upstream
from agatepick import types
from tests import test_intake_server

LOOPBACK = x509.IPAddress(ipaddress.ip_address('127.0.0.1'))
START = datetime.datetime(2020, 1, 1)
END = datetime.datetime(2100, 1, 1)


class Authority:
    """Certificate authority that writes certificates into a directory."""

    def __init__(self, path, name):
        self.path = path
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.name = _name(name)
        self.file = path / f'{name}.pem'
        cert = self._sign(self.name, self.key, True)
        self.file.write_bytes(cert)

    def settings(self, name, **changes):
        """Return the settings of a process with a new certificate."""
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
            .add_extension(x509.SubjectAlternativeName([LOOPBACK]), False)
            .sign(self.key, hashes.SHA256())
        )
        return cert.public_bytes(serialization.Encoding.PEM)


def _name(text):
    return x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, text)])


async def fetch_presented_name(server, client):
    """Return the common name that a server presents to a client."""

    async def serve(reader, writer):
        writer.write(await reader.read(1))
        writer.close()

    listener = await asyncio.start_server(serve, '127.0.0.1', 0, ssl=server)
    port = listener.sockets[0].getsockname()[1]
    try:
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', port, ssl=client
        )
        certificate = writer.get_extra_info('ssl_object').getpeercert()
        writer.write(b'x')
        assert await reader.read(1) == b'x'
        writer.close()
        return certificate['subject'][0][0][1]
    finally:
        listener.close()


@pytest.fixture
def ours(tmp_path):
    (tmp_path / 'ours').mkdir()
    return Authority(tmp_path / 'ours', 'ours')


def test_a_renewed_certificate_is_presented_without_a_restart(ours):
    contexts = tls.Contexts.from_config(ours.settings('first'))
    server, client = contexts.peer_server, contexts.peer_client
    assert asyncio.run(fetch_presented_name(server, client)) == 'first'
    assert not contexts.reload()
    ours.settings('second')
    assert contexts.reload()
    assert asyncio.run(fetch_presented_name(server, client)) == 'second'


def test_a_peer_of_another_authority_is_rejected(ours, tmp_path):
    """A client of a peer port has a certificate of another authority.

    Its connection must fail in the handshake, before any message is read.
    """
    (tmp_path / 'theirs').mkdir()
    theirs = Authority(tmp_path / 'theirs', 'theirs')
    good = tls.Contexts.from_config(ours.settings('good'))
    bad = tls.Contexts.from_config(theirs.settings('bad'))
    bad.peer_client.load_verify_locations(str(ours.file))
    with pytest.raises((ssl.SSLError, ConnectionError, AssertionError)):
        asyncio.run(fetch_presented_name(good.peer_server, bad.peer_client))


def test_a_partly_written_renewal_leaves_the_old_certificate_in_use(ours):
    """The files are reloaded while a new certificate is partly written.

    Peers must be able to connect with the old certificate, and the reload
    must raise an error, which the process logs.
    """
    cfg = ours.settings('first')
    contexts = tls.Contexts.from_config(cfg)
    with open(cfg.peer_certificate, 'r+') as file:
        file.truncate(40)
    with pytest.raises(exceptions.BadSettings, match='peer.pem'):
        contexts.reload()
    presented_name = fetch_presented_name(
        contexts.peer_server, contexts.peer_client
    )
    assert asyncio.run(presented_name) == 'first'


@pytest.fixture
def secured(ours):
    """Return a builder of settings of an entry and an agent with TLS."""
    cfg = ours.settings('agatepick')
    cfg = dataclasses.replace(
        cfg, http_certificate=cfg.peer_certificate, http_key=cfg.peer_key
    )
    any_port = '127.0.0.1:0'

    def build(table):
        entry = settings.EntrySettings(
            process=settings.Process('entry-1', 'z'),
            http=settings.Http(any_port),
            peers=settings.Peers(any_port),
            store=settings.Store(f'http://{table.address}'),
            tokens=settings.Tokens('x' * 16),
            tls=cfg,
        )

        def agent(seed):
            return settings.AgentSettings(
                process=settings.Process('agent-1', 'z'),
                entries=settings.Entries((seed,)),
                upstream=settings.Upstreams(any_port),
                tls=cfg,
            )

        return entry, agent

    return build


def test_a_job_completes_under_tls(ours, secured):
    async def main():
        table = await standin_table.TableServer.start()
        entry_cfg, agent_cfg = secured(table)
        contexts = tls.Contexts.from_config(entry_cfg.tls)
        entry = processes.EntryProcess.from_settings(entry_cfg)
        await entry.start(contexts)
        upstreams = []

        def make_upstream(feed):
            offer = upstream.Announced(
                's', ('k',), 2, types.Needs(1.0, 1), '', 5.0
            )
            worker = standin_upstream.StandIn()
            upstreams.append(
                standin_upstream.LocalUpstream(worker, feed, offer)
            )
            return upstreams[0]

        dependencies = processes.Dependencies(
            clocks.ProcessClock.start(),
            random.Random(1),
            make_upstream=make_upstream,
        )
        agent = processes.AgentProcess.from_settings(
            agent_cfg(entry.member.address), dependencies
        )
        await agent.start(contexts)
        upstreams[0].begin()
        caller = client.Client(
            [f'https://{entry.http_address}'],
            tls=tls.make_caller_context(str(ours.file)),
        )
        try:
            task = client.Task('a', 'k', {'seconds': 0.0})
            return await caller.submit(
                client.Job((task,), team='t', timeout_seconds=60.0)
            )
        finally:
            caller.close()
            agent.kill()
            entry.kill()
            await table.stop()

    assert asyncio.run(main()).complete


def test_limits_of_clients_hold_behind_tls(ours):
    async def scenario(door):
        options = ssl.create_default_context(cafile=str(ours.file))
        reader, writer = await door.connect(ssl=options)
        writer.write(test_intake_server.make_post(1000) + b'x' * 1000)
        answer = await test_intake_server.read_answer(reader)
        assert answer[1]['size'] == 1000
        writer.write(test_intake_server.make_post(99 << 20))
        assert (await test_intake_server.read_answer(reader))[0] == 413

    cfg = ours.settings('entry-1')
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(cfg.peer_certificate, cfg.peer_key)
    test_intake_server.run(scenario, tls=context)
