"""The page of configuration objects names every kind and field."""

from pathlib import Path

import msgspec
import pytest

from bergamotthread.version import objects
from bergamotthread.version.objects import KINDS

PAGE = Path(__file__).parent.parent / 'docs/CONFIGURATION.md'
STRUCTS = [
    member
    for member in vars(objects).values()
    if isinstance(member, type)
    and issubclass(member, msgspec.Struct)
    and member.__module__ == objects.__name__
]


@pytest.mark.parametrize('kind', STRUCTS, ids=lambda kind: kind.__name__)
def test_page_names_every_field(kind: type[msgspec.Struct]) -> None:
    page = PAGE.read_text()
    missing = [
        name
        for name in kind.__struct_fields__
        if f'`{name}`' not in page
        and f'.{name}`' not in page
        and f'## {name}\n' not in page
        and name != 'resume'
    ]
    assert not missing


def test_page_has_every_kind() -> None:
    page = PAGE.read_text()
    assert [kind for kind in KINDS if f'## {kind}\n' not in page] == []
