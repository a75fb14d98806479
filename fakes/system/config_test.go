package system_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/admin"
	"parsleyroute.example/core/process/spread"
	"parsleyroute.example/core/wire"
	"parsleyroute.example/fakes/process/objsrv"
)

// inEffectTimeout is the time within which an accepted configuration must be in
// effect on all instances.
const inEffectTimeout = 10 * time.Second

// setPlatformFaults changes those fault settings of the platform that change contains.
func (c *cluster) setPlatformFaults(change map[string]any) {
	GinkgoHelper()
	c.control(c.platformAddr, http.MethodPut, "/control/faults", change)
}

func (c *cluster) platformStats() objsrv.Stats {
	var s objsrv.Stats
	c.getJSON(c.platformAddr, "/control/stats", &s)
	return s
}

// zoneWrites counts the writes of zones only, because the entries write their
// leases to the same store at any time.
func (c *cluster) zoneWrites() objsrv.Writes { return c.platformStats().Kinds[core.KindZone] }

// applyResult is the outcome of one parsley apply command.
type applyResult struct {
	code    int
	output  string
	results []admin.WriteResult
}

// parsleyApply runs parsley apply on the declarations.
func (c *cluster) parsleyApply(e *node, text string) applyResult {
	GinkgoHelper()
	path := filepath.Join(c.dir, "apply.toml")
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	cmd := exec.Command("../../.out/bin/parsley", "--entry", e.listen.String(), "--key", operatorKey, "-o", "json", "apply", path)
	cmd.Env = append(os.Environ(), "PARSLEY_CONFIG=")
	out, err := cmd.Output()
	a := applyResult{output: string(out)}
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		a.code = exit.ExitCode()
		a.output += string(exit.Stderr)
	} else {
		Expect(err).NotTo(HaveOccurred())
	}
	var response struct{ Results []admin.WriteResult }
	if len(out) > 0 {
		Expect(json.Unmarshal(out, &response)).To(Succeed(), a.output)
	}
	a.results = response.Results
	return a
}

// expectAppliedOnce checks that apply created the zone with a single write and
// reported its version.
func (c *cluster) expectAppliedOnce(a applyResult, zone string, before int) {
	GinkgoHelper()
	Expect(a.code).To(BeZero(), a.output)
	o, err := c.store.Get(context.Background(), core.Key{Kind: core.KindZone, Name: zone})
	Expect(err).NotTo(HaveOccurred())
	Expect(a.results).To(HaveLen(1))
	Expect(a.results[0].Result).To(Equal(admin.ResultCreated))
	Expect(a.results[0].Version).To(Equal(o.Version))
	Expect(c.zoneWrites().Applied).To(Equal(before+1), "writes that took effect")
}

// putZone sets a zone's region on condition that the zone has the given version.
func (c *cluster) putZone(e *node, key, zone, region string, version uint64) (admin.WriteResult, int, admin.ErrorDetail) {
	GinkgoHelper()
	var w admin.WriteResult
	status, failure := c.callAdmin(e, key, http.MethodPut, fmt.Sprintf("/objects/zone/%s?version=%d", zone, version),
		fmt.Sprintf("[[zone]]\nname = %q\nregion = %q\n", zone, region), &w)
	return w, status, failure
}

