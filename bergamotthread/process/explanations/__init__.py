"""Explanations of refusals and changes.

They come from recorded refusals, decision traces and the audit trail.
"""
