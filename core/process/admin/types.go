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

// ObjectList is the response to a list request for one kind.
type ObjectList struct {
	Objects []Object `json:"objects"`
	// Revision is the store revision at which the list was complete, or the
	// version of the entry's configuration if the source is its snapshot.
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

// WriteResult is the response to an accepted write or its dry run.
type WriteResult struct {
	Kind   core.Kind `json:"kind"`
	Name   string    `json:"name"`
	Result string    `json:"result"`
	DryRun bool      `json:"dry_run,omitempty"`
	// Version is the version of the object after the write, or the current one
	// in a dry run.
	Version uint64 `json:"version"`
	// Fields lists the fields that change.
	Fields []string `json:"fields,omitempty"`
	// Missing lists referenced declarations that do not exist. The effective
	// configuration omits the object until they exist.
	Missing []Ref `json:"missing,omitempty"`
	// RemainingOutRule is the name of a rule that still takes the object out
	// after its own out rule was removed.
	RemainingOutRule string `json:"out_by,omitempty"`
}

// Ref refers to an object and the version that is expected or in force.
type Ref struct {
	Kind    core.Kind `json:"kind"`
	Name    string    `json:"name"`
	Version uint64    `json:"version,omitempty"`
}

// Selection lists the objects that match a selector.
type Selection struct {
	Names []string `json:"names"`
	// Version is the version of the configuration that was searched.
	Version uint64 `json:"version"`
}

// StatusQuery requests the status of instances.
type StatusQuery struct {
	// Refs lists objects with the versions that should be in force.
	Refs []Ref `json:"refs,omitempty"`
	// Instances limits the query to these names; if empty, all are queried.
	Instances []string `json:"instances,omitempty"`
}

// Status is the response to a StatusQuery.
type Status struct {
	Instances []InstanceStatus `json:"instances"`
	// Unreachable lists the instances that did not respond, and Behind those
	// that have an older version of a queried object in force.
	Unreachable []string `json:"unreachable"`
	Behind      []string `json:"behind"`
	// InForce is set if at least one instance responded and none of those that
	// did is behind.
	InForce bool `json:"in_force"`
}

// InstanceStatus is the status of one listed instance.
type InstanceStatus struct {
	Name    string    `json:"name"`
	Role    core.Role `json:"role"`
	Zone    string    `json:"zone"`
	Leaving bool      `json:"leaving,omitempty"`
	// Error states why the status of the instance is unknown.
	Error       string `json:"error,omitempty"`
	Incarnation uint64 `json:"incarnation,omitempty"`
	Digest      uint64 `json:"digest,omitempty"`
	Objects     uint32 `json:"objects,omitempty"`
	Refs        []Ref  `json:"refs,omitempty"`
	Inflight    uint32 `json:"inflight"`
	Limit       uint32 `json:"limit"`
	Draining    bool   `json:"draining,omitempty"`
}

// ErrorResponse is the body of a response to a failed request.
type ErrorResponse struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail states why a request failed and whether it took effect.
type ErrorDetail struct {
	Reason       core.Reason    `json:"reason"`
	Message      string         `json:"message"`
	Run          core.Execution `json:"run"`
	RetryAfterMs int64          `json:"retry_after_ms,omitempty"`
	Conflict     *Conflict      `json:"conflict,omitempty"`
}

// Conflict describes the object whose state does not match the condition of a
// write.
type Conflict struct {
	// Version is 0 if the object does not exist and no tombstone was found.
	Version uint64 `json:"version"`
	Writer  string `json:"writer,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
	// Fields lists the fields in which the object and the declaration differ.
	Fields []string `json:"fields,omitempty"`
}