var _ = Describe("configuration under faults", func() {
	// Guards against a change that silently overwrites a concurrent one.
	It("accepts one of two concurrent changes and reports the conflict to the other operator", func() {
		c := newCluster(clusterConfig{zones: []string{"a", "b"}, entries: 1, limit: 1})
		// Without this, the store's rate limits would refuse writes on a fast machine.
		c.setPlatformFaults(map[string]any{"write_rate": 0, "read_rate": 0})
		operators := []struct{ name, key string }{{"test", operatorKey}, {"rival", rivalKey}}
		o, err := c.store.Get(context.Background(), core.Key{Kind: core.KindZone, Name: "a"})
		Expect(err).NotTo(HaveOccurred())
		version := o.Version
		for round := range 20 {
			var written [2]admin.WriteResult
			var statuses [2]int
			var refused [2]admin.ErrorDetail
			var wg sync.WaitGroup
			for i, op := range operators {
				wg.Go(func() {
					defer GinkgoRecover()
					written[i], statuses[i], refused[i] = c.putZone(c.entries[i], op.key, "a", fmt.Sprintf("%s-%d", op.name, round), version)
				})
			}
			wg.Wait()
			Expect(statuses).To(ConsistOf(200, 409), "round %d: %v", round, refused)
			winner := 0
			if statuses[1] == 200 {
				winner = 1
			}
			version = written[winner].Version
			conflict := refused[1-winner].Conflict
			Expect(conflict).NotTo(BeNil())
			Expect(conflict.Version).To(Equal(version))
			Expect(conflict.Writer).To(Equal(operators[winner].name))
			Expect(conflict.Fields).To(ConsistOf("region"))
			Expect(refused[1-winner].Run).To(Equal(core.NotExecuted))
			o, err := c.store.Get(context.Background(), core.Key{Kind: core.KindZone, Name: "a"})
			Expect(err).NotTo(HaveOccurred())
			Expect(o.Version).To(Equal(version))
			Expect(string(o.Value)).To(ContainSubstring("%s-%d", operators[winner].name, round))
		}
	})

	// Guards against a lost configuration, or a system that does not start, when
	// everything restarts during an outage of the store.
	It("keeps its state when everything restarts during an outage of the store", func() {
		c := newCluster(clusterConfig{zones: []string{"a", "b"}, entries: 2, engines: 1, limit: 4, coldLimit: 2, seeds: true})
		last := c.entries[len(c.entries)-1]
		change, status, failure := c.putZone(c.entries[0], operatorKey, "a", "changed", c.zoneVersion("a"))
		Expect(status).To(Equal(200), failure.Message)
		ref := admin.Ref{Kind: change.Kind, Name: change.Name, Version: change.Version}
		Eventually(func() bool { return c.queryStatus(last, ref).InForce }, inEffectTimeout, "50ms").Should(BeTrue())
		c.setPlatformFaults(map[string]any{"outage": true, "list_outage": true})
		nodes := append(append([]*node{}, c.entries[:len(c.entries)-1]...), c.agents...)
		for _, n := range nodes {
			n.kill()
		}
		for _, n := range nodes {
			n.start(c.dir)
		}
		// An instance that is not listed yet can only query its seeds.
		c.addEntry("a", len(c.entries))
		fresh := c.entries[len(c.entries)-1]
		c.startEntry(fresh)
		c.waitReady()
		last.kill()
		last.start(c.dir)
		c.waitReady()
		Eventually(func() []string {
			s := c.queryStatus(last, ref)
			if len(s.Instances) < len(nodes)+1 {
				return []string{"instances missing"}
			}
			return append(s.Behind, s.Unreachable...)
		}, inEffectTimeout, "50ms").Should(BeEmpty())
		for i, e := range c.entries {
			r := c.requestStream(e, fmt.Sprintf("s-%d", i), 8)
			Expect(r.err).NotTo(HaveOccurred())
			Expect(r.status).To(Equal(200), string(r.body))
		}
	})

	// Guards against changes that are applied twice, or reported as applied or
	// refused when they are not.
	It("applies a change once and reports it correctly when the store fails meanwhile", func() {
		c := newCluster(clusterConfig{zones: []string{"a"}, entries: 1, limit: 1})
		e := c.entries[0]
		apply := func(zone string, duringWrite func()) (applyResult, int) {
			before := c.zoneWrites()
			done := make(chan applyResult)
			go func() {
				defer GinkgoRecover()
				defer close(done)
				done <- c.parsleyApply(e, fmt.Sprintf("[[zone]]\nname = %q\nregion = \"r\"\n", zone))
			}()
			if duringWrite != nil {
				Eventually(func() int { return c.zoneWrites().Received }, "10s", "5ms").Should(BeNumerically(">", before.Received))
				duringWrite()
			}
			return <-done, before.Applied
		}
		for _, fault := range []string{"outage", "hang"} {
			By("writing during the fault " + fault)
			c.setPlatformFaults(map[string]any{"delay_ms": 300})
			a, before := apply("during-"+fault, func() {
				c.setPlatformFaults(map[string]any{fault: true})
				time.Sleep(1500 * time.Millisecond)
				c.setPlatformFaults(map[string]any{fault: false, "delay_ms": 0})
			})
			c.expectAppliedOnce(a, "during-"+fault, before)
		}
		By("losing the response of a write")
		c.setPlatformFaults(map[string]any{"lose_answers": 1, "lose_kind": "zone"})
		a, before := apply("lost-answer", nil)
		Expect(c.platformStats().LostResponses).To(Equal(1))
		c.expectAppliedOnce(a, "lost-answer", before)
		By("writing while the store stays down")
		c.setPlatformFaults(map[string]any{"outage": true})
		a, before = apply("never", nil)
		Expect(a.code).To(Equal(6), a.output)
		c.setPlatformFaults(map[string]any{"outage": false})
		Consistently(func() int { return c.zoneWrites().Applied }, "500ms", "50ms").Should(Equal(before))
		a, before = apply("never", nil)
		c.expectAppliedOnce(a, "never", before)
	})

	// Guards against instances that keep or spread an old configuration after
	// they were suspended.
	It("updates instances that were suspended and never reverts to an older version", func() {
		c := newCluster(clusterConfig{zones: []string{"a", "b"}, entries: 2, engines: 2, limit: 4, coldLimit: 2})
		observer := c.entriesIn("b")[0]
		var suspended []*node
		for _, n := range append(append([]*node{}, c.entries...), c.agents...) {
			if n.zone == "a" {
				suspended = append(suspended, n)
			}
		}
		oldObject, err := c.store.Get(context.Background(), core.Key{Kind: core.KindZone, Name: "a"})
		Expect(err).NotTo(HaveOccurred())
		ref := admin.Ref{Kind: core.KindZone, Name: "a", Version: oldObject.Version}
		w := c.watchVersions(observer, ref)
		change := func(i int) {
			written, status, failure := c.putZone(observer, operatorKey, "a", fmt.Sprintf("r-%d", i), ref.Version)
			Expect(status).To(Equal(200), failure.Message)
			ref.Version = written.Version
		}
		change(0)
		Eventually(func() bool { return c.queryStatus(observer, ref).InForce }, inEffectTimeout, "50ms").Should(BeTrue())
		for _, n := range suspended {
			n.signal(syscall.SIGSTOP)
		}
		for i := range 6 {
			change(i + 1)
			time.Sleep(300 * time.Millisecond)
		}
		c.control(c.platformAddr, http.MethodPost, "/control/compact", struct{}{})
		change(7)
		for _, n := range suspended {
			n.signal(syscall.SIGCONT)
		}
		Eventually(func() []string {
			s := c.queryStatus(observer, ref)
			return append(s.Behind, s.Unreachable...)
		}, inEffectTimeout, "50ms").Should(BeEmpty())
		By("pushing an old version to all instances")
		for _, n := range append(append([]*node{}, c.entries...), c.agents...) {
			c.pushObject(n, oldObject)
		}
		time.Sleep(3 * time.Second)
		w.end()
		Expect(w.regressions).To(BeEmpty(), "instances that reverted to an older version")
		Expect(w.highest).To(HaveLen(len(c.entries) + len(c.agents)))
		for name, v := range w.highest {
			Expect(v).To(Equal(ref.Version), name)
		}
	})
})

