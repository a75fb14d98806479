package cmds_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/gofiber/fiber/v3"
	"github.com/gravitational/trace"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/admin"
	"parsleyroute.example/core/suite/seed"
	"parsleyroute.example/core/version/rules"
	"parsleyroute.example/core/wire"
	"parsleyroute.example/parsley/cmds"
)

func TestCmds(t *testing.T) {
	seed.RunSpecs(t, "cmds")
}

// store is an in-memory core.Store with the methods that the operators' API uses.
type store struct {
	core.Store
	mu      sync.Mutex
	version uint64
	objects map[core.Key]core.Object
	down    bool
}

func (s *store) Get(_ context.Context, key core.Key) (core.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	switch {
	case s.down:
		return o, trace.ConnectionProblem(nil, "the store is down")
	case !ok:
		return o, trace.NotFound("%v", key)
	}
	return o, nil
}

func (s *store) List(_ context.Context, kinds ...core.Kind) ([]core.Object, uint64, error) {
	var list []core.Object
	for _, o := range s.all() {
		if o.Kind == kinds[0] {
			list = append(list, o)
		}
	}
	return list, s.version, nil
}

func (s *store) write(o core.Object, expected uint64) (core.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[o.Key].Version != expected {
		return o, trace.CompareFailed("%v", o.Key)
	}
	s.version++
	o.Version = s.version
	s.objects[o.Key] = o
	if o.Deleted {
		delete(s.objects, o.Key)
	}
	return o, nil
}

func (s *store) Create(_ context.Context, o core.Object) (core.Object, error) { return s.write(o, 0) }

func (s *store) Update(_ context.Context, o core.Object) (core.Object, error) {
	return s.write(o, o.Version)
}

func (s *store) Delete(_ context.Context, o core.Object) (core.Object, error) {
	o.Deleted = true
	return s.write(o, o.Version)
}

func (s *store) all() []core.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []core.Object
	for _, o := range s.objects {
		list = append(list, o)
	}
	return list
}

const exampleDir = "../../examples/ndiaye"

