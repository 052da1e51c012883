"""The platform's names, formats and calls, decoded into the project's own types.

Nothing here decides anything, and no name of the wire is used outside.
"""
