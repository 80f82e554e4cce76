import asyncio
import importlib.util
import pathlib
import re

import pytest

from agatepick.cmd import client
from agatepick.conf import settings_files
from examples import platform_path

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
FILES = sorted(EXAMPLES.rglob('*.toml'))


@pytest.mark.parametrize(
    'path', FILES, ids=lambda path: str(path.relative_to(EXAMPLES))
)
def test_each_settings_file_is_valid(path, tmp_path):
    """New users start with an example file after adding certificates."""
    text = path.read_text()
    for name in re.findall(r'"(certificates/[^"]+)"', text):
        (tmp_path / name).parent.mkdir(exist_ok=True)
        (tmp_path / name).write_text('')
    copy = tmp_path / path.name
    copy.write_text(text)
    settings_files.load_any(copy)


def test_the_example_job_is_valid():
    job = client.decode((EXAMPLES / 'job.json').read_bytes())
    assert [task.id for task in job.tasks] == ['club-7', 'club-9']
    assert len(FILES) == 8


def test_the_embedding_example_runs_its_tasks():
    path = EXAMPLES / 'embed.py'
    spec = importlib.util.spec_from_file_location('embed', path)
    embed = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(embed)
    assert asyncio.run(embed.main()) == [3, 60]


def test_the_platform_s_path_runs_on_stand_ins(capsys):
    assert platform_path.main() == 0
    lines = capsys.readouterr().out.splitlines()
    assert lines[-1] == 'promises broken: 0'
    assert 'job_admitted' in lines[0]
    assert any(line.startswith('cause: ') for line in lines)
