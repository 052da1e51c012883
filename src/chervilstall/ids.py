"""Identifier types shared by every package.

Identifiers are plain strings and integers at run time; the distinct types let the
type checker refuse a target where a workspace is expected.
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
AttemptNumber = NewType("AttemptNumber", int)
Position = NewType("Position", int)
Revision = NewType("Revision", int)
Epoch = NewType("Epoch", int)


def new_request_id() -> RequestId:
    """Return a request identity that no other process produces."""
    return RequestId(os.urandom(16).hex())


def new_change_id() -> ChangeId:
    """Return an identity for one proposed change of the settings tree."""
    return ChangeId(os.urandom(16).hex())


def new_instance_id() -> InstanceId:
    """Return an identity for one life of a process.

    A restarted VM keeps its address and gets a new instance identity, so that what
    was known of the earlier life is not applied to the new one.
    """
    return InstanceId(os.urandom(8).hex())
