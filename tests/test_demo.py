import asyncio

from standins.demo import run_demo


def test_demo_holds() -> None:
    said: list[str] = []
    asyncio.run(run_demo(said.append))
    whole = [line for line in said if 'none missing or repeated' in line]
    assert len(whole) == 2
