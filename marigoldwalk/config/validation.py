"""Validation of parsed texts by pydantic models, with the line of each problem."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, TypeVar

from pydantic import BaseModel, ConfigDict, StringConstraints, ValidationError

from .problems import Problem, Rejected

if TYPE_CHECKING:
    from .problems import FieldPath
    from .yaml_text import ParsedText

MAX_PROBLEMS = 50
"""Maximum number of problems that a rejection lists; a text can have many more."""

Name = Annotated[str, StringConstraints(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
"""A name or label value: up to 63 letters, digits, dots, underscores and hyphens."""

M = TypeVar("M", bound=BaseModel)


class StrictModel(BaseModel):
    """Base class of models of input: refuses unknown fields and does not convert types."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


def validate(model: type[M], parsed: ParsedText) -> M | Rejected:
    """Return *parsed* as an instance of *model*, or the problems found."""
    try:
        return model.model_validate(parsed.value)
    except ValidationError as exc:
        errors = exc.errors(include_url=False, include_context=False, include_input=False)
    found = [(tuple(error["loc"]), error["msg"]) for error in errors[:MAX_PROBLEMS]]
    return reject(parsed, found, len(errors))


def reject(parsed: ParsedText, found: list[tuple[FieldPath, str]], total: int = 0) -> Rejected:
    """Return a rejection with the problems *found*, sorted by line.

    *total* is the number of all problems if *found* is truncated.
    """
    problems = [parsed.problem(path, _sentence(message)) for path, message in found[:MAX_PROBLEMS]]
    problems.sort(key=lambda problem: problem.line)
    hidden = max(total, len(found)) - len(problems)
    if hidden > 0:
        problems.append(Problem("document", 0, f"{hidden} more problems are not listed."))
    return Rejected(tuple(problems))


def _sentence(message: str) -> str:
    message = message.removeprefix("Value error, ")
    return message if message.endswith(".") else f"{message}."
