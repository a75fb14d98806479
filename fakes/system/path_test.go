package system_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"parsleyroute.example/core/suite/answer"
	"parsleyroute.example/fakes/process/load"
)

// requestStream requests a stream of tokens from the model service and checks every
// byte.
func (c *cluster) requestStream(entry *node, id string, tokens int) result {
	body := fmt.Sprintf(`{"tokens":%d,"stream":true,"id":%q}`, tokens, id)
	r := c.do(call{
		entry: entry, team: "small", method: http.MethodPost, path: "model/generate", body: body,
		headers: map[string]string{"X-Request-Id": id, "Accept": "text/event-stream"},
	})
	if r.err == nil && r.status == 200 {
		want := answer.NewSeed([]byte(body), "", id).CompleteStream(tokens)
		if !bytes.Equal(r.body, want) {
			r.err = fmt.Errorf("%w: %d instead of %d", errWrongBody, len(r.body), len(want))
		}
	}
	return r
}

// requestRecord returns the record that an entry reports for a request.
func (c *cluster) requestRecord(entry *node, team, id string) string {
	req, err := http.NewRequest(http.MethodGet, "http://"+entry.listen.String()+"/v1/requests/"+id, nil)
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+team)
	resp, err := c.client.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return string(body)
}

// placeOrder sends an order, which must run at most once.
func (c *cluster) placeOrder(entry *node, key, body string) result {
	return c.do(call{
		entry: entry, team: "small", method: http.MethodPost, path: "desk/orders", body: body,
		headers: map[string]string{"Idempotency-Key": key, "X-Deadline-Ms": "8000"},
	})
}

// runCount returns how often the key ran, over all plain upstreams.
func (c *cluster) runCount(key string) int {
	total := 0
	for _, a := range c.agents {
		if a.upstream[:4] != "desk" {
			continue
		}
		var got load.Runs
		c.getJSON(a.backend, "/control/runs?key="+key, &got)
		total += got.Keys[key]
	}
	return total
}

var _ = Describe("the request path", func() {
	It("serves a stream, a document and an order across separate processes", func() {
		c := newCluster(clusterConfig{zones: []string{"a", "b"}, entries: 1, engines: 2, plainServers: 1, limit: 16, coldLimit: 2})
		for i, e := range c.entries {
			r := c.requestStream(e, fmt.Sprintf("stream-%d", i), 40)
			Expect(r.err).NotTo(HaveOccurred())
			Expect(r.status).To(Equal(200), string(r.body))
		}
		r := c.do(call{entry: c.entries[0], team: "small", method: http.MethodPost, path: "model/generate", body: `{"tokens":8,"stream":false}`, headers: map[string]string{"X-Request-Id": "doc"}})
		Expect(r.status).To(Equal(200), string(r.body))
		var doc map[string][]string
		Expect(json.Unmarshal(r.body, &doc)).To(Succeed())
		Expect(doc["tokens"]).To(HaveLen(8))

		By("reporting a request's record from any entry, but only to its own team")
		other := c.entries[1]
		Expect(c.requestRecord(other, "small", "doc")).To(ContainSubstring(`"state":"answered"`))
		Expect(c.requestRecord(other, "large", "doc")).To(ContainSubstring(`"not_found"`))

		By("running an order once, whichever entry receives it")
		first := c.placeOrder(c.entries[0], "order-1", "brass plate")
		Expect(first.status).To(Equal(200), string(first.body))
		second := c.placeOrder(c.entries[1], "order-1", "brass plate")
		Expect(second.status).To(Equal(200), string(second.body))
		Expect(second.body).To(Equal(first.body))
		Expect(c.runCount("order-1")).To(Equal(1))
		conflict := c.placeOrder(c.entries[1], "order-1", "carved lintel")
		Expect(conflict.status).To(Equal(409))
		Expect(conflict.reason).To(Equal("claim_conflict"))
	})

	// Guards against errors without a reason and against unauthorized calls.
	It("refuses bad input with a status and a reason", func() {
		c := newCluster(clusterConfig{zones: []string{"a"}, entries: 1, engines: 1, limit: 4, coldLimit: 2})
		e := c.entries[0]
		for _, x := range []struct {
			call   call
			status int
			reason string
		}{
			{call{team: "nobody", method: "POST", path: "model/x"}, 401, "unauthenticated"},
			{call{team: "small", method: "POST", path: "nothing/x"}, 404, "not_found"},
			{call{team: "small", method: "POST", path: "model/x", headers: map[string]string{"X-Deadline-Ms": "soon"}}, 400, "bad_request"},
			{call{team: "small", method: "POST", path: "model/x", headers: map[string]string{"X-Priority": "11"}}, 400, "bad_request"},
			{call{team: "small", method: "POST", path: "model/x", body: string(make([]byte, 9<<20))}, 413, "too_large"},
		} {
			x.call.entry = e
			r := c.do(x.call)
			Expect(r.status).To(Equal(x.status), "%s: %v", x.reason, r.err)
			Expect(r.reason).To(Equal(x.reason))
			Expect(r.run).To(Equal("no"))
		}
		resp, err := c.client.Post("http://"+c.agents[0].listen.String()+"/dispatch", "", bytes.NewReader(nil))
		Expect(err).NotTo(HaveOccurred())
		_ = resp.Body.Close()
		Expect(resp.StatusCode).To(Equal(401), "a dispatch without the peer key")
	})

	// Guards against requests that a graceful shutdown interrupts.
	It("interrupts no request in flight when entry and agent get SIGTERM", func() {
		c := newCluster(clusterConfig{zones: []string{"a"}, entries: 1, engines: 1, limit: 8, coldLimit: 8, engineArgs: []string{"--set", `{"cold":8}`}})
		var wg sync.WaitGroup
		results := make([]result, 6)
		for i := range results {
			wg.Add(1)
			go func() {
				defer GinkgoRecover()
				defer wg.Done()
				results[i] = c.requestStream(c.entries[0], fmt.Sprintf("s-%d", i), 200)
			}()
		}
		time.Sleep(300 * time.Millisecond)
		c.agents[0].signal(syscall.SIGTERM)
		c.entries[0].signal(syscall.SIGTERM)
		wg.Wait()
		for _, r := range results {
			Expect(r.err).NotTo(HaveOccurred())
			Expect(r.status).To(Equal(200), string(r.body))
		}
		Expect(c.agents[0].endsWithin(5*time.Second)).To(BeTrue(), "the agent does not exit")
		Expect(c.entries[0].endsWithin(5*time.Second)).To(BeTrue(), "the entry does not exit")
	})
})
