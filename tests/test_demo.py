from click.testing import CliRunner

from bergamotthread.cli.main import main


def test_demo_holds() -> None:
    outcome = CliRunner().invoke(main, ['demo'])
    assert outcome.exit_code == 0, outcome.output
    assert 'all of it held' in outcome.output
    assert outcome.output.count('none missing or repeated') == 2
