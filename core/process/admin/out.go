package admin

import (
	"errors"

	"github.com/gravitational/trace"

	"parsleyroute.example/core"
	"parsleyroute.example/core/version/decl"
	"parsleyroute.example/core/version/rules"
)

// OutRule returns the rule that takes one zone or upstream out. An upstream
// that is out drains: it finishes its work in flight and gets no more.
func OutRule(kind core.Kind, name string) decl.Rule {
	return decl.Rule{Rule: core.Rule{
		Name: "out." + string(kind) + "." + name, Kind: kind, Selector: "name = " + name, Action: core.ActionOut,
	}}
}

func (c *call) outTarget() (core.Key, error) {
	key, err := c.target()
	if err == nil && key.Kind != core.KindZone && key.Kind != core.KindUpstream {
		err = trace.BadParameter("kind %q is not zone or upstream", key.Kind)
	}
	if err == nil {
		err = c.fillNonce()
	}
	return key, err
}

// takeOut creates the out rule. Two operators who take the same object out want
// the same, so the second one gets the first one's version.
func (a *API) takeOut(c *call) (any, error) {
	key, err := c.outTarget()
	if err != nil {
		return nil, err
	}
	if !a.declared(key) {
		if _, err := a.Store.Get(c.ctx, key); err != nil {
			return nil, err
		}
	}
	w, o, err := a.put(c, OutRule(key.Kind, key.Name), 0, false)
	if isConflict(err) {
		w, o, err = a.put(c, OutRule(key.Kind, key.Name), 0, false)
	}
	a.log(c, "out", o, err)
	return w, err
}

// takeIn deletes the out rule, and names another rule that keeps the object
// out.
func (a *API) takeIn(c *call) (any, error) {
	key, err := c.outTarget()
	if err != nil {
		return nil, err
	}
	rule := OutRule(key.Kind, key.Name).Key()
	w := Written{Kind: rule.Kind, Name: rule.Name, Result: ResultUnchanged}
	current, err := a.Store.Get(c.ctx, rule)
	switch {
	case err == nil:
		o, err := a.erase(c, rule, current.Version)
		if err != nil {
			return nil, err
		}
		w.Result, w.Version = ResultDeleted, o.Version
	case !trace.IsNotFound(err):
		return nil, err
	}
	w.OutBy = a.outBy(key, rule)
	return w, nil
}

func isConflict(err error) bool {
	var w *writeError
	return errors.As(err, &w) && w.conflict != nil
}

// outBy returns the rule that keeps the object out if without is deleted. The
// instance's table may still hold the deleted rule.
func (a *API) outBy(key, without core.Key) string {
	var objects []core.Object
	for _, o := range a.Objects() {
		if o.Key != without && o.Kind != core.KindTeam {
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
