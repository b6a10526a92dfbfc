"""Why something was refused or changed.

Told from recorded refusals, traces of decisions and the audit trail.
"""
