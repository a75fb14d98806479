package objapi

import (
	"net/netip"
	"time"

	"parsleyroute.example/core"
)

// The paths of the platform's API.
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

// FromCore converts an object to JSON.
func FromCore(o core.Object) Object {
	b := Object{Kind: o.Kind, Name: o.Name, Version: o.Version, Writer: o.Writer, Nonce: o.Nonce, Value: o.Value, Deleted: o.Deleted}
	if !o.DeletedAt.IsZero() {
		b.DeletedAt = &o.DeletedAt
	}
	return b
}

// Core converts an object from JSON.
func (o Object) Core() core.Object {
	c := core.Object{Key: core.Key{Kind: o.Kind, Name: o.Name}, Version: o.Version, Writer: o.Writer, Nonce: o.Nonce, Value: o.Value, Deleted: o.Deleted}
	if o.DeletedAt != nil {
		c.DeletedAt = *o.DeletedAt
	}
	return c
}

// Objects answers a list or a watch. More tells that a list has further pages.
type Objects struct {
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

// Instances answers a request for the list of instances. Unchanged is set, and
// the list left out, if the request named the present revision as known.
type Instances struct {
	Revision  uint64     `json:"revision"`
	Unchanged bool       `json:"unchanged,omitempty"`
	Instances []Instance `json:"instances"`
}

// Fetch asks for the weights of one expert.
type Fetch struct {
	Group  string `json:"group"`
	Rank   int    `json:"rank"`
	Layer  uint32 `json:"layer"`
	Expert uint32 `json:"expert"`
}
