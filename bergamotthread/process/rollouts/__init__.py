"""Roll-outs: a build is tried, judged by its answers, and kept or not."""
