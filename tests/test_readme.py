"""The example in the README runs unchanged."""

import re
from pathlib import Path
from typing import Any


def test_readme_example_serves_every_job() -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text()
    (code,) = re.findall(r"```python\n(.*?)```", text, re.S)
    namespace: dict[str, Any] = {}
    exec(code, namespace)
    assert [request for request, _ in namespace["served"]] == [f"job-{n}" for n in range(10)]
