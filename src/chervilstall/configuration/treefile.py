"""Reads a whole settings tree from one INI file, for initial setup, examples and tests.

Each section is a document: its name is the document's path, its options are those of
the document.
"""

from collections.abc import Mapping

from chervilstall.settings.documents import find_document_kind
from chervilstall.settings.ini import parse_ini
from chervilstall.settings.problems import SettingsErrorCollector


def read_tree_file(text: str, source: str) -> dict[str, str]:
    """Return document texts by path.

    Raises InvalidSettings on bad syntax or paths that no document may have.

    >>> read_tree_file("[models/m]\\nlayers = 4\\nversions = v1", "tree.ini")
    {'models/m': '[model]\\nlayers = 4\\nversions = v1\\n'}
    """
    collector = SettingsErrorCollector(source)
    texts = {}
    for path, options in parse_ini(text, collector).items():
        kind = find_document_kind(path)
        if kind is None:
            collector.add(path, "path", path, "no document belongs at this path")
            continue
        texts[path] = document_text(kind.section, options)
    collector.raise_collected()
    return texts


def document_text(section: str, options: Mapping[str, str]) -> str:
    """Return the INI text of a document with one section."""
    lines = [f"[{section}]"]
    lines += [f"{name} = {value}" for name, value in options.items()]
    return "\n".join(lines) + "\n"
