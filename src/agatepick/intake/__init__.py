"""Limits on what a process takes in from its clients."""

from agatepick.intake.clients import Address
from agatepick.intake.clients import Intake
from agatepick.intake.limits import IntakeSettings
from agatepick.intake.limits import ProcessLimits
from agatepick.intake.limits import RequestLimits
from agatepick.intake.refusals import Refusal
from agatepick.intake.refusals import Screen
from agatepick.intake.requests import get_max_age
from agatepick.intake.server import Server

__all__ = [
    'Address',
    'Intake',
    'IntakeSettings',
    'ProcessLimits',
    'Refusal',
    'RequestLimits',
    'Screen',
    'Server',
    'get_max_age',
]
