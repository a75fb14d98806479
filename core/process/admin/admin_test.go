package admin_test

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gofiber/fiber/v3"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/admin"
	"parsleyroute.example/core/suite/seed"
	"parsleyroute.example/core/version/rules"
	"parsleyroute.example/core/wire"
)

func TestAdmin(t *testing.T) {
	seed.Specs(t, "admin")
}

// ticker is a clock on which no time passes: sleeps end at once. After the
// given number of sleeps it pretends that the deadline has passed.
type ticker struct{ sleeps int }

func (*ticker) Now() time.Time                         { return time.Time{} }
func (*ticker) After(d time.Duration) <-chan time.Time { return time.After(d) }

func (t *ticker) Sleep(context.Context, time.Duration) error {
	if t.sleeps--; t.sleeps < 0 {
		return context.DeadlineExceeded
	}
	return nil
}

func hash(key string) string { return fmt.Sprintf("%x", sha256.Sum256([]byte(key))) }

// serve returns an API over s and its app.
func serve(s *store) (*admin.API, *fiber.App) {
	a := &admin.API{
		Store: s, Objects: s.all, Clock: &ticker{sleeps: 8},
		Table: func() *core.Table {
			t, _ := rules.Compile(s.all())
			return t
		},
		Keys: map[string]string{"awa": hash("awa-key"), "ousmane": hash("ousmane-key")},
	}
	app := fiber.New()
	a.Register(app)
	return a, app
}

func newStore() *store { return &store{objects: map[core.Key]core.Object{}} }

