"""Recognition of requests that crash the upstreams running them.

Used for generations on the product's own interface and for relayed requests.
"""
