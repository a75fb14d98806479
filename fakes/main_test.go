package main

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"parsleyroute.example/core/suite/seed"
)

func TestFakes(t *testing.T) {
	seed.RunSpecs(t, "fakes")
}

var _ = Describe("Program", func() {
	// Guards against a subcommand that does not start, does not log its address, or
	// does not exit cleanly.
	DescribeTable("serves until its context is canceled", func(args ...string) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		r, w := io.Pipe()
		cmd := newRootCommand()
		cmd.SetOut(w)
		cmd.SetArgs(args)
		exited := make(chan error, 1)
		go func() { exited <- cmd.ExecuteContext(ctx) }()
		lines := bufio.NewScanner(r)
		var line struct{ Msg, Address, Program string }
		for line.Msg != "listening" {
			Expect(lines.Scan()).To(BeTrue())
			Expect(json.Unmarshal(lines.Bytes(), &line)).To(Succeed())
		}
		Expect(line.Address).To(HavePrefix("127.0.0.1:"))
		Expect(line.Program).To(Equal("fakes"))
		go func() { _, _ = io.Copy(io.Discard, r) }()
		cancel()
		Eventually(exited, "3s").Should(Receive(BeNil()))
	},
		Entry(nil, "platform", "--set", `{"list_lag_ms":5}`),
		Entry(nil, "engine", "--listen", "127.0.0.1:0"),
		Entry(nil, "plain"),
		Entry(nil, "proxy", "--pairs", `[{"name":"a","listen":"127.0.0.1:0","target":"127.0.0.1:9"}]`),
		Entry(nil, "group", "--set", `{"ranks":8,"base_ms":1}`),
	)

	// Guards against misspelt settings, settings out of range and addresses that
	// are not on this machine.
	DescribeTable("refuses invalid flags", func(args ...string) {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		cmd := newRootCommand()
		cmd.SetOut(io.Discard)
		cmd.SetArgs(args)
		Expect(cmd.ExecuteContext(ctx)).NotTo(Succeed())
		Expect(ctx.Err()).NotTo(HaveOccurred())
	},
		Entry(nil, "platform", "--set", `{"outtage":true}`),
		Entry(nil, "platform", "--set", `{"delay_ms":-1}`),
		Entry(nil, "engine", "--set", `{"cold":0}`),
		Entry(nil, "engine", "--set", `{"cold":1}{}`),
		Entry(nil, "engine", "--listen", "0.0.0.0:0"),
		Entry(nil, "plain", "--set", `{"delay_ms":"1s"}`),
		Entry(nil, "proxy", "--pairs", `[{"name":"a","listen":"127.0.0.1:0","target":"192.0.2.1:9"}]`),
		Entry(nil, "group", "--set", `{"experts":100}`),
	)
})

// FuzzSettings guards against a JSON decoder that panics on input from outside, or
// that accepts two documents as one.
func FuzzSettings(f *testing.F) {
	f.Add(`{"cold":1}`)
	f.Add(`{"cold":1}{"cold":2}`)
	f.Fuzz(func(t *testing.T, text string) {
		var v map[string]any
		if (&jsonFlag{&v}).Set(text) == nil && !json.Valid([]byte(text)) {
			t.Fatalf("%q is not a JSON document", text)
		}
	})
}