// do calls the API as an operator and decodes the answer into v.
func do(app *fiber.App, operator, method, path, nonce, body string, v any) int {
	r := httptest.NewRequest(method, "/v1/admin"+path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+operator+"-key")
	r.Header.Set("X-Nonce", nonce)
	resp, err := app.Test(r, fiber.TestConfig{Timeout: 10 * time.Second})
	if err != nil {
		panic(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		panic(err)
	}
	if err := json.Unmarshal(text, v); err != nil {
		panic(fmt.Sprintf("%s: %s", err, text))
	}
	return resp.StatusCode
}

func zoneText(name, region string) string {
	return fmt.Sprintf("[[zone]]\nname = %q\nregion = %q\n", name, region)
}

var _ = Describe("API", func() {
	var (
		s   *store
		a   *admin.API
		app *fiber.App
		w   admin.Written
		f   admin.Failure
	)
	BeforeEach(func() {
		s = newStore()
		a, app = serve(s)
		w, f = admin.Written{}, admin.Failure{}
	})
	put := func(operator, name, region string, version uint64, v any) int {
		return do(app, operator, http.MethodPut, fmt.Sprintf("/objects/zone/%s?version=%d", name, version), "",
			zoneText(name, region), v)
	}

	// Guards against calls that reach the store without an operator's key, and
	// against refusals that nobody can see.
	It("refuses and counts calls without a valid key", func() {
		count := func() string {
			if v := expvar.Get("refusals").(*expvar.Map).Get(string(core.ReasonOperatorUnverified)); v != nil {
				return v.String()
			}
			return "0"
		}
		before := count()
		for _, path := range []string{"/objects/zone", "/objects/zone/a", "/select/zone", "/explain/x", "/none"} {
			Expect(do(app, "mallory", http.MethodGet, path, "", "", &f)).To(Equal(401))
			Expect(f.Error.Reason).To(Equal(core.ReasonOperatorUnverified))
		}
		Expect(count()).NotTo(Equal(before))
		Expect(do(app, "awa", http.MethodGet, "/none", "", "", &f)).To(Equal(404))
	})

	// Guards against blind overwrites and against conflicts that do not say
	// with whom.
	It("writes on condition of the version and names the conflict", func() {
		Expect(put("awa", "a", "r", 0, &w)).To(Equal(200))
		Expect(w).To(Equal(admin.Written{
			Kind: "zone", Name: "a", Result: admin.ResultCreated, Version: 1, Fields: []string{"name", "region"},
		}))
		Expect(put("ousmane", "a", "q", 1, &w)).To(Equal(200))
		Expect(w.Version).To(BeEquivalentTo(2))
		Expect(w.Fields).To(Equal([]string{"region"}))
		Expect(put("awa", "a", "p", 1, &f)).To(Equal(409))
		Expect(f.Error.Run).To(Equal(core.NotExecuted))
		Expect(f.Error.Conflict).To(Equal(&admin.Conflict{Version: 2, Writer: "ousmane", Fields: []string{"region"}}))
		Expect(put("awa", "a", "p", 0, &f)).To(Equal(409))
		Expect(put("awa", "a", "q", 0, &w)).To(Equal(200))
		Expect(w.Result).To(Equal(admin.ResultUnchanged))
		Expect(do(app, "awa", http.MethodPut, "/objects/zone/a", "", zoneText("a", "p"), &f)).To(Equal(400))
		Expect(do(app, "awa", http.MethodDelete, "/objects/zone/a?version=1", "", "", &f)).To(Equal(409))
		Expect(do(app, "awa", http.MethodDelete, "/objects/zone/a?version=2", "", "", &w)).To(Equal(200))
		Expect(w.Version).To(BeEquivalentTo(3))
		Expect(put("ousmane", "a", "p", 2, &f)).To(Equal(409))
	})

	// Guards against dry runs that write, and against writes of kinds that are
	// not declarations.
	It("keeps dry runs and other kinds from the store", func() {
		Expect(do(app, "awa", http.MethodPut, "/objects/zone/a?version=0&dry_run=true", "", zoneText("a", "r"), &w)).To(Equal(200))
		Expect(w.DryRun).To(BeTrue())
		Expect(s.all()).To(BeEmpty())
		Expect(do(app, "awa", http.MethodPut, "/objects/claim/a?version=0", "", "", &f)).To(Equal(400))
		Expect(do(app, "awa", http.MethodPut, "/objects/zone/a?version=0", "", "[[zone]]\nname=1", &f)).To(Equal(400))
		Expect(f.Error.Message).To(ContainSubstring(`zone/a:2: key "zone.name"`))
	})

	// Guards against answers that hide an unusable reference, and against
	// deletions that make upstreams unusable.
	It("reports references and refuses to break them", func() {
		const up = "[[upstream]]\nname='u'\nservice='s'\nzone='a'\nagent='127.0.0.1:7101'\nlimit=1\n"
		Expect(put("awa", "a", "r", 0, &w)).To(Equal(200))
		Expect(do(app, "awa", http.MethodPut, "/objects/upstream/u?version=0", "", up, &w)).To(Equal(200))
		Expect(w.Missing).To(Equal([]admin.Ref{{Kind: "service", Name: "s"}}))
		Expect(do(app, "awa", http.MethodPut, "/objects/service/s?version=0", "", "[[service]]\nname='s'\n", &w)).To(Equal(200))
		Expect(do(app, "awa", http.MethodDelete, "/objects/zone/a?version=1", "", "", &f)).To(Equal(400))
		var sel admin.Selected
		Expect(do(app, "awa", http.MethodGet, "/select/upstream?selector=zone%20in%20(a)", "", "", &sel)).To(Equal(200))
		Expect(sel.Names).To(Equal([]string{"u"}))
	})

	// Guards against a zone that stays out by another rule while operators
	// believe it is in, and against racing operators who both take it out.
	It("takes zones out and in", func() {
		Expect(do(app, "awa", http.MethodPost, "/out/zone/a", "", "", &f)).To(Equal(404))
		Expect(put("awa", "a", "r", 0, &w)).To(Equal(200))
		Expect(do(app, "awa", http.MethodPost, "/out/zone/a", "", "", &w)).To(Equal(200))
		Expect(w.Version).To(BeEquivalentTo(2))
		Expect(a.Table().Zones["a"].Out).To(BeTrue())
		Expect(do(app, "ousmane", http.MethodPost, "/out/zone/a", "", "", &w)).To(Equal(200))
		Expect(w.Version).To(BeEquivalentTo(2))
		const all = "[[rule]]\nname='all'\nkind='zone'\nselector='region=r'\nout=true\n"
		Expect(do(app, "awa", http.MethodPut, "/objects/rule/all?version=0", "", all, &w)).To(Equal(200))
		Expect(do(app, "awa", http.MethodDelete, "/out/zone/a", "", "", &w)).To(Equal(200))
		Expect(w.OutBy).To(Equal("all"))
		Expect(do(app, "awa", http.MethodDelete, "/objects/rule/all?version=3", "", "", &w)).To(Equal(200))
		Expect(a.Table().Zones["a"].Out).To(BeFalse())
		Expect(do(app, "awa", http.MethodPost, "/out/team/a", "", "", &f)).To(Equal(400))
	})

	// Guards against an answer that says "in force" because the instances that
	// are behind did not answer, and against one slow instance that delays all.
	It("names unreachable instances and those behind", func() {
		a.Instances = func() []core.Instance {
			return []core.Instance{{Name: "e1"}, {Name: "e2"}, {Name: "e3"}, {Name: "e4"}}
		}
		a.StatusTimeout = 50 * time.Millisecond
		a.StatusOf = func(ctx context.Context, in core.Instance, _ []*wire.ObjectRef) (*wire.StatusResponse, error) {
			r := &wire.StatusResponse{Instance: in.Name, Refs: []*wire.ObjectRef{{Kind: "zone", Name: "a", Version: 7}}}
			switch in.Name {
			case "e2":
				<-ctx.Done()
				return nil, ctx.Err()
			case "e3":
				r.Instance = "e9"
			case "e4":
				r.Refs = nil
			}
			return r, nil
		}
		var st admin.Status
		Expect(do(app, "awa", http.MethodPost, "/status", "", `{"refs":[{"kind":"zone","name":"a","version":7}]}`, &st)).To(Equal(200))
		Expect(st.Unreachable).To(Equal([]string{"e2", "e3"}))
		Expect(st.Behind).To(Equal([]string{"e4"}))
		Expect(st.InForce).To(BeFalse())
		Expect(do(app, "awa", http.MethodPost, "/status", "", `{"instances":["e2"]}`, &st)).To(Equal(200))
		Expect(st.InForce).To(BeFalse())
		Expect(do(app, "awa", http.MethodPost, "/status", "", `{"refs":[{"knid":"zone"}]}`, &f)).To(Equal(400))
	})

	// Guards against a write of ours that is taken for a conflict, or repeated,
	// after the store's answer was lost.
	It("recognises its own write and deletion by operator and nonce", func() {
		lose := func() {
			once := true
			s.fault = func(call string) fault {
				if call == "write" && once {
					once = false
					return lostAfter
				}
				return none
			}
		}
		lose()
		Expect(put("awa", "a", "r", 0, &w)).To(Equal(200))
		Expect(w.Version).To(BeEquivalentTo(1))
		lose()
		Expect(put("awa", "a", "q", 1, &w)).To(Equal(200))
		Expect(w.Version).To(BeEquivalentTo(2))
		lose()
		Expect(do(app, "awa", http.MethodDelete, "/objects/zone/a?version=2", "", "", &w)).To(Equal(200))
		Expect(w.Version).To(BeEquivalentTo(3))
		Expect(s.revision).To(BeEquivalentTo(3))
	})

	// Guards against a store outage that looks like missing configuration.
	It("lists from the snapshot while the store is down", func() {
		Expect(put("awa", "a", "r", 0, &w)).To(Equal(200))
		s.fault = func(string) fault { return lostBefore }
		var l admin.List
		Expect(do(app, "awa", http.MethodGet, "/objects/zone", "", "", &l)).To(Equal(200))
		Expect(l.Objects).To(HaveLen(1))
		Expect(do(app, "awa", http.MethodGet, "/objects/zone?source=store", "", "", &f)).To(Equal(503))
		Expect(f.Error.Reason).To(Equal(core.ReasonStoreUnavailable))
		Expect(put("awa", "a", "q", 1, &f)).To(Equal(503))
		Expect(f.Error.Run).To(Equal(core.NotExecuted))
	})

	// Guards against an explanation that is served without one.
	It("explains requests", func() {
		a.Explain = func(id string) (any, bool) { return map[string]string{"id": id}, id == "r1" }
		var got map[string]string
		Expect(do(app, "awa", http.MethodGet, "/explain/r1", "", "", &got)).To(Equal(200))
		Expect(got["id"]).To(Equal("r1"))
		Expect(do(app, "awa", http.MethodGet, "/explain/r2", "", "", &f)).To(Equal(404))
	})
})

// schedule holds what happens before (race) and to (fault) each store call of
// one write. In races, 0 replaces the object and 1 deletes it, as another
// operator.
type schedule struct {
	exists, remove bool
	races          []int
	faults         []fault
}

// run makes one write and returns what is wrong with its outcome.
func (sc schedule) run() string {
	s := newStore()
	_, app := serve(s)
	key := core.Key{Kind: core.KindZone, Name: "a"}
	base := core.Object{Key: core.Key{Kind: core.KindZone, Name: "other"}, Value: []byte(zoneText("other", "r"))}
	s.put(base)
	version := uint64(0)
	if sc.exists {
		version = s.put(core.Object{Key: key, Writer: "setup", Value: []byte(zoneText("a", "r0"))}).Version
	}
	// ours counts the revisions that the write has made.
	ours, last, calls := 0, s.revision, 0
	count := func() {
		if o := s.objects[key]; o.Nonce == "n1" && o.Version > last {
			ours++
		}
	}
	s.fault = func(string) fault {
		count()
		n := calls
		calls++
		if n < len(sc.races) {
			switch _, ok := s.live(key); {
			case sc.races[n] == 0:
				s.put(core.Object{Key: key, Writer: "ousmane", Nonce: "n2", Value: []byte(zoneText("a", "r2"))})
			case sc.races[n] == 1 && ok:
				s.put(core.Object{Key: key, Writer: "ousmane", Nonce: "n3", Deleted: true})
			}
		}
		last = s.revision
		if n < len(sc.faults) {
			return sc.faults[n]
		}
		return none
	}
	method, body := http.MethodPut, zoneText("a", "r1")
	if sc.exists && sc.remove {
		method, body = http.MethodDelete, ""
	}
	var answer struct {
		admin.Written
		admin.Failure
	}
	code := do(app, "awa", method, fmt.Sprintf("/objects/zone/a?version=%d", version), "n1", body, &answer)
	count()
	switch {
	case ours > 1:
		return fmt.Sprintf("took effect %d times", ours)
	case code == 200 && (ours != 1 || answer.Version == 0):
		return fmt.Sprintf("accepted as version %d, took effect %d times", answer.Version, ours)
	case code != 200 && answer.Error.Run == core.NotExecuted && ours != 0:
		return fmt.Sprintf("reported as not run: %+v", answer.Error)
	case code != 200 && answer.Error.Reason == "":
		return fmt.Sprintf("untyped failure %d", code)
	}
	return ""
}

// TestLostAnswers guards against writes that take effect twice, that are
// reported as not run although they took effect, or that undo another
// operator's write. Store calls lose their requests or answers at random, while
// another operator replaces or deletes the same object.
func TestLostAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// The calls are served in another goroutine, in which rapid must not
		// draw, so the events are drawn beforehand.
		sc := schedule{
			exists: rapid.Bool().Draw(t, "exists"),
			remove: rapid.Bool().Draw(t, "remove"),
			races:  rapid.SliceOfN(rapid.IntRange(0, 7), 24, 24).Draw(t, "races"),
			faults: rapid.SliceOfN(rapid.SampledFrom(
				[]fault{none, none, none, lostBefore, lostAfter, limited}), 24, 24).Draw(t, "faults"),
		}
		if wrong := sc.run(); wrong != "" {
			t.Fatal(wrong)
		}
	})
}

