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
	seed.RunSpecs(t, "admin")
}

// fakeClock is a clock whose sleeps return at once. Once remainingSleeps is used
// up, sleeps report that the deadline has passed.
type fakeClock struct{ remainingSleeps int }

func (*fakeClock) Now() time.Time                         { return time.Time{} }
func (*fakeClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

func (t *fakeClock) Sleep(context.Context, time.Duration) error {
	if t.remainingSleeps--; t.remainingSleeps < 0 {
		return context.DeadlineExceeded
	}
	return nil
}

func hash(key string) string { return fmt.Sprintf("%x", sha256.Sum256([]byte(key))) }

// serve returns an API that uses s as its store, and the app that serves it.
func serve(s *store) (*admin.API, *fiber.App) {
	a := &admin.API{
		Store: s, Objects: s.all, Clock: &fakeClock{remainingSleeps: 8},
		Table: func() *core.Table {
			t, _ := rules.Compile(s.all())
			return t
		},
		KeyHashes: map[string]string{"awa": hash("awa-key"), "ousmane": hash("ousmane-key")},
	}
	app := fiber.New()
	a.Register(app)
	return a, app
}

func newStore() *store { return &store{objects: map[core.Key]core.Object{}} }

// callAPI sends a request as the operator and decodes the response into v. It
// returns the status code.
func callAPI(app *fiber.App, operator, method, path, nonce, body string, v any) int {
	r := httptest.NewRequest(method, "/v1/admin"+path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+operator+"-key")
	r.Header.Set("X-Nonce", nonce)
	resp, err := app.Test(r, fiber.TestConfig{Timeout: 10 * time.Second})
	if err != nil {
		panic(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		panic(err)
	}
	if err := json.Unmarshal(data, v); err != nil {
		panic(fmt.Sprintf("%s: %s", err, data))
	}
	return resp.StatusCode
}

func zoneTOML(name, region string) string {
	return fmt.Sprintf("[[zone]]\nname = %q\nregion = %q\n", name, region)
}

var _ = Describe("API", func() {
	var (
		s       *store
		api     *admin.API
		app     *fiber.App
		result  admin.WriteResult
		failure admin.ErrorResponse
	)
	BeforeEach(func() {
		s = newStore()
		api, app = serve(s)
		result, failure = admin.WriteResult{}, admin.ErrorResponse{}
	})
	put := func(operator, name, region string, version uint64, v any) int {
		return callAPI(app, operator, http.MethodPut, fmt.Sprintf("/objects/zone/%s?version=%d", name, version), "",
			zoneTOML(name, region), v)
	}

	// Guards against requests that reach the store without an operator's key, and
	// against refusals that are not counted.
	It("refuses and counts requests without a valid key", func() {
		refusalCount := func() string {
			if v := expvar.Get("refusals").(*expvar.Map).Get(string(core.ReasonOperatorUnverified)); v != nil {
				return v.String()
			}
			return "0"
		}
		before := refusalCount()
		for _, path := range []string{"/objects/zone", "/objects/zone/a", "/select/zone", "/explain/x", "/none"} {
			Expect(callAPI(app, "mallory", http.MethodGet, path, "", "", &failure)).To(Equal(401))
			Expect(failure.Error.Reason).To(Equal(core.ReasonOperatorUnverified))
		}
		Expect(refusalCount()).NotTo(Equal(before))
		Expect(callAPI(app, "awa", http.MethodGet, "/none", "", "", &failure)).To(Equal(404))
	})

	// Guards against unconditional overwrites and against conflicts that do not
	// name the other writer.
	It("writes only if the version matches and describes conflicts", func() {
		Expect(put("awa", "a", "r", 0, &result)).To(Equal(200))
		Expect(result).To(Equal(admin.WriteResult{
			Kind: "zone", Name: "a", Result: admin.ResultCreated, Version: 1, Fields: []string{"name", "region"},
		}))
		Expect(put("ousmane", "a", "q", 1, &result)).To(Equal(200))
		Expect(result.Version).To(BeEquivalentTo(2))
		Expect(result.Fields).To(Equal([]string{"region"}))
		Expect(put("awa", "a", "p", 1, &failure)).To(Equal(409))
		Expect(failure.Error.Run).To(Equal(core.NotExecuted))
		Expect(failure.Error.Conflict).To(Equal(&admin.Conflict{Version: 2, Writer: "ousmane", Fields: []string{"region"}}))
		Expect(put("awa", "a", "p", 0, &failure)).To(Equal(409))
		Expect(put("awa", "a", "q", 0, &result)).To(Equal(200))
		Expect(result.Result).To(Equal(admin.ResultUnchanged))
		Expect(callAPI(app, "awa", http.MethodPut, "/objects/zone/a", "", zoneTOML("a", "p"), &failure)).To(Equal(400))
		Expect(callAPI(app, "awa", http.MethodDelete, "/objects/zone/a?version=1", "", "", &failure)).To(Equal(409))
		Expect(callAPI(app, "awa", http.MethodDelete, "/objects/zone/a?version=2", "", "", &result)).To(Equal(200))
		Expect(result.Version).To(BeEquivalentTo(3))
		Expect(put("ousmane", "a", "p", 2, &failure)).To(Equal(409))
	})

	// Guards against dry runs that write, and against writes of kinds that are
	// not declarations.
	It("writes neither dry runs nor other kinds to the store", func() {
		Expect(callAPI(app, "awa", http.MethodPut, "/objects/zone/a?version=0&dry_run=true", "", zoneTOML("a", "r"), &result)).To(Equal(200))
		Expect(result.DryRun).To(BeTrue())
		Expect(s.all()).To(BeEmpty())
		Expect(callAPI(app, "awa", http.MethodPut, "/objects/claim/a?version=0", "", "", &failure)).To(Equal(400))
		Expect(callAPI(app, "awa", http.MethodPut, "/objects/zone/a?version=0", "", "[[zone]]\nname=1", &failure)).To(Equal(400))
		Expect(failure.Error.Message).To(ContainSubstring(`zone/a:2: key "zone.name"`))
	})

	// Guards against responses that do not report a missing reference, and against
	// deletions that make upstreams unusable.
	It("reports missing references and refuses to delete referenced objects", func() {
		const upstreamTOML = "[[upstream]]\nname='u'\nservice='s'\nzone='a'\nagent='127.0.0.1:7101'\nlimit=1\n"
		Expect(put("awa", "a", "r", 0, &result)).To(Equal(200))
		Expect(callAPI(app, "awa", http.MethodPut, "/objects/upstream/u?version=0", "", upstreamTOML, &result)).To(Equal(200))
		Expect(result.Missing).To(Equal([]admin.Ref{{Kind: "service", Name: "s"}}))
		Expect(callAPI(app, "awa", http.MethodPut, "/objects/service/s?version=0", "", "[[service]]\nname='s'\n", &result)).To(Equal(200))
		Expect(callAPI(app, "awa", http.MethodDelete, "/objects/zone/a?version=1", "", "", &failure)).To(Equal(400))
		var selection admin.Selection
		Expect(callAPI(app, "awa", http.MethodGet, "/select/upstream?selector=zone%20in%20(a)", "", "", &selection)).To(Equal(200))
		Expect(selection.Names).To(Equal([]string{"u"}))
	})

	// Guards against a zone that stays out because of another rule without the
	// operator being told, and against a conflict when two operators take the same
	// zone out.
	It("takes zones out of service and reinstates them", func() {
		Expect(callAPI(app, "awa", http.MethodPost, "/out/zone/a", "", "", &failure)).To(Equal(404))
		Expect(put("awa", "a", "r", 0, &result)).To(Equal(200))
		Expect(callAPI(app, "awa", http.MethodPost, "/out/zone/a", "", "", &result)).To(Equal(200))
		Expect(result.Version).To(BeEquivalentTo(2))
		Expect(api.Table().Zones["a"].Out).To(BeTrue())
		Expect(callAPI(app, "ousmane", http.MethodPost, "/out/zone/a", "", "", &result)).To(Equal(200))
		Expect(result.Version).To(BeEquivalentTo(2))
		const ruleTOML = "[[rule]]\nname='all'\nkind='zone'\nselector='region=r'\nout=true\n"
		Expect(callAPI(app, "awa", http.MethodPut, "/objects/rule/all?version=0", "", ruleTOML, &result)).To(Equal(200))
		Expect(callAPI(app, "awa", http.MethodDelete, "/out/zone/a", "", "", &result)).To(Equal(200))
		Expect(result.RemainingOutRule).To(Equal("all"))
		Expect(callAPI(app, "awa", http.MethodDelete, "/objects/rule/all?version=3", "", "", &result)).To(Equal(200))
		Expect(api.Table().Zones["a"].Out).To(BeFalse())
		Expect(callAPI(app, "awa", http.MethodPost, "/out/team/a", "", "", &failure)).To(Equal(400))
	})

	// Guards against a status that is "in force" although an instance is behind or
	// no instance responded, and against one slow instance that delays the others.
	It("lists unreachable instances and those with older versions", func() {
		api.Instances = func() []core.Instance {
			return []core.Instance{{Name: "e1"}, {Name: "e2"}, {Name: "e3"}, {Name: "e4"}}
		}
		api.StatusTimeout = 50 * time.Millisecond
		api.QueryStatus = func(ctx context.Context, in core.Instance, _ []*wire.ObjectRef) (*wire.StatusResponse, error) {
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
		Expect(callAPI(app, "awa", http.MethodPost, "/status", "", `{"refs":[{"kind":"zone","name":"a","version":7}]}`, &st)).To(Equal(200))
		Expect(st.Unreachable).To(Equal([]string{"e2", "e3"}))
		Expect(st.Behind).To(Equal([]string{"e4"}))
		Expect(st.InForce).To(BeFalse())
		Expect(callAPI(app, "awa", http.MethodPost, "/status", "", `{"instances":["e2"]}`, &st)).To(Equal(200))
		Expect(st.InForce).To(BeFalse())
		Expect(callAPI(app, "awa", http.MethodPost, "/status", "", `{"refs":[{"knid":"zone"}]}`, &failure)).To(Equal(400))
	})

	// Guards against a write that is reported as a conflict, or executed twice,
	// after the store's response was lost.
	It("recognizes its own write and deletion by operator and nonce", func() {
		loseNextResponse := func() {
			pending := true
			s.injectFault = func(call string) faultMode {
				if call == "write" && pending {
					pending = false
					return responseLost
				}
				return noFault
			}
		}
		loseNextResponse()
		Expect(put("awa", "a", "r", 0, &result)).To(Equal(200))
		Expect(result.Version).To(BeEquivalentTo(1))
		loseNextResponse()
		Expect(put("awa", "a", "q", 1, &result)).To(Equal(200))
		Expect(result.Version).To(BeEquivalentTo(2))
		loseNextResponse()
		Expect(callAPI(app, "awa", http.MethodDelete, "/objects/zone/a?version=2", "", "", &result)).To(Equal(200))
		Expect(result.Version).To(BeEquivalentTo(3))
		Expect(s.revision).To(BeEquivalentTo(3))
	})

	// Guards against a store outage that is reported as missing configuration.
	It("lists from the snapshot while the store is unavailable", func() {
		Expect(put("awa", "a", "r", 0, &result)).To(Equal(200))
		s.injectFault = func(string) faultMode { return requestLost }
		var list admin.ObjectList
		Expect(callAPI(app, "awa", http.MethodGet, "/objects/zone", "", "", &list)).To(Equal(200))
		Expect(list.Objects).To(HaveLen(1))
		Expect(callAPI(app, "awa", http.MethodGet, "/objects/zone?source=store", "", "", &failure)).To(Equal(503))
		Expect(failure.Error.Reason).To(Equal(core.ReasonStoreUnavailable))
		Expect(put("awa", "a", "q", 1, &failure)).To(Equal(503))
		Expect(failure.Error.Run).To(Equal(core.NotExecuted))
	})

	// Guards against a successful response for a request without a record.
	It("returns the record of a request", func() {
		api.Explain = func(id string) (any, bool) { return map[string]string{"id": id}, id == "r1" }
		var got map[string]string
		Expect(callAPI(app, "awa", http.MethodGet, "/explain/r1", "", "", &got)).To(Equal(200))
		Expect(got["id"]).To(Equal("r1"))
		Expect(callAPI(app, "awa", http.MethodGet, "/explain/r2", "", "", &failure)).To(Equal(404))
	})
})

// writeSchedule determines for each store call of one write what another operator
// does before it (races: 0 replaces the object, 1 deletes it, others do nothing)
// and which fault it has.
type writeSchedule struct {
	exists, remove bool
	races          []int
	faults         []faultMode
}

// run executes one write and returns a description of the violation, or "" if the
// outcome is correct.
func (sc writeSchedule) run() string {
	s := newStore()
	_, app := serve(s)
	key := core.Key{Kind: core.KindZone, Name: "a"}
	base := core.Object{Key: core.Key{Kind: core.KindZone, Name: "other"}, Value: []byte(zoneTOML("other", "r"))}
	s.put(base)
	version := uint64(0)
	if sc.exists {
		version = s.put(core.Object{Key: key, Writer: "setup", Value: []byte(zoneTOML("a", "r0"))}).Version
	}
	// ownWrites counts the revisions that the write under test has created.
	ownWrites, lastRevision, calls := 0, s.revision, 0
	countOwnWrites := func() {
		if o := s.objects[key]; o.Nonce == "n1" && o.Version > lastRevision {
			ownWrites++
		}
	}
	s.injectFault = func(string) faultMode {
		countOwnWrites()
		n := calls
		calls++
		if n < len(sc.races) {
			switch _, ok := s.live(key); {
			case sc.races[n] == 0:
				s.put(core.Object{Key: key, Writer: "ousmane", Nonce: "n2", Value: []byte(zoneTOML("a", "r2"))})
			case sc.races[n] == 1 && ok:
				s.put(core.Object{Key: key, Writer: "ousmane", Nonce: "n3", Deleted: true})
			}
		}
		lastRevision = s.revision
		if n < len(sc.faults) {
			return sc.faults[n]
		}
		return noFault
	}
	method, body := http.MethodPut, zoneTOML("a", "r1")
	if sc.exists && sc.remove {
		method, body = http.MethodDelete, ""
	}
	var response struct {
		admin.WriteResult
		admin.ErrorResponse
	}
	code := callAPI(app, "awa", method, fmt.Sprintf("/objects/zone/a?version=%d", version), "n1", body, &response)
	countOwnWrites()
	switch {
	case ownWrites > 1:
		return fmt.Sprintf("took effect %d times", ownWrites)
	case code == 200 && (ownWrites != 1 || response.Version == 0):
		return fmt.Sprintf("accepted as version %d, took effect %d times", response.Version, ownWrites)
	case code != 200 && response.Error.Run == core.NotExecuted && ownWrites != 0:
		return fmt.Sprintf("reported as not run: %+v", response.Error)
	case code != 200 && response.Error.Reason == "":
		return fmt.Sprintf("failure without a reason, status %d", code)
	}
	return ""
}

// TestLostResponses guards against writes that take effect twice, that are
// reported as not run although they took effect, or that undo another
// operator's write. Store calls lose their requests or responses at random while
// another operator replaces or deletes the same object.
func TestLostResponses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// The API runs in another goroutine, in which rapid must not draw values,
		// so the whole schedule is drawn first.
		sc := writeSchedule{
			exists: rapid.Bool().Draw(t, "exists"),
			remove: rapid.Bool().Draw(t, "remove"),
			races:  rapid.SliceOfN(rapid.IntRange(0, 7), 24, 24).Draw(t, "races"),
			faults: rapid.SliceOfN(rapid.SampledFrom(
				[]faultMode{noFault, noFault, noFault, requestLost, responseLost, rateLimited}), 24, 24).Draw(t, "faults"),
		}
		if problem := sc.run(); problem != "" {
			t.Fatal(problem)
		}
	})
}