func (c *cluster) zoneVersion(zone string) uint64 {
	GinkgoHelper()
	o, err := c.store.Get(context.Background(), core.Key{Kind: core.KindZone, Name: zone})
	Expect(err).NotTo(HaveOccurred())
	return o.Version
}

// pushObject sends an object to an instance in the way that a peer does.
func (c *cluster) pushObject(n *node, o core.Object) {
	GinkgoHelper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err := spread.NewPeerClient(peerKey, 0).ConfigClient(n.peer).Push(ctx, &wire.PushRequest{Zone: n.zone, Objects: []*wire.Object{{
		Kind: string(o.Kind), Name: o.Name, Version: o.Version, Writer: o.Writer, Nonce: o.Nonce, Value: o.Value,
	}}})
	Expect(err).NotTo(HaveOccurred())
}

// versionWatch polls the versions of an object that are in effect on the
// instances. highest and regressions may be read after end.
type versionWatch struct {
	stopped     atomic.Bool
	done        chan struct{}
	highest     map[string]uint64
	regressions []string
}

func (w *versionWatch) end() {
	w.stopped.Store(true)
	<-w.done
}

// watchVersions records the highest version of an object seen on each instance,
// and each time that a lower version follows a higher one.
func (c *cluster) watchVersions(via *node, ref admin.Ref) *versionWatch {
	w := &versionWatch{done: make(chan struct{}), highest: map[string]uint64{}}
	go func() {
		defer GinkgoRecover()
		defer close(w.done)
		for !w.stopped.Load() {
			for _, in := range c.queryStatus(via, ref).Instances {
				if in.Error != "" {
					continue
				}
				v := versionInEffect(in, ref.Kind, ref.Name)
				if v < w.highest[in.Name] {
					w.regressions = append(w.regressions, fmt.Sprintf("%s from %d to %d", in.Name, w.highest[in.Name], v))
				}
				w.highest[in.Name] = max(w.highest[in.Name], v)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	DeferCleanup(w.end)
	return w
}
