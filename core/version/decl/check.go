package decl

import (
	"fmt"
	"strings"

	"github.com/gravitational/trace"
	"github.com/samber/lo"
	"k8s.io/apimachinery/pkg/labels"

	"parsleyroute.example/core"
)

// httpMethods lists the methods that a route may name.
var httpMethods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

// actionKinds lists the kinds to which each action applies.
var actionKinds = map[core.Action][]core.Kind{
	core.ActionOut:      {core.KindZone, core.KindUpstream},
	core.ActionAdmit:    {core.KindZone, core.KindUpstream},
	core.ActionRoute:    {core.KindService, core.KindTeam},
	core.ActionLimit:    {core.KindUpstream, core.KindTeam},
	core.ActionPriority: {core.KindTeam},
}

// checker records the first error of one declaration. An error refers to a key
// of the declaration's table.
type checker struct {
	key     string
	message string
	// version is the value of the key version, zero if it is missing.
	version uint64
}

// fail records an error of key unless one is recorded already.
func (c *checker) fail(key, format string, args ...any) {
	if c.message == "" {
		c.key, c.message = key, fmt.Sprintf(format, args...)
	}
}

// check records an error of key if ok is false.
func (c *checker) check(ok bool, key, format string, args ...any) {
	if !ok {
		c.fail(key, format, args...)
	}
}

func (c *checker) checkName(key, name string) {
	c.check(ValidName(name), key,
		"%q is not a valid name: must have 1 to %d letters, digits, '.', '-' and '_'", name, MaxNameLength)
}

// checkLabelValue checks a name that is also the value of an implied label. The
// length limit of label values is lower than that of names. A zone whose name is
// not a valid label value could not be selected by a rule, and so not be taken
// out of service.
func (c *checker) checkLabelValue(key, name string) {
	c.checkName(key, name)
	_, err := labels.ValidatedSelectorFromSet(labels.Set{"name": name})
	c.check(err == nil, key,
		"%q is not a valid label value: must have at most 63 bytes, and begin and end with a letter or digit", name)
}

// checkSelectableName checks the key name of a declaration that selectors match.
func (c *checker) checkSelectableName(name string) { c.checkLabelValue("name", name) }

// checkLabels checks the declared labels of a declaration of a kind.
func (c *checker) checkLabels(kind core.Kind, l core.Labels) {
	c.check(len(l) <= MaxLabels, "labels", "must have at most %d elements", MaxLabels)
	if _, err := labels.ValidatedSelectorFromSet(labels.Set(l)); err != nil {
		c.fail("labels", "%s", err)
	}
	for _, k := range impliedLabels[kind] {
		_, ok := l[k]
		c.check(!ok, "labels", "%q is implied by the declaration and cannot be declared", k)
	}
}

// checkSelector checks a label selector.
func (c *checker) checkSelector(key, s string) {
	// The empty selector matches everything, so a rule whose selector was
	// forgotten would apply to all objects.
	c.check(strings.TrimSpace(s) != "", key, "must not be empty; \"name\" matches every object")
	c.check(len(s) <= MaxSelectorLength, key, "must have at most %d bytes", MaxSelectorLength)
	if _, err := labels.Parse(s); err != nil {
		c.fail(key, "%q is not a label selector: %s", s, err)
	}
}

// ValidName reports whether name is a valid declaration name: 1 to MaxNameLength
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

// validPath reports whether p begins with "/" and has only printable ASCII bytes
// other than space, '?' and '#'.
func validPath(p string) bool {
	return strings.HasPrefix(p, "/") &&
		strings.IndexFunc(p, func(r rune) bool { return r <= ' ' || r >= 0x7f || r == '?' || r == '#' }) < 0
}

// validKeyHash reports whether s is a SHA-256 hash in lower-case hexadecimal.
func validKeyHash(s string) bool {
	return len(s) == 64 && strings.Trim(s, "0123456789abcdef") == ""
}

// impliedLabels lists the labels that a declaration of each kind has because of
// its fields.
var impliedLabels = map[core.Kind][]string{
	core.KindZone:     {"name", "region"},
	core.KindService:  {"name"},
	core.KindUpstream: {"name", "service", "zone", "group", "rank"},
	core.KindTeam:     {"name"},
	core.KindRule:     {"name"},
}

// LabelSet returns the declared labels of d and those implied by its fields:
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

// Check checks a declaration that was created in memory. It returns the first
// error, a trace.BadParameter.
func Check(d Declaration) error {
	doc, ok := newDocument(d)
	if !ok {
		return trace.BadParameter("%T is not a declaration", d)
	}
	_, _, err := buildDeclarations("", nil, &doc)
	return err
}

// CheckSet checks declarations against each other. It returns the errors for
// duplicate keys, for references to services and zones that are not in ds, and
// for agents, ranks and credentials that are declared twice. The error for a
// missing service or zone is a trace.NotFound, any other a trace.BadParameter.
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
	checkUnique := func(d Declaration, resource string) {
		if o, ok := owners[resource]; ok && o != d.Key() {
			errs = append(errs, trace.BadParameter("%s is declared by %s %q and by %s %q",
				resource, o.Kind, o.Name, d.Key().Kind, d.Key().Name))
			return
		}
		owners[resource] = d.Key()
	}
	for _, d := range ds {
		switch d := d.(type) {
		case Upstream:
			for _, ref := range References(d) {
				if !keys[ref] {
					errs = append(errs, trace.NotFound("upstream %q: %s %q is not declared", d.Name, ref.Kind, ref.Name))
				}
			}
			checkUnique(d, fmt.Sprintf("agent %q", d.Agent))
			if d.Group != "" {
				checkUnique(d, fmt.Sprintf("rank %d of group %q", d.Rank, d.Group))
			}
		case Team:
			lo.ForEach(d.Keys, func(k string, _ int) { checkUnique(d, fmt.Sprintf("key %q", k)) })
		}
	}
	return errs
}

// References returns the keys of the declarations that d refers to.
func References(d Declaration) []core.Key {
	if u, ok := d.(Upstream); ok {
		return []core.Key{{Kind: core.KindService, Name: u.Service}, {Kind: core.KindZone, Name: u.Zone}}
	}
	return nil
}
