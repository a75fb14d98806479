package objapi

import (
	"net/netip"
	"time"

	"parsleyroute.example/core"
)

// Paths of the platform's API.
const (
	PathObject    = "/v1/object"
	PathObjects   = "/v1/objects"
	PathWatch     = "/v1/watch"
	PathInstances = "/v1/instances"
	PathWeights   = "/v1/weights/fetch"
)

// PageSize is the number of objects on one page of a list.
const PageSize = 500

// Object is a core.Object in JSON.
type Object struct {
	Kind      core.Kind  `json:"kind"`
	Name      string     `json:"name"`
	Version   uint64     `json:"version,omitempty"`
	Writer    string     `json:"writer,omitempty"`
	Nonce     string     `json:"nonce,omitempty"`
	Value     []byte     `json:"value,omitempty"`
	Deleted   bool       `json:"deleted,omitempty"`
	DeletedAt *time.Time `json:"deleted_at,omitempty"`
}

// FromCore converts a core.Object to its JSON form.
func FromCore(o core.Object) Object {
	obj := Object{Kind: o.Kind, Name: o.Name, Version: o.Version, Writer: o.Writer, Nonce: o.Nonce, Value: o.Value, Deleted: o.Deleted}
	if !o.DeletedAt.IsZero() {
		obj.DeletedAt = &o.DeletedAt
	}
	return obj
}

// ToCore converts an object from its JSON form.
func (o Object) ToCore() core.Object {
	obj := core.Object{Key: core.Key{Kind: o.Kind, Name: o.Name}, Version: o.Version, Writer: o.Writer, Nonce: o.Nonce, Value: o.Value, Deleted: o.Deleted}
	if o.DeletedAt != nil {
		obj.DeletedAt = *o.DeletedAt
	}
	return obj
}

// ObjectPage is the response to a list or watch request. More is set if a list has
// further pages.
type ObjectPage struct {
	Revision uint64   `json:"revision"`
	More     bool     `json:"more,omitempty"`
	Objects  []Object `json:"objects"`
}

// Instance is a core.Instance in JSON.
type Instance struct {
	Name     string         `json:"name"`
	Role     core.Role      `json:"role"`
	Zone     string         `json:"zone"`
	PeerAddr netip.AddrPort `json:"peer"`
	Leaving  bool           `json:"leaving,omitempty"`
}

// InstanceList is the response to a request for the list of instances. If the
// client already has the current revision, Unchanged is set and the list omitted.
type InstanceList struct {
	Revision  uint64     `json:"revision"`
	Unchanged bool       `json:"unchanged,omitempty"`
	Instances []Instance `json:"instances"`
}

// FetchRequest requests that the weights of one expert be copied to a rank.
type FetchRequest struct {
	Group  string `json:"group"`
	Rank   int    `json:"rank"`
	Layer  uint32 `json:"layer"`
	Expert uint32 `json:"expert"`
}
