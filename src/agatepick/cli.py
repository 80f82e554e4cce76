"""The command line.

Exit statuses:

====== ==============================================================
0      done; for a job: complete
1      failed in a way that nobody foresaw, or a promise was broken
2      wrong usage or faulty settings
3      refused, nothing was done; for a job: not run
4      a job failed
5      the outcome is pending or not known
6      no answer from any entry
7      another change of the configuration won
8      the token is missing or wrong
====== ==============================================================

Errors are one line on standard error.  The entry is named by ``--entry`` or
``AGATEPICK_ENTRY``, the token by ``AGATEPICK_TOKEN``, the authority that
signed the entry's certificate by ``AGATEPICK_AUTHORITY``.
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
    """Run one command line; returns the exit status."""
    try:
        run = _parsed(sys.argv[1:] if argv is None else argv)
        if run is None:
            return 0
        output = run()
    except exceptions.AgatepickError as exc:
        for line in exc.show().splitlines():
            print(f'agatepick: {line}', file=sys.stderr)
        return exc.exit_status
    except KeyboardInterrupt:
        return 130
    # A user can do nothing about a traceback; DEBUG keeps it for us.
    except Exception as exc:
        if os.environ.get('AGATEPICK_DEBUG'):
            raise
        print(
            f'agatepick: unforeseen {type(exc).__name__}: {exc}; set '
            f'AGATEPICK_DEBUG=1 to see where, and please report it',
            file=sys.stderr,
        )
        return 1
    if output.text:
        _print(output.text)
    return output.exit_status


def _parsed(argv: list[str]) -> command_tree.Run | None:
    """What a command line asks for; ``None`` if help was shown."""
    chosen = command_tree.Commands()
    out, err = io.StringIO(), io.StringIO()
    try:
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            fire.Fire(chosen.tree(), command=argv, name='agatepick')
    except fire.core.FireExit as exc:
        if exc.code == 0:
            _print((out.getvalue() + err.getvalue()).strip())
            return None
        raise exceptions.BadUsage(_usage(err.getvalue())) from None
    if chosen.run is None:
        _print(out.getvalue().strip())
    return chosen.run


def _usage(text: str) -> str:
    lines = [line for line in text.splitlines() if line.startswith('ERROR')]
    reason = lines[0].removeprefix('ERROR: ') if lines else 'wrong usage'
    return f'{reason}; see agatepick --help'


def _print(text: str) -> None:
    # A reader such as head may have gone; that is no fault of the user.
    try:
        print(text, flush=True)
    except BrokenPipeError:
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