var _ = Describe("parsley", func() {
	var (
		s              *store
		a              *admin.API
		settings       string
		stdout, stderr bytes.Buffer
		// staleStatuses is the number of status responses left until e2 reports
		// the change as in effect.
		staleStatuses int
	)
	write := func(name, text string) string {
		path := filepath.Join(GinkgoT().TempDir(), name)
		Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
		return path
	}
	run := func(args ...string) cmds.Code {
		stdout.Reset()
		stderr.Reset()
		return cmds.Run(context.Background(), append([]string{"--config", settings}, args...), &stdout, &stderr)
	}
	BeforeEach(func() {
		s = &store{objects: map[core.Key]core.Object{}}
		staleStatuses = 0
		a = &admin.API{
			Store: s, Objects: s.all, KeyHashes: map[string]string{"awa": fmt.Sprintf("%x", sha256.Sum256([]byte("k")))},
			Table: func() *core.Table {
				t, _ := rules.Compile(s.all())
				return t
			},
			Instances: func() []core.Instance { return []core.Instance{{Name: "e1"}, {Name: "e2"}, {Name: "e3"}} },
			QueryStatus: func(_ context.Context, in core.Instance, refs []*wire.ObjectRef) (*wire.StatusResponse, error) {
				r := &wire.StatusResponse{Instance: in.Name, Refs: refs}
				switch in.Name {
				case "e2":
					if staleStatuses--; staleStatuses >= 0 {
						r.Refs = nil
					}
				case "e3":
					return nil, trace.ConnectionProblem(nil, "refused")
				}
				return r, nil
			},
		}
		app := fiber.New()
		a.Register(app)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			_ = app.Listener(ln, fiber.ListenConfig{DisableStartupMessage: true})
		}()
		DeferCleanup(func() {
			Expect(app.Shutdown()).To(Succeed())
			<-stopped
		})
		// The first address refuses connections, so the client uses the next one.
		settings = write("settings.toml", fmt.Sprintf("entries = [\"127.0.0.1:1\", %q]\nkey = \"k\"\n", ln.Addr()))
	})

	// Guards against an apply that returns before the change is in effect, that
	// writes unchanged objects, or that waits for unreachable instances.
	It("applies a directory and waits until it is in effect", func() {
		staleStatuses = 2
		Expect(run("apply", "--dry-run", exampleDir)).To(Equal(cmds.OK), stderr.String())
		Expect(s.all()).To(BeEmpty())
		Expect(stderr.String()).To(BeEmpty())
		Expect(run("apply", "--wait", exampleDir)).To(Equal(cmds.OK), stderr.String())
		Expect(s.all()).To(HaveLen(33))
		Expect(stderr.String()).To(ContainSubstring("in force on 1 of 3 instances"))
		Expect(stderr.String()).To(ContainSubstring("in force on 2 of 3 instances"))
		Expect(stderr.String()).To(ContainSubstring("warning: not reached: e3"))
		Expect(run("apply", "-o", "json", exampleDir)).To(Equal(cmds.OK))
		Expect(strings.Count(stdout.String(), `"unchanged"`)).To(Equal(33))
		Expect(s.version).To(BeEquivalentTo(33))
		Expect(run("diff", exampleDir)).To(Equal(cmds.OK))
		staleStatuses = 1000
		Expect(run("zone", "out", "dakar-yoff", "--wait", "--wait-limit", "300ms")).To(Equal(cmds.NotInEffect))
		Expect(stderr.String()).To(ContainSubstring("behind: [e2]; unreachable: [e3]"))
	})

	// Guards against an edited copy that overwrites a newer change by another
	// operator.
	It("refuses a declaration with an outdated version", func() {
		Expect(run("apply", exampleDir)).To(Equal(cmds.OK))
		Expect(run("get", "zone", "dakar-yoff", "-o", "toml")).To(Equal(cmds.OK))
		mine := write("mine.toml", strings.Replace(stdout.String(), "'dakar'", "'dakar-west'", 1))
		Expect(run("diff", mine)).To(Equal(cmds.Differs))
		Expect(stdout.String()).To(MatchRegexp(`zone +dakar-yoff +changed +region`))
		Expect(run("apply", mine)).To(Equal(cmds.OK), stderr.String())
		older := write("older.toml", strings.Replace(func() string { b, _ := os.ReadFile(mine); return string(b) }(), "dakar-west", "dakar-north", 1))
		Expect(run("apply", older)).To(Equal(cmds.Conflict))
		Expect(stderr.String()).To(ContainSubstring(`version 34, written by "awa", and differs in [region]`))
	})

	// Guards against changes to exit codes on which scripts rely.
	It("returns the exit code of the outcome", func() {
		Expect(run("apply", exampleDir)).To(Equal(cmds.OK))
		Expect(run("apply")).To(Equal(cmds.Usage))
		Expect(run("apply", "/nowhere")).To(Equal(cmds.Usage))
		Expect(run("get", "claim")).To(Equal(cmds.Usage))
		Expect(run("get", "zone", "-o", "xml")).To(Equal(cmds.Usage))
		Expect(run("apply", write("bad.toml", "[[zone]]\nname = 1\n"))).To(Equal(cmds.Invalid))
		Expect(run("check", write("part.toml", "[[zone]]\nname = \"a\"\n[[zone]]\nname = \"a\"\n"))).To(Equal(cmds.Invalid))
		Expect(run("select", "upstream", "zone in (")).To(Equal(cmds.Invalid))
		Expect(run("get", "zone", "none")).To(Equal(cmds.NotFound))
		Expect(run("zone", "out", "none")).To(Equal(cmds.NotFound))
		Expect(run("explain", "none")).To(Equal(cmds.Unavailable))
		Expect(run("delete", "zone", "dakar-yoff")).To(Equal(cmds.Invalid))
		Expect(run("delete", "team", "archive", "--version", "1")).To(Equal(cmds.Conflict))
		Expect(run("status")).To(Equal(cmds.NotInEffect))
		Expect(run("--key", "wrong", "get", "zone")).To(Equal(cmds.Unauthorized))
		Expect(run("--entry", "127.0.0.1:1", "get", "zone")).To(Equal(cmds.Unavailable))
		s.down = true
		Expect(run("zone", "out", "dakar-yoff")).To(Equal(cmds.Unavailable))
	})

	// Guards against reporting a zone or an upstream as in service although
	// another rule keeps it out.
	It("takes zones out of service and back, and drains upstreams", func() {
		Expect(run("apply", exampleDir)).To(Equal(cmds.OK))
		Expect(run("zone", "out", "dakar-yoff", "--wait")).To(Equal(cmds.OK), stderr.String())
		Expect(a.Table().Upstreams["order-desk-yoff"].Out).To(BeTrue())
		Expect(run("drain", "order-desk-yoff")).To(Equal(cmds.OK))
		Expect(run("zone", "in", "dakar-yoff")).To(Equal(cmds.OK))
		Expect(a.Table().Upstreams["order-desk-yoff"].OutRule).To(Equal("out.upstream.order-desk-yoff"))
		Expect(run("apply", write("r.toml", "[[rule]]\nname='r'\nkind='upstream'\nselector='zone=dakar-yoff'\nout=true\n"))).To(Equal(cmds.OK))
		Expect(run("drain", "--undo", "order-desk-yoff")).To(Equal(cmds.NotInEffect))
		Expect(stderr.String()).To(ContainSubstring(`still kept out of service by rule "r"`))
		Expect(run("select", "upstream", "zone = dakar-yoff, tier = desk", "-o", "toml")).To(Equal(cmds.OK))
		Expect(stdout.String()).To(ContainSubstring("names = ['order-desk-yoff']"))
		Expect(run("delete", "rule", "r")).To(Equal(cmds.OK))
	})

	// Guards against output that other programs cannot parse.
	It("prints JSON with the declarations", func() {
		a.Explain = func(id string) (any, bool) { return map[string]any{"id": id, "attempts": 2, "none": nil}, true }
		Expect(run("apply", exampleDir)).To(Equal(cmds.OK))
		Expect(run("get", "upstreams", "-o", "json")).To(Equal(cmds.OK))
		var got struct {
			Objects []struct{ Declaration map[string]any }
		}
		Expect(json.Unmarshal(stdout.Bytes(), &got)).To(Succeed())
		Expect(got.Objects).To(HaveLen(15))
		Expect(got.Objects[0].Declaration).To(HaveKeyWithValue("group", "lettering-model-medina"))
		Expect(run("explain", "r1")).To(Equal(cmds.OK))
		Expect(stdout.String()).To(Equal("attempts = 2\nid = 'r1'\n"))
		Expect(run("completion", "bash")).To(Equal(cmds.OK))
		Expect(run("__complete", "zone", "out", "")).To(Equal(cmds.OK))
		Expect(stdout.String()).To(ContainSubstring("dakar-medina\n"))
	})
})
