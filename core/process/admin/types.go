package admin

import "parsleyroute.example/core"

// Object is one declaration in the store.
type Object struct {
	Kind    core.Kind `json:"kind"`
	Name    string    `json:"name"`
	Version uint64    `json:"version"`
	Writer  string    `json:"writer,omitempty"`
	// Value is the declaration in TOML.
	Value string `json:"value"`
}

// List answers a list of one kind.
type List struct {
	Objects []Object `json:"objects"`
	// Revision is the store's at which the list was complete, or the version
	// of the entry's configuration when the source is its snapshot.
	Revision uint64 `json:"revision"`
	// Source is "store" or "snapshot".
	Source string `json:"source"`
}

// Results of a write.
const (
	ResultCreated   = "created"
	ResultUpdated   = "updated"
	ResultUnchanged = "unchanged"
	ResultDeleted   = "deleted"
)

// Written answers an accepted write or its dry run.
type Written struct {
	Kind   core.Kind `json:"kind"`
	Name   string    `json:"name"`
	Result string    `json:"result"`
	DryRun bool      `json:"dry_run,omitempty"`
	// Version is that of the object after the write; in a dry run, before it.
	Version uint64 `json:"version"`
	// Fields names the fields that change.
	Fields []string `json:"fields,omitempty"`
	// Missing lists referenced declarations that do not exist. The object is
	// left out of the effective configuration until they do.
	Missing []Ref `json:"missing,omitempty"`
	// OutBy names a rule that keeps the object out after its own out rule
	// was removed.
	OutBy string `json:"out_by,omitempty"`
}

// Ref names an object, and the version that is expected or in force.
type Ref struct {
	Kind    core.Kind `json:"kind"`
	Name    string    `json:"name"`
	Version uint64    `json:"version,omitempty"`
}

// Selected answers a selection.
type Selected struct {
	Names []string `json:"names"`
	// Version is that of the configuration in which the names were selected.
	Version uint64 `json:"version"`
}

// StatusQuery asks for the status of instances.
type StatusQuery struct {
	// Refs lists objects with the versions that should be in force.
	Refs []Ref `json:"refs,omitempty"`
	// Instances limits the query to these names; none means all.
	Instances []string `json:"instances,omitempty"`
}

// Status answers a status query.
type Status struct {
	Instances []InstanceStatus `json:"instances"`
	// Unreachable and Behind name the instances that did not answer, and
	// those that have an older version of a queried object in force.
	Unreachable []string `json:"unreachable"`
	Behind      []string `json:"behind"`
	// InForce is set if no instance that answered is behind, and at least
	// one answered.
	InForce bool `json:"in_force"`
}

// InstanceStatus is the status of one listed instance.
type InstanceStatus struct {
	Name    string    `json:"name"`
	Role    core.Role `json:"role"`
	Zone    string    `json:"zone"`
	Leaving bool      `json:"leaving,omitempty"`
	// Error tells why the instance could not be asked.
	Error       string `json:"error,omitempty"`
	Incarnation uint64 `json:"incarnation,omitempty"`
	Digest      uint64 `json:"digest,omitempty"`
	Objects     uint32 `json:"objects,omitempty"`
	Refs        []Ref  `json:"refs,omitempty"`
	Inflight    uint32 `json:"inflight"`
	Limit       uint32 `json:"limit"`
	Draining    bool   `json:"draining,omitempty"`
}

// Failure is the body of every refusal.
type Failure struct {
	Error FailureDetail `json:"error"`
}

// FailureDetail tells why a call was refused and whether it took effect.
type FailureDetail struct {
	Reason       core.Reason    `json:"reason"`
	Message      string         `json:"message"`
	Run          core.Execution `json:"run"`
	RetryAfterMs int64          `json:"retry_after_ms,omitempty"`
	Conflict     *Conflict      `json:"conflict,omitempty"`
}

// Conflict is the state of the object that a conditional write met.
type Conflict struct {
	// Version is 0 if the object does not exist and its deletion is not known.
	Version uint64 `json:"version"`
	Writer  string `json:"writer,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
	// Fields names the fields in which the object and the declaration differ.
	Fields []string `json:"fields,omitempty"`
}
