package admin

import (
	"errors"

	"github.com/gravitational/trace"

	"parsleyroute.example/core"
	"parsleyroute.example/core/version/decl"
	"parsleyroute.example/core/version/rules"
)

// OutRule returns the rule that takes one zone or upstream out of service. An
// upstream that is out drains: it finishes its requests in flight and receives no
// new ones.
func OutRule(kind core.Kind, name string) decl.Rule {
	return decl.Rule{Rule: core.Rule{
		Name: "out." + string(kind) + "." + name, Kind: kind, Selector: "name = " + name, Action: core.ActionOut,
	}}
}

func (c *call) outTargetKey() (core.Key, error) {
	key, err := c.objectKey()
	if err == nil && key.Kind != core.KindZone && key.Kind != core.KindUpstream {
		err = trace.BadParameter("kind %q is not zone or upstream", key.Kind)
	}
	if err == nil {
		err = c.ensureNonce()
	}
	return key, err
}

// handleTakeOut creates the out rule. If two operators take the same object out
// at the same time, the second one gets the version that the first one wrote
// instead of a conflict.
func (a *API) handleTakeOut(c *call) (any, error) {
	key, err := c.outTargetKey()
	if err != nil {
		return nil, err
	}
	if !a.isDeclared(key) {
		if _, err := a.Store.Get(c.ctx, key); err != nil {
			return nil, err
		}
	}
	w, o, err := a.put(c, OutRule(key.Kind, key.Name), 0, false)
	if isConflict(err) {
		w, o, err = a.put(c, OutRule(key.Kind, key.Name), 0, false)
	}
	a.logWrite(c, "out", o, err)
	return w, err
}

// handleReinstate deletes the out rule. Its result names another rule that still
// takes the object out, if there is one.
func (a *API) handleReinstate(c *call) (any, error) {
	key, err := c.outTargetKey()
	if err != nil {
		return nil, err
	}
	rule := OutRule(key.Kind, key.Name).Key()
	w := WriteResult{Kind: rule.Kind, Name: rule.Name, Result: ResultUnchanged}
	current, err := a.Store.Get(c.ctx, rule)
	switch {
	case err == nil:
		o, err := a.deleteObject(c, rule, current.Version)
		if err != nil {
			return nil, err
		}
		w.Result, w.Version = ResultDeleted, o.Version
	case !trace.IsNotFound(err):
		return nil, err
	}
	w.RemainingOutRule = a.remainingOutRule(key, rule)
	return w, nil
}

func isConflict(err error) bool {
	var w *writeError
	return errors.As(err, &w) && w.conflict != nil
}

// remainingOutRule returns the name of the rule that still takes the object out
// once deletedRule is gone. It compiles the rules without deletedRule because
// the instance's table may still contain it.
func (a *API) remainingOutRule(key, deletedRule core.Key) string {
	var objects []core.Object
	for _, o := range a.Objects() {
		if o.Key != deletedRule && o.Kind != core.KindTeam {
			objects = append(objects, o)
		}
	}
	t, _ := rules.Compile(objects)
	if z, ok := t.Zones[key.Name]; ok && key.Kind == core.KindZone {
		return z.OutRule
	}
	if u, ok := t.Upstreams[key.Name]; ok && key.Kind == core.KindUpstream {
		return u.OutRule
	}
	return ""
}
