"""Translation between the users' platform and the product.

Only the modules here know the platform's words, field names and calls.
"""
