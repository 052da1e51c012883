"""The platform's protocol, translated to and from the project's own types.

This package only translates and makes no routing decisions. Field names of the wire
format are not used outside of it.
"""
