"""Whole numbers in the platform's messages, within a range to reckon with.

JSON has no limit on digits: one number with hundreds of them would break each
calculation that it enters.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

# All whole numbers up to it are exact as floating-point numbers.
NUMBER_MAX = 2**53

Count = Annotated[int, msgspec.Meta(ge=0, le=NUMBER_MAX)]
Number = Annotated[int, msgspec.Meta(ge=-NUMBER_MAX, le=NUMBER_MAX)]
