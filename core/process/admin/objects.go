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

func (a *API) handleList(c *call) (any, error) {
	if err := c.checkKind(); err != nil {
		return nil, err
	}
	l := ObjectList{Objects: []Object{}, Source: "snapshot"}
	var objects []core.Object
	switch source := c.query("source"); source {
	case "", "snapshot":
		objects, l.Revision = a.Objects(), a.configVersion()
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
			l.Objects = append(l.Objects, toObject(o))
		}
	}
	slices.SortFunc(l.Objects, func(x, y Object) int { return strings.Compare(x.Name, y.Name) })
	return l, nil
}

func toObject(o core.Object) Object {
	return Object{Kind: o.Kind, Name: o.Name, Version: o.Version, Writer: o.Writer, Value: string(o.Value)}
}

func (a *API) handleGet(c *call) (any, error) {
	key, err := c.objectKey()
	if err != nil {
		return nil, err
	}
	o, err := a.Store.Get(c.ctx, key)
	if err != nil {
		return nil, err
	}
	return toObject(o), nil
}

func (a *API) handlePut(c *call) (any, error) {
	key, err := c.objectKey()
	if err != nil {
		return nil, err
	}
	d, err := decl.Unmarshal(key, c.body())
	if err != nil {
		return nil, err
	}
	version, dryRun, err := c.writeCondition()
	if err != nil {
		return nil, err
	}
	missing, err := a.missingReferences(c, d)
	if err != nil {
		return nil, err
	}
	w, o, err := a.put(c, d, version, dryRun)
	if !dryRun {
		a.logWrite(c, "apply", o, err)
	}
	if err != nil {
		return nil, err
	}
	w.Missing = missing
	return w, nil
}

// put writes the declaration if the object's current version is version.
func (a *API) put(c *call, d decl.Declaration, version uint64, dryRun bool) (WriteResult, core.Object, error) {
	o := core.Object{Key: d.Key(), Version: version, Writer: c.operator, Nonce: c.nonce}
	w := WriteResult{Kind: o.Kind, Name: o.Name, DryRun: dryRun, Result: ResultUpdated}
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
		return w, o, newConflictError(current, d, core.NotExecuted)
	}
	var old decl.Declaration
	if version != 0 {
		if old, err = decl.Unmarshal(o.Key, current.Value); err != nil {
			old = nil
		}
	}
	w.Fields = decl.Diff(old, d)
	if dryRun {
		return w, current, nil
	}
	storeWrite := a.Store.Update
	if version == 0 {
		storeWrite = a.Store.Create
	}
	written, err := a.write(c.ctx, o, d, storeWrite)
	w.Version = written.Version
	return w, written, err
}

func (a *API) handleDelete(c *call) (any, error) {
	key, err := c.objectKey()
	if err != nil {
		return nil, err
	}
	version, dryRun, err := c.writeCondition()
	if err != nil {
		return nil, err
	}
	if version == 0 {
		return nil, trace.BadParameter("version=0: a deletion requires the version of the object")
	}
	if dependents := a.dependentUpstreams(key); len(dependents) > 0 {
		return nil, trace.BadParameter("%s %q is used by %d upstreams, among them %q; delete these first",
			key.Kind, key.Name, len(dependents), dependents[0])
	}
	w := WriteResult{Kind: key.Kind, Name: key.Name, Result: ResultDeleted, DryRun: dryRun, Version: version}
	if dryRun {
		current, err := a.Store.Get(c.ctx, key)
		if err != nil {
			return nil, err
		}
		if current.Version != version {
			return nil, newConflictError(current, nil, core.NotExecuted)
		}
		return w, nil
	}
	o, err := a.deleteObject(c, key, version)
	w.Version = o.Version
	return w, err
}

func (a *API) deleteObject(c *call, key core.Key, version uint64) (core.Object, error) {
	o := core.Object{Key: key, Version: version, Writer: c.operator, Nonce: c.nonce}
	o, err := a.write(c.ctx, o, nil, a.Store.Delete)
	a.logWrite(c, "delete", o, err)
	return o, err
}

// writeCondition parses the version on which a write is conditional and whether
// it is a dry run, and generates a nonce if the request has none.
func (c *call) writeCondition() (version uint64, dryRun bool, err error) {
	if err := c.ensureNonce(); err != nil {
		return 0, false, err
	}
	if version, err = strconv.ParseUint(c.query("version"), 10, 64); err != nil {
		return 0, false, trace.BadParameter("version=%q is not a number: use the version of the object to replace, or 0 to create it",
			c.query("version"))
	}
	dryRun, err = c.boolQuery("dry_run")
	return version, dryRun, err
}

func (c *call) ensureNonce() error {
	if c.nonce == "" {
		c.nonce = ulid.Make().String()
	}
	if !decl.ValidName(c.nonce) {
		return trace.BadParameter("X-Nonce must have 1 to %d letters, digits, '.', '-' and '_'", decl.MaxNameLength)
	}
	return nil
}

// missingReferences returns the declarations that d refers to and that do not
// exist. It reads only those from the store that this instance does not hold.
func (a *API) missingReferences(c *call, d decl.Declaration) ([]Ref, error) {
	var refs []Ref
	for _, key := range decl.References(d) {
		if a.isDeclared(key) {
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

func (a *API) isDeclared(key core.Key) bool {
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

// dependentUpstreams returns the names of the upstreams that refer to the object.
func (a *API) dependentUpstreams(key core.Key) []string {
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

func (a *API) handleSelect(c *call) (any, error) {
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
	return Selection{Names: append([]string{}, names...), Version: t.Version}, nil
}

func (a *API) handleExplain(c *call) (any, error) {
	if a.Explain != nil {
		if v, ok := a.Explain(c.explainedID); ok {
			return v, nil
		}
	}
	return nil, core.NewRefusal(core.ReasonNotFound, "this entry has no record of that request")
}
