"""Admission, queueing and refusal of work.

Based on queue lengths, weights of teams and retry budgets.
"""
