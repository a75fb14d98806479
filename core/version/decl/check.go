package decl

import (
	"fmt"
	"strings"

	"github.com/gravitational/trace"
	"github.com/samber/lo"
	"k8s.io/apimachinery/pkg/labels"

	"parsleyroute.example/core"
)

var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

// targets lists the kinds to which each action applies.
var targets = map[core.Action][]core.Kind{
	core.ActionOut:      {core.KindZone, core.KindUpstream},
	core.ActionAdmit:    {core.KindZone, core.KindUpstream},
	core.ActionRoute:    {core.KindService, core.KindTeam},
	core.ActionLimit:    {core.KindUpstream, core.KindTeam},
	core.ActionPriority: {core.KindTeam},
}

// checker collects the first fault of one declaration. Each fault belongs to a
// key of the declaration's table.
type checker struct {
	key     string
	message string
	version uint64
}

func (c *checker) fail(key, format string, args ...any) {
	if c.message == "" {
		c.key, c.message = key, fmt.Sprintf(format, args...)
	}
}

func (c *checker) check(ok bool, key, format string, args ...any) {
	if !ok {
		c.fail(key, format, args...)
	}
}

func (c *checker) name(key, name string) {
	c.check(ValidName(name), key,
		"%q is not a name of 1 to %d letters, digits, '.', '-' and '_'", name, MaxNameLength)
}

// value checks a name that is also the value of an implied label. Label values
// are shorter than names; a zone that no selector can name could not be taken
// out.
func (c *checker) value(key, name string) {
	c.name(key, name)
	_, err := labels.ValidatedSelectorFromSet(labels.Set{"name": name})
	c.check(err == nil, key,
		"%q is not a label value: at most 63 bytes that begin and end with a letter or digit", name)
}

func (c *checker) selectable(name string) { c.value("name", name) }

func (c *checker) labels(kind core.Kind, l core.Labels) {
	c.check(len(l) <= MaxLabels, "labels", "must have at most %d elements", MaxLabels)
	if _, err := labels.ValidatedSelectorFromSet(labels.Set(l)); err != nil {
		c.fail("labels", "%s", err)
	}
	for _, k := range implied[kind] {
		_, ok := l[k]
		c.check(!ok, "labels", "%q is implied by the declaration and cannot be declared", k)
	}
}

func (c *checker) selector(key, s string) {
	// The empty selector matches everything, and so would a rule whose
	// selector was forgotten.
	c.check(strings.TrimSpace(s) != "", key, "must not be empty; \"name\" matches every object")
	c.check(len(s) <= MaxSelectorLength, key, "must have at most %d bytes", MaxSelectorLength)
	if _, err := labels.Parse(s); err != nil {
		c.fail(key, "%q is not a label selector: %s", s, err)
	}
}

// ValidName reports whether name is the name of a declaration: 1 to MaxName
// letters, digits, '.', '-' and '_'.
func ValidName(name string) bool {
	if name == "" || len(name) > MaxNameLength {
		return false
	}
	for _, b := range []byte(name) {
		letter := 'a' <= b|0x20 && b|0x20 <= 'z'
		if !letter && (b < '0' || b > '9') && b != '.' && b != '-' && b != '_' {
			return false
		}
	}
	return true
}

func validPath(p string) bool {
	return strings.HasPrefix(p, "/") &&
		strings.IndexFunc(p, func(r rune) bool { return r <= ' ' || r >= 0x7f || r == '?' || r == '#' }) < 0
}

func validHash(s string) bool {
	return len(s) == 64 && strings.Trim(s, "0123456789abcdef") == ""
}

// implied lists the labels that follow from the fields of a declaration.
var implied = map[core.Kind][]string{
	core.KindZone:     {"name", "region"},
	core.KindService:  {"name"},
	core.KindUpstream: {"name", "service", "zone", "group", "rank"},
	core.KindTeam:     {"name"},
	core.KindRule:     {"name"},
}

// LabelSet returns the declared labels of d and those that its fields imply:
// name, a zone's region, and an upstream's service, zone, group and rank.
func LabelSet(d Declaration) labels.Set {
	set := labels.Set{}
	add := func(l core.Labels, pairs ...string) labels.Set {
		for k, v := range l {
			set[k] = v
		}
		for i := 0; i < len(pairs); i += 2 {
			if pairs[i+1] != "" {
				set[pairs[i]] = pairs[i+1]
			}
		}
		return set
	}
	switch d := d.(type) {
	case Zone:
		return add(d.Labels, "name", d.Name, "region", d.Region)
	case Service:
		return add(d.Labels, "name", d.Name)
	case Upstream:
		rank := ""
		if d.Group != "" {
			rank = fmt.Sprint(d.Rank)
		}
		return add(d.Labels, "name", d.Name, "service", d.Service, "zone", d.Zone, "group", d.Group, "rank", rank)
	case Team:
		return add(d.Labels, "name", d.Name)
	case Rule:
		return add(d.Labels, "name", d.Name)
	}
	return set
}

// Check reports the first fault of a declaration that was made in memory as a
// trace.BadParameter.
func Check(d Declaration) error {
	doc, ok := render(d)
	if !ok {
		return trace.BadParameter("%T is not a declaration", d)
	}
	_, _, err := build("", nil, &doc)
	return err
}

// CheckSet reports the faults that show only when declarations are seen
// together: duplicate keys, references to services and zones that are not among
// them, and agents, ranks and credentials that are declared twice. A missing
// reference is a trace.NotFound and any other fault a trace.BadParameter.
func CheckSet(ds []Declaration) []error {
	var errs []error
	keys := map[core.Key]bool{}
	for _, d := range ds {
		if keys[d.Key()] {
			errs = append(errs, trace.BadParameter("%s %q is declared twice", d.Key().Kind, d.Key().Name))
		}
		keys[d.Key()] = true
	}
	owners := map[string]core.Key{}
	own := func(d Declaration, what string) {
		if o, ok := owners[what]; ok && o != d.Key() {
			errs = append(errs, trace.BadParameter("%s is declared by %s %q and by %s %q",
				what, o.Kind, o.Name, d.Key().Kind, d.Key().Name))
			return
		}
		owners[what] = d.Key()
	}
	for _, d := range ds {
		switch d := d.(type) {
		case Upstream:
			for _, ref := range References(d) {
				if !keys[ref] {
					errs = append(errs, trace.NotFound("upstream %q: %s %q is not declared", d.Name, ref.Kind, ref.Name))
				}
			}
			own(d, fmt.Sprintf("agent %q", d.Agent))
			if d.Group != "" {
				own(d, fmt.Sprintf("rank %d of group %q", d.Rank, d.Group))
			}
		case Team:
			lo.ForEach(d.Keys, func(k string, _ int) { own(d, fmt.Sprintf("key %q", k)) })
		}
	}
	return errs
}

// References returns the keys of the declarations that d needs.
func References(d Declaration) []core.Key {
	if u, ok := d.(Upstream); ok {
		return []core.Key{{Kind: core.KindService, Name: u.Service}, {Kind: core.KindZone, Name: u.Zone}}
	}
	return nil
}