// TestLostCreation guards against two schedules in which a creation took effect
// twice: it was retried before the object had been read back, and it was retried
// although the object had been created again between the read and the watch.
func TestLostCreation(t *testing.T) {
	for _, sc := range []writeSchedule{
		{races: []int{2, 2, 0, 0, 2, 1}, faults: []faultMode{noFault, responseLost, requestLost, noFault, rateLimited}},
		{races: []int{2, 2, 0, 0, 1, 0, 1}, faults: []faultMode{noFault, responseLost, requestLost, requestLost}},
	} {
		if problem := sc.run(); problem != "" {
			t.Errorf("%+v: %s", sc, problem)
		}
	}
}

// TestRepeatedCall guards against a write that the caller repeats because the
// response was lost, and that is then reported as a conflict with itself.
func TestRepeatedCall(t *testing.T) {
	s := newStore()
	_, app := serve(s)
	var first, second admin.WriteResult
	callAPI(app, "awa", http.MethodPut, "/objects/zone/a?version=0", "n1", zoneTOML("a", "r"), &first)
	callAPI(app, "awa", http.MethodPut, "/objects/zone/a?version=0", "n1", zoneTOML("a", "r"), &second)
	if first.Version == 0 || first.Version != second.Version || s.revision != 1 {
		t.Fatal(errors.New("the repeated request was not recognized"), first, second)
	}
}
