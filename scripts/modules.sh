# Sets MODULES to the package patterns of all modules of the workspace.
MODULES="./core/... ./entry/... ./agent/... ./parsley/... ./fakes/... ./bench/... ./gate/... ./platform/... ./rank/..."
