package admin

import (
	"bytes"
	"slices"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
	"github.com/oklog/ulid/v2"

	"parsleyroute.example/core"
	"parsleyroute.example/core/version/decl"
	"parsleyroute.example/core/version/rules"
)

func (a *API) list(c *call) (any, error) {
	if err := c.checkKind(); err != nil {
		return nil, err
	}
	l := List{Objects: []Object{}, Source: "snapshot"}
	var objects []core.Object
	switch source := c.query("source"); source {
	case "", "snapshot":
		objects, l.Revision = a.Objects(), a.highest()
	case "store":
		var err error
		l.Source = source
		if objects, l.Revision, err = a.Store.List(c.ctx, c.kind); err != nil {
			return nil, err
		}
	default:
		return nil, trace.BadParameter("source=%q is not snapshot or store", source)
	}
	for _, o := range objects {
		if o.Kind == c.kind && !o.Deleted {
			l.Objects = append(l.Objects, show(o))
		}
	}
	slices.SortFunc(l.Objects, func(x, y Object) int { return strings.Compare(x.Name, y.Name) })
	return l, nil
}

func show(o core.Object) Object {
	return Object{Kind: o.Kind, Name: o.Name, Version: o.Version, Writer: o.Writer, Value: string(o.Value)}
}

func (a *API) get(c *call) (any, error) {
	key, err := c.target()
	if err != nil {
		return nil, err
	}
	o, err := a.Store.Get(c.ctx, key)
	if err != nil {
		return nil, err
	}
	return show(o), nil
}

func (a *API) apply(c *call) (any, error) {
	key, err := c.target()
	if err != nil {
		return nil, err
	}
	d, err := decl.Unmarshal(key, c.body())
	if err != nil {
		return nil, err
	}
	version, dry, err := c.condition()
	if err != nil {
		return nil, err
	}
	missing, err := a.missing(c, d)
	if err != nil {
		return nil, err
	}
	w, o, err := a.put(c, d, version, dry)
	if !dry {
		a.log(c, "apply", o, err)
	}
	if err != nil {
		return nil, err
	}
	w.Missing = missing
	return w, nil
}

// put writes the declaration if the object is at the version.
func (a *API) put(c *call, d decl.Declaration, version uint64, dry bool) (Written, core.Object, error) {
	o := core.Object{Key: d.Key(), Version: version, Writer: c.operator, Nonce: c.nonce}
	w := Written{Kind: o.Kind, Name: o.Name, DryRun: dry, Result: ResultUpdated}
	if version == 0 {
		w.Result = ResultCreated
	}
	var err error
	if o.Value, err = decl.Marshal(d); err != nil {
		return w, o, err
	}
	current, err := a.Store.Get(c.ctx, o.Key)
	if err != nil && !trace.IsNotFound(err) {
		return w, o, err
	}
	w.Version = current.Version
	switch {
	case current.Version != 0 && current.Writer == o.Writer && current.Nonce == o.Nonce:
		return w, current, nil
	case current.Version != 0 && bytes.Equal(current.Value, o.Value):
		w.Result = ResultUnchanged
		return w, current, nil
	case current.Version != version:
		current.Key = o.Key
		return w, o, conflictOf(current, d, core.NotExecuted)
	}
	var was decl.Declaration
	if version != 0 {
		if was, err = decl.Unmarshal(o.Key, current.Value); err != nil {
			was = nil
		}
	}
	w.Fields = decl.Diff(was, d)
	if dry {
		return w, current, nil
	}
	do := a.Store.Update
	if version == 0 {
		do = a.Store.Create
	}
	written, err := a.write(c.ctx, o, d, do)
	w.Version = written.Version
	return w, written, err
}

