"""Logging set-up and the form of log lines."""

import logging

FORMAT = "%(asctime)s %(levelname)s %(message)s"


def configure(level: str) -> None:
    """Sends log lines of a level and above to standard error."""
    logging.basicConfig(level=level.upper(), format=FORMAT)
    for noisy in ("websockets", "uvicorn", "asyncio"):
        logging.getLogger(noisy).setLevel(logging.WARNING)


def write(part: str, text: str, fields: dict[str, object]) -> None:
    """Writes a line `part: text name=value ...`.

    A value with a space or quote is quoted, and a line break is escaped, so
    that a value from outside cannot make up a line or a field.
    """
    parts = [f"{part}: {text}"]
    parts += [f"{name}={_quote(value)}" for name, value in fields.items()]
    logging.getLogger(part).info("%s", " ".join(parts))


def _quote(value: object) -> str:
    text = str(value)
    plain = text.isprintable() and not set(text) & set(" \"'=")
    return text if plain and text else repr(text)
