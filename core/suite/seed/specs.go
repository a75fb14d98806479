package seed

import (
	"flag"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// RunSpecs runs the Ginkgo specs of a package. The seed for their order is fixed
// unless the flag -ginkgo.seed sets another.
func RunSpecs(t *testing.T, name string) {
	t.Helper()
	gomega.RegisterFailHandler(ginkgo.Fail)
	suiteConfig, reporterConfig := ginkgo.GinkgoConfiguration()
	if flag.Lookup("ginkgo.seed").Value.String() == flag.Lookup("ginkgo.seed").DefValue {
		suiteConfig.RandomSeed = 1
	}
	ginkgo.RunSpecs(t, name, suiteConfig, reporterConfig)
}
