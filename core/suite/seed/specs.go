package seed

import (
	"flag"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// RunSpecs runs the package's ginkgo specs in an order that is the same in each
// run, unless -ginkgo.seed gives another.
func RunSpecs(t *testing.T, name string) {
	t.Helper()
	gomega.RegisterFailHandler(ginkgo.Fail)
	suite, reporter := ginkgo.GinkgoConfiguration()
	if flag.Lookup("ginkgo.seed").Value.String() == flag.Lookup("ginkgo.seed").DefValue {
		suite.RandomSeed = 1
	}
	ginkgo.RunSpecs(t, name, suite, reporter)
}
