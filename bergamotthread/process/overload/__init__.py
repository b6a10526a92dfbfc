"""What waits and what is refused.

Decided from queues, weights of teams and budgets of retries.
"""
