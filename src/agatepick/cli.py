"""Command line interface.

Exit statuses:

====== ==============================================================
0      done; for a job: complete
1      unexpected error, or a violated guarantee in the demo
2      wrong usage or invalid settings
3      rejected, nothing was changed; for a job: not run
4      a job failed
5      the outcome is pending or unknown
6      no answer from any entry
7      conflict with another change of the configuration
8      the token is missing or wrong
====== ==============================================================

An error is one line on standard error.  ``--entry`` or ``AGATEPICK_ENTRY`` set
the URL of the entry, ``AGATEPICK_TOKEN`` the token, and
``AGATEPICK_AUTHORITY`` the authority that signed the entry's certificate.
"""

import contextlib
import io
import os
import sys

import fire
import fire.core

from agatepick.cmd import command_tree
from agatepick import exceptions


def main(argv: list[str] | None = None) -> int:
    """Run one command line and return the exit status."""
    try:
        run = _parse(sys.argv[1:] if argv is None else argv)
        if run is None:
            return 0
        output = run()
    except exceptions.AgatepickError as exc:
        for line in exc.show().splitlines():
            print(f'agatepick: {line}', file=sys.stderr)
        return exc.exit_status
    except KeyboardInterrupt:
        return 130
    # Users get one line; AGATEPICK_DEBUG shows the traceback.
    except Exception as exc:
        if os.environ.get('AGATEPICK_DEBUG'):
            raise
        print(
            f'agatepick: unexpected {type(exc).__name__}: {exc}; set '
            f'AGATEPICK_DEBUG=1 to see where, and please report it',
            file=sys.stderr,
        )
        return 1
    if output.text:
        _print(output.text)
    return output.exit_status


def _parse(argv: list[str]) -> command_tree.Run | None:
    """Return the action of a command line; ``None`` if help was shown."""
    commands = command_tree.Commands()
    out, err = io.StringIO(), io.StringIO()
    try:
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            fire.Fire(commands.tree(), command=argv, name='agatepick')
    except fire.core.FireExit as exc:
        if exc.code == 0:
            _print((out.getvalue() + err.getvalue()).strip())
            return None
        raise exceptions.BadUsage(
            _describe_usage_error(err.getvalue())
        ) from None
    if commands.run is None:
        _print(out.getvalue().strip())
    return commands.run


def _describe_usage_error(text: str) -> str:
    lines = [line for line in text.splitlines() if line.startswith('ERROR')]
    reason = lines[0].removeprefix('ERROR: ') if lines else 'wrong usage'
    return f'{reason}; see agatepick --help'


def _print(text: str) -> None:
    # A reader such as head may have closed the pipe, which is no error.
    try:
        print(text, flush=True)
    except BrokenPipeError:
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
