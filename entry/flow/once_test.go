package flow_test

import (
	"testing"

	"github.com/gravitational/trace"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"parsleyroute.example/core"
	"parsleyroute.example/core/suite/seed"
	"parsleyroute.example/entry/flow"
)

func TestFlow(t *testing.T) {
	seed.Specs(t, "flow")
}

// Guards against "run: no" for a key that an earlier call has run: a restarted
// or rate-limited entry refuses the repetition before it looks the key up.
var _ = DescribeTable("a refusal before the key is looked up",
	func(key string, reason core.Reason, run core.Execution) {
		before := core.NewRefusal(reason, "refused")
		got, ok := core.AsRefusal(flow.Unproven(key, before))
		Expect(ok).To(BeTrue())
		Expect(got.Reason).To(Equal(reason))
		Expect(got.Execution).To(Equal(run))
		Expect(before.Execution).To(Equal(core.NotExecuted), "the refusal itself is shared")
	},
	Entry("not ready", "k", core.ReasonNotReady, core.ExecutionUnknown),
	Entry("team not known", "k", core.ReasonUnauthenticated, core.ExecutionUnknown),
	Entry("service not known", "k", core.ReasonNotFound, core.ExecutionUnknown),
	Entry("over the rate", "k", core.ReasonRateLimited, core.ExecutionUnknown),
	Entry("malformed", "k", core.ReasonBadRequest, core.NotExecuted),
	Entry("without a key", "", core.ReasonNotReady, core.NotExecuted),
)

// Guards against failures without a type that are taken for refusals.
var _ = It("leaves a failure that is no refusal as it is", func() {
	err := trace.ConnectionProblem(nil, "lost")
	Expect(flow.Unproven("k", err)).To(Equal(err))
})
