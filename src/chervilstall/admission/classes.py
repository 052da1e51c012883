"""Priorities and default deadlines of request classes."""

from chervilstall.settings.documents import RequestClass
from chervilstall.settings.processes import AdmissionSettings
from chervilstall.target.contract import Priority

CLASSES_BY_URGENCY = (RequestClass.URGENT, RequestClass.STANDARD, RequestClass.DRAFT)


def priority_of(request_class: RequestClass) -> Priority:
    """Return the priority of a class at engines."""
    match request_class:
        case RequestClass.URGENT:
            return Priority.URGENT
        case RequestClass.STANDARD:
            return Priority.STANDARD
        case RequestClass.DRAFT:
            return Priority.DRAFT


def default_deadline_s(
    request_class: RequestClass, settings: AdmissionSettings
) -> float:
    """Return the default deadline of a class, in seconds from the request's arrival."""
    match request_class:
        case RequestClass.URGENT:
            return settings.urgent_deadline_s
        case RequestClass.STANDARD:
            return settings.standard_deadline_s
        case RequestClass.DRAFT:
            return settings.draft_deadline_s
