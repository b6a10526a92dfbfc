"""Serving system for long generations on engines that may fail."""
