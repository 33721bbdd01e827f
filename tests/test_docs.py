"""Pages that name parts of the program name existing ones."""

import ast
import pathlib
import re

from tidegrade_bench import _pages

from tidegrade.adapters import _http_callers
from tidegrade.adapters import _metrics
from tidegrade.adapters import _openapi
from tidegrade import core

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


def test_the_settings_page_is_as_the_classes_are():
    page = (ROOT / _pages.SETTINGS).read_text()
    assert page == _pages.settings(), 'run make pages'


def test_the_openapi_file_is_as_the_program_is():
    page = (ROOT / _pages.OPENAPI).read_text()
    assert page == _pages.openapi(), 'run make pages'


def test_the_openapi_paths_are_the_routes():
    routes = _http_callers.CallerRoutes(None, None, None).routes()
    served = {route.path for route in routes}
    assert set(_openapi.document()['paths']) == served


def test_every_problem_code_is_on_the_page():
    page = (ROOT / 'docs' / 'API.md').read_text()
    missing = [c.value for c in core.Code if f'`{c.value}`' not in page]
    assert missing == []


def test_every_metric_is_on_the_page():
    page = (ROOT / 'docs' / 'operations' / 'metrics.md').read_text()
    metrics = _metrics.Metrics()
    names = [
        collector.name
        for collector in vars(metrics).values()
        if hasattr(collector, 'name')
    ]
    assert names
    assert [name for name in names if f'`{name}`' not in page] == []
