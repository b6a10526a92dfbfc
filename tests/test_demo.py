import asyncio

from standins.demo import run_demo


def test_demo_shows_complete_answers_for_both_users() -> None:
    lines: list[str] = []
    asyncio.run(run_demo(lines.append))
    complete_answers = [
        line for line in lines if 'none missing or repeated' in line
    ]
    assert len(complete_answers) == 2