// TestLostCreation replays two schedules in which a creation took effect twice:
// it was repeated before the object had been read back, and after the object
// had been created again between the read and the watch.
func TestLostCreation(t *testing.T) {
	for _, sc := range []schedule{
		{races: []int{2, 2, 0, 0, 2, 1}, faults: []fault{none, lostAfter, lostBefore, none, limited}},
		{races: []int{2, 2, 0, 0, 1, 0, 1}, faults: []fault{none, lostAfter, lostBefore, lostBefore}},
	} {
		if wrong := sc.run(); wrong != "" {
			t.Errorf("%+v: %s", sc, wrong)
		}
	}
}

// Guards against a write of ours that is repeated by the caller after our
// answer was lost, and is then taken for a conflict with itself.
func TestRepeatedCall(t *testing.T) {
	s := newStore()
	_, app := serve(s)
	var first, second admin.Written
	do(app, "awa", http.MethodPut, "/objects/zone/a?version=0", "n1", zoneText("a", "r"), &first)
	do(app, "awa", http.MethodPut, "/objects/zone/a?version=0", "n1", zoneText("a", "r"), &second)
	if first.Version == 0 || first.Version != second.Version || s.revision != 1 {
		t.Fatal(errors.New("the repetition was not recognised"), first, second)
	}
}
