import pytest

from agatepick.conf import settings
from agatepick.conf import settings_files
from agatepick import exceptions

GOOD = """
[process]
name = "entry-1"
zone = "talca"
[http]
listen = "127.0.0.1:8080"
[peers]
listen = "127.0.0.1:7070"
[store]
url = "http://127.0.0.1:9090"
[tls]
enabled = false
[tokens]
operator = "operator-token-0123"
teams = { talca = "talca-team-token-01" }
"""


def parse_faults(text, kind=settings.EntrySettings):
    with pytest.raises(exceptions.BadSettings) as caught:
        settings_files.parse(text, kind, 'entry.toml')
    return caught.value.message.splitlines()


def test_a_valid_file_becomes_settings_with_defaults():
    cfg = settings_files.parse(GOOD, settings.EntrySettings)
    assert cfg.process.zone == 'talca'
    assert cfg.peers.address == '127.0.0.1:7070'
    assert cfg.timing.fence_seconds == 3.0


def test_all_faults_are_reported_together():
    """An operator makes several mistakes in one file.

    All faults are reported together, each with the allowed values.
    """
    text = (
        GOOD.replace('name = "entry-1"', '')
        .replace('127.0.0.1:8080"', '10.0.0.1:8080"\nidle_secs = 5')
        .replace('"127.0.0.1:7070"', '7070')
        .replace('"operator-token-0123"', '"geheim"')
        + '[timing]\nmargin_seconds = 2.0\nheartbeat_seconds = "1s"\n'
        + '[log]\nlevel = "loud"\n[extra]\n'
    )
    assert sorted(parse_faults(text)) == [
        'entry.toml: extra: found an unknown key; allowed: process, http, '
        'peers, store, tokens, tls, timing, metrics, log, limits',
        'entry.toml: http.idle_secs: found an unknown key (did you mean '
        "'idle_seconds'?); allowed: listen, max_body_bytes, "
        'max_header_bytes, max_tasks, max_open, idle_seconds, '
        'max_hold_seconds, plain_beyond_loopback',
        "entry.toml: http.listen: found '10.0.0.1:8080' without TLS; "
        'allowed: a loopback address, or TLS, or '
        'http.plain_beyond_loopback = true',
        "entry.toml: log.level: found 'loud'; allowed: "
        '"debug", "info", "warning" or "error"',
        'entry.toml: peers.listen: found 7070; allowed: an IP number and a '
        'port, such as "127.0.0.1:7070"',
        'entry.toml: process.name: found nothing; allowed: 1 to 63 letters, '
        'digits, ".", "_" or "-"',
        "entry.toml: timing.heartbeat_seconds: found '1s'; allowed: seconds "
        'as a number, over 0 to 86400',
        'entry.toml: timing.margin_seconds: found 2.0 with fence_seconds = '
        '3.0; allowed: at most a quarter of the fence',
        'entry.toml: tokens.operator: found a secret that is a str; '
        'allowed: text of 16 to 512 characters',
    ]


@pytest.mark.parametrize(
    'old, new, fault',
    [
        ('127.0.0.1:8080', '127.0.0.1:99999', 'http.listen'),
        ('127.0.0.1:8080', '300.0.0.1:80', 'http.listen'),
        ('talca-team-token-01', 'operator-token-0123', 'tokens.teams.talca'),
        ('enabled = false', 'enabled = true', 'tls.http_key'),
        ('enabled = false', 'peer_key = "no.pem"', 'tls.peer_key'),
        ('[tokens]', '[tokens', 'not TOML'),
        ('[tokens]', '[tokens]\nteams = 1\n[x]', 'tokens.teams'),
        ('[tls]\n', 'http = 3\n[tls]\n', 'store.http'),
    ],
)
def test_a_faulty_value_is_named(old, new, fault):
    found_faults = parse_faults(GOOD.replace(old, new))
    assert any(fault in line for line in found_faults), found_faults


def test_an_agent_that_serves_its_timeline_needs_a_token():
    text = (
        '[process]\nname = "a"\nzone = "z"\n[entries]\nseeds = []\n'
        '[upstream]\nlisten = "127.0.0.1:1"\n[tls]\nenabled = false\n'
        '[operators]\nlisten = "10.0.0.1:2"\n'
    )
    found_faults = parse_faults(text, settings.AgentSettings)
    starts = sorted(line.split(': found')[0] for line in found_faults)
    assert starts == [
        'entry.toml: entries.seeds',
        'entry.toml: operators.listen',
        'entry.toml: operators.token',
    ]


def test_a_file_that_cannot_be_read_is_named(tmp_path):
    with pytest.raises(exceptions.BadSettings, match='nowhere.toml'):
        settings_files.load(tmp_path / 'nowhere.toml', settings.EntrySettings)


def test_the_sections_of_a_file_identify_its_program(tmp_path):
    path = tmp_path / 'any.toml'
    path.write_text(GOOD)
    assert isinstance(settings_files.load_any(path), settings.EntrySettings)
    path.write_text('[log]\n')
    with pytest.raises(exceptions.BadSettings, match='no section identifies'):
        settings_files.load_any(path)