func (a *API) remove(c *call) (any, error) {
	key, err := c.target()
	if err != nil {
		return nil, err
	}
	version, dry, err := c.condition()
	if err != nil {
		return nil, err
	}
	if version == 0 {
		return nil, trace.BadParameter("version=0: the version of the object to delete is needed")
	}
	if users := a.users(key); len(users) > 0 {
		return nil, trace.BadParameter("%s %q is used by %d upstreams, among them %q; delete these first",
			key.Kind, key.Name, len(users), users[0])
	}
	w := Written{Kind: key.Kind, Name: key.Name, Result: ResultDeleted, DryRun: dry, Version: version}
	if dry {
		current, err := a.Store.Get(c.ctx, key)
		if err != nil {
			return nil, err
		}
		if current.Version != version {
			return nil, conflictOf(current, nil, core.NotExecuted)
		}
		return w, nil
	}
	o, err := a.erase(c, key, version)
	w.Version = o.Version
	return w, err
}

func (a *API) erase(c *call, key core.Key, version uint64) (core.Object, error) {
	o := core.Object{Key: key, Version: version, Writer: c.operator, Nonce: c.nonce}
	o, err := a.write(c.ctx, o, nil, a.Store.Delete)
	a.log(c, "delete", o, err)
	return o, err
}

// condition reads the version on which a write depends, and completes the
// nonce.
func (c *call) condition() (version uint64, dry bool, err error) {
	if err := c.fillNonce(); err != nil {
		return 0, false, err
	}
	if version, err = strconv.ParseUint(c.query("version"), 10, 64); err != nil {
		return 0, false, trace.BadParameter("version=%q is not the version of the object to replace, or 0 for none",
			c.query("version"))
	}
	dry, err = c.flag("dry_run")
	return version, dry, err
}

func (c *call) fillNonce() error {
	if c.nonce == "" {
		c.nonce = ulid.Make().String()
	}
	if !decl.ValidName(c.nonce) {
		return trace.BadParameter("X-Nonce must have 1 to %d letters, digits, '.', '-' and '_'", decl.MaxName)
	}
	return nil
}

// missing returns the declarations that d needs and that do not exist. The
// store is asked only about those that this instance does not have.
func (a *API) missing(c *call, d decl.Declaration) ([]Ref, error) {
	var refs []Ref
	for _, key := range decl.References(d) {
		if a.declared(key) {
			continue
		}
		if _, err := a.Store.Get(c.ctx, key); trace.IsNotFound(err) {
			refs = append(refs, Ref{Kind: key.Kind, Name: key.Name})
		} else if err != nil {
			return nil, err
		}
	}
	return refs, nil
}

func (a *API) declared(key core.Key) bool {
	t := a.Table()
	if t == nil {
		return false
	}
	ok := false
	switch key.Kind {
	case core.KindZone:
		_, ok = t.Zones[key.Name]
	case core.KindService:
		_, ok = t.Services[key.Name]
	case core.KindUpstream:
		_, ok = t.Upstreams[key.Name]
	}
	return ok
}

// users returns the upstreams that need the object.
func (a *API) users(key core.Key) []string {
	var names []string
	if t := a.Table(); t != nil {
		for _, u := range t.Upstreams {
			if slices.Contains(decl.References(decl.Upstream{Upstream: u.Upstream}), key) {
				names = append(names, u.Name)
			}
		}
	}
	slices.Sort(names)
	return names
}

func (a *API) selectNames(c *call) (any, error) {
	if err := c.checkKind(); err != nil {
		return nil, err
	}
	t := a.Table()
	if t == nil {
		return nil, core.NewRefusal(core.ReasonNotReady, "this entry has no configuration yet")
	}
	names, err := rules.Match(t, c.kind, c.query("selector"))
	if err != nil {
		return nil, err
	}
	return Selected{Names: append([]string{}, names...), Version: t.Version}, nil
}

func (a *API) explain(c *call) (any, error) {
	if a.Explain != nil {
		if v, ok := a.Explain(c.id); ok {
			return v, nil
		}
	}
	return nil, core.NewRefusal(core.ReasonNotFound, "this entry keeps nothing of that request")
}
