"""Pages that name parts of the program name existing ones."""

import ast
import pathlib
import re

ROOT = pathlib.Path(__file__).parents[1]
NODE = re.compile(r'`(tests/[\w/]+\.py)::(\w+)`')
LINK = re.compile(r'\]\(([\w./-]+)\)')
ASSERTED = re.compile(r'`([A-Z]\w+)\.(\w+)`')


def test_every_proof_exists():
    page = (ROOT / 'docs' / 'PROOFS.md').read_text()
    nodes = NODE.findall(page)
    assert nodes
    missing = []
    for file, name in nodes:
        tree = ast.parse((ROOT / file).read_text())
        functions = {
            node.name
            for node in ast.walk(tree)
            if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef)
        }
        if name not in functions:
            missing.append(f'{file}::{name}')
    assert missing == []


def test_every_assertion_named_exists():
    page = (ROOT / 'docs' / 'PROOFS.md').read_text()
    source = '\n'.join(
        path.read_text() for path in (ROOT / 'src').rglob('*.py')
    )
    missing = [
        f'{holder}.{method}'
        for holder, method in ASSERTED.findall(page)
        if f'class {holder}' not in source or f'def {method}(' not in source
    ]
    assert missing == []


def test_links_between_pages_lead_somewhere():
    missing = []
    pages = [*ROOT.glob('*.md'), *(ROOT / 'docs').rglob('*.md')]
    for page in pages:
        for link in LINK.findall(page.read_text()):
            if not (page.parent / link).exists():
                missing.append(f'{page.name}: {link}')
    assert missing == []
