"""Identifier types that all packages share.

Identifiers are plain strings and integers at run time. The distinct types let the type
checker reject, for example, a target ID where a workspace name is expected.
"""

import os
from typing import NewType

WorkspaceName = NewType("WorkspaceName", str)
PipelineName = NewType("PipelineName", str)
ServiceName = NewType("ServiceName", str)
ModelName = NewType("ModelName", str)
ZoneName = NewType("ZoneName", str)
TargetId = NewType("TargetId", str)
VmId = NewType("VmId", str)
InstanceId = NewType("InstanceId", str)
RequestId = NewType("RequestId", str)
ChangeId = NewType("ChangeId", str)
SlotName = NewType("SlotName", str)
LimitName = NewType("LimitName", str)
PartId = NewType("PartId", str)
CrashId = NewType("CrashId", str)
AttemptNumber = NewType("AttemptNumber", int)
Position = NewType("Position", int)
Revision = NewType("Revision", int)
Epoch = NewType("Epoch", int)


def new_request_id() -> RequestId:
    """Return a random request ID, unique across processes."""
    return RequestId(os.urandom(16).hex())


def new_change_id() -> ChangeId:
    """Return a random ID for one proposed change to the settings tree."""
    return ChangeId(os.urandom(16).hex())


def new_instance_id() -> InstanceId:
    """Return a random ID for one run of a process.

    A restarted VM keeps its address but gets a new instance ID, so that state
    recorded about the earlier run is not applied to the new one.
    """
    return InstanceId(os.urandom(8).hex())
