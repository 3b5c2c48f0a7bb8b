"""Entry point for ``python -m hyssopweir``."""

from hyssopweir.cli import main

main(prog_name="hyssopweir")
