"""Calls of plain services, run at most once with the help of rows and tickets.

A row in the platform's table records the state of a call, a ticket permits an
agent to send it once.
"""
