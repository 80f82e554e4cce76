"""Stand-ins for the platform's table service and workers.

With them agatepick runs on one machine.
"""
